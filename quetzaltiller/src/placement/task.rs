//! The task that owns the table.

use super::demand::{Demand, Run};
use super::state::State;
use super::table::{Choice, Pick, Table};
use crate::clock::Clock;
use crate::fleet::{Directory, Upstream};
use crate::mailbox::Mailbox;
use crate::prelude::*;
use crate::routes;
use crate::scope::Scope;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};

/// Chosen upstreams, with the place held at them.
#[derive(Debug)]
pub struct Placement {
    /// Where the request goes.
    pub upstream: Arc<Upstream>,
    /// Where copies of its memory go.
    pub backup: Option<Arc<Upstream>>,
    /// The upstream holds a copy of the run's memory.
    pub restores: bool,
    /// Place.
    pub permit: Permit,
}

/// A place at an upstream, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    pick: Pick,
    run: Option<Run>,
    mailbox: Mailbox<Message>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let release = Message::Release { pick: self.pick.clone(), run: self.run.clone() };
        self.mailbox.tell(release);
    }
}

#[derive(Debug)]
enum Message {
    Place { demand: Demand, reply: oneshot::Sender<Result<Placement, Code>> },
    Release { pick: Pick, run: Option<Run> },
    Outcome { id: String, outcome: Outcome },
    Configure(Arc<routes::Table>),
    Upstreams(Arc<Directory>),
    Neighbours(Vec<String>),
    Dump(oneshot::Sender<BTreeMap<String, State>>),
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    Answered,
    Failed,
    Unreachable,
}

/// Handle to the task.
#[derive(Clone, Debug)]
pub struct Placer {
    mailbox: Mailbox<Message>,
}

impl Placer {
    /// Starts the task in `scope`.
    pub fn start(scope: &Scope, clock: Clock, table: Table) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let task = Task { clock, table, mailbox: mailbox.clone() };
        scope.spawn(task.run(messages));
        Self { mailbox }
    }

    /// Chooses upstreams.
    pub async fn place(&self, demand: Demand) -> Result<Placement, Code> {
        let answer = self.mailbox.ask(|reply| Message::Place { demand, reply }).await;
        answer.unwrap_or(Err(Code::Leaving))
    }

    /// Notes that an upstream answered.
    pub fn answered(&self, id: &str) {
        self.tell(id, Outcome::Answered);
    }

    /// Notes that an upstream failed a request.
    pub fn failed(&self, id: &str) {
        self.tell(id, Outcome::Failed);
    }

    /// Notes that an upstream can't be reached or is silent.
    pub fn unreachable(&self, id: &str) {
        self.tell(id, Outcome::Unreachable);
    }

    /// Puts a configuration in force.
    pub fn configure(&self, routes: Arc<routes::Table>) {
        self.mailbox.tell(Message::Configure(routes));
    }

    /// Takes the upstreams of a directory.
    pub fn set_upstreams(&self, directory: Arc<Directory>) {
        self.mailbox.tell(Message::Upstreams(directory));
    }

    /// Tells which entry VMs of the own zone are alive.
    pub fn set_neighbours(&self, neighbours: Vec<String>) {
        self.mailbox.tell(Message::Neighbours(neighbours));
    }

    /// States by upstream.
    pub async fn dump(&self) -> BTreeMap<String, State> {
        self.mailbox.ask(Message::Dump).await.unwrap_or_default()
    }

    fn tell(&self, id: &str, outcome: Outcome) {
        self.mailbox.tell(Message::Outcome { id: id.to_owned(), outcome });
    }
}

struct Task {
    clock: Clock,
    table: Table,
    mailbox: Mailbox<Message>,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            self.take(message);
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Place { demand, reply } => {
                let _ = reply.send(self.place(now, &demand));
            }
            Message::Release { pick, run } => self.table.end(&pick, run.as_ref()),
            Message::Outcome { id, outcome } => {
                let Some(state) = self.table.state_mut(&id) else {
                    return;
                };
                match outcome {
                    Outcome::Answered => state.succeed(now),
                    Outcome::Failed => state.disappoint(now),
                    Outcome::Unreachable => state.fail(now),
                }
            }
            Message::Configure(routes) => self.table.configure(routes),
            Message::Upstreams(directory) => self.table.set_upstreams(&directory),
            Message::Neighbours(neighbours) => self.table.set_neighbours(neighbours),
            Message::Dump(reply) => {
                let _ = reply.send(self.table.states().clone());
            }
        }
    }

    fn place(&mut self, now: Duration, demand: &Demand) -> Result<Placement, Code> {
        let pick = match self.table.choose(now, demand) {
            Choice::Found(pick) => pick,
            Choice::Full => return Err(Code::Overloaded),
            Choice::Nowhere => return Err(Code::NoUpstream),
        };
        self.table.begin(now, &pick, demand.run.as_ref());
        let Pick { upstream, backup, restores } = pick.clone();
        let permit = Permit { pick, run: demand.run.clone(), mailbox: self.mailbox.clone() };
        Ok(Placement { upstream, backup, restores, permit })
    }
}
