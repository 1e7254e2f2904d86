//! The task that owns the table.

use super::demand::Demand;
use super::state::{Load, Reported, State};
use super::table::{Choice, Hold, Pick, Table};
use crate::clock::Clock;
use crate::fleet::{Directory, Upstream};
use crate::mailbox::Mailbox;
use crate::prelude::*;
use crate::routes;
use crate::scope::Scope;
use crate::upstream::{Client, Report};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

/// Chosen upstreams, with the place held at them.
#[derive(Debug)]
pub struct Placement {
    /// Where the request goes.
    pub upstream: Arc<Upstream>,
    /// Where copies of its memory go.
    pub backup: Option<Arc<Upstream>>,
    /// The upstream holds a copy of the run's memory.
    pub restores: bool,
    /// Expected time until the run generates.
    pub wait: Duration,
    /// Place.
    pub permit: Permit,
}

/// Engine for a copy of a run's memory, with the place held there.
#[derive(Debug)]
pub struct Copy {
    /// Engine.
    pub upstream: Arc<Upstream>,
    _permit: Permit,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unplaced {
    /// All are full, or would be too late.
    Full {
        /// Time until there is room.
        retry_after: Duration,
    },
    /// There is none.
    Nowhere,
}

impl Unplaced {
    /// Code for the caller.
    pub fn code(self) -> Code {
        match self {
            Self::Full { .. } => Code::Overloaded,
            Self::Nowhere => Code::NoUpstream,
        }
    }

    /// Time after which a repeat may find an upstream.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Full { retry_after } => retry_after,
            Self::Nowhere => NOWHERE_RETRY,
        }
    }
}

/// An engine that is lost is back in 1 to 2 s.
const NOWHERE_RETRY: Duration = Duration::from_millis(1_000);

/// A place at an upstream, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    holds: Vec<Hold>,
    mailbox: Mailbox<Message>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.mailbox.tell(Message::Release(std::mem::take(&mut self.holds)));
    }
}

#[derive(Debug)]
enum Message {
    Place { demand: Demand, reply: oneshot::Sender<Result<Placement, Unplaced>> },
    PlaceCopy { demand: Demand, primary: Arc<Upstream>, reply: oneshot::Sender<Option<Copy>> },
    Release(Vec<Hold>),
    Outcome { id: String, outcome: Outcome },
    Configure(Arc<routes::Table>),
    Upstreams(Arc<Directory>),
    Neighbours { all: Vec<String>, of_zone: Vec<String> },
    Reported { id: String, report: Report },
    Heard { member: String, loads: BTreeMap<String, Load> },
    Engines { service: String, reply: oneshot::Sender<Vec<Arc<Upstream>>> },
    Dump(oneshot::Sender<BTreeMap<String, State>>),
}

#[derive(Clone, Copy, Debug)]
enum Outcome {
    /// It answered, or sent an event.
    Answered,
    Alive,
    /// It failed a request and can be reached.
    Failed,
    /// A connection broke or fell silent.
    Broken,
    /// It does not accept connections, or another process has its address.
    Gone,
    /// A peer found it gone.
    Reported,
}

/// Limit of a check whether an upstream accepts connections: a round trip between zones many
/// times over.
const CHECK_LIMIT: Duration = Duration::from_millis(80);
/// Signs of life that spare an engine a check when its zone is doubted.
const RECENT_LIFE: Duration = Duration::from_millis(150);
/// Signs of life that outweigh a peer's word.
const FRESH_LIFE: Duration = Duration::from_millis(60);
/// Pauses after a loss between questions who has the upstream's address now; engines restart in 1
/// to 2 s.
const RECHECKS: [Duration; 5] = [
    Duration::from_millis(500),
    Duration::from_millis(750),
    Duration::from_millis(300),
    Duration::from_millis(300),
    Duration::from_millis(1_500),
];

/// How often the own load is summed up for peers.
const LOAD_PERIOD: Duration = Duration::from_millis(100);

/// How often an engine is asked what it holds, by the entry VM that owns it; half of a prefill.
const REPORT_PERIOD: Duration = Duration::from_millis(800);
/// Limit of such a question.
const REPORT_LIMIT: Duration = Duration::from_millis(300);

/// A lost upstream and the one that the same service has started at its address.
#[derive(Clone, Debug)]
pub struct Successor {
    /// Id of the lost one.
    pub lost: String,
    /// The new one.
    pub upstream: Upstream,
}

/// What the task uses.
pub struct Parts {
    /// Clock.
    pub clock: Clock,
    /// Upstreams.
    pub table: Table,
    /// Access to them, for checks.
    pub client: Arc<dyn Client>,
    /// An address stays with its service for so long after an upstream has ended.
    pub reuse_after: Duration,
    /// Where successors of lost upstreams go.
    pub successors: mpsc::UnboundedSender<Successor>,
}

/// Handle to the task.
#[derive(Clone, Debug)]
pub struct Placer {
    mailbox: Mailbox<Message>,
    lost: watch::Receiver<Arc<Vec<String>>>,
    withdrawn: watch::Receiver<Arc<Vec<String>>>,
    loads: watch::Receiver<BTreeMap<String, Load>>,
    settled: Arc<watch::Sender<bool>>,
}

impl Placer {
    /// Starts the task in `scope`.
    pub fn start(scope: &Scope, parts: Parts) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let lost = watch::Sender::default();
        let watched = lost.subscribe();
        let withdrawn = watch::Sender::default();
        let withdrawals = withdrawn.subscribe();
        let loads = watch::Sender::default();
        let told = loads.subscribe();
        let task = Task {
            clock: parts.clock,
            table: parts.table,
            client: parts.client,
            reuse_after: parts.reuse_after,
            successors: parts.successors,
            departed: Vec::new(),
            checking: BTreeSet::new(),
            lost,
            withdrawn,
            loads,
            scope: scope.clone(),
            mailbox: mailbox.clone(),
        };
        scope.spawn(task.run(messages));
        Self {
            mailbox,
            lost: watched,
            withdrawn: withdrawals,
            loads: told,
            settled: Arc::default(),
        }
    }

    /// Tells that the entry VMs with which engines are shared are known.
    pub fn settle(&self) {
        self.settled.send_replace(true);
    }

    /// Chooses upstreams; runs wait until it is known with whom engines are shared.
    pub async fn place(&self, demand: Demand) -> Result<Placement, Unplaced> {
        if demand.run.is_some() {
            let _ = self.settled.subscribe().wait_for(|settled| *settled).await;
        }
        let answer = self.mailbox.ask(|reply| Message::Place { demand, reply }).await;
        answer.unwrap_or(Err(Unplaced::Nowhere))
    }

    /// Chooses an engine for a copy of a run at `primary`.
    pub async fn place_copy(&self, demand: Demand, primary: Arc<Upstream>) -> Option<Copy> {
        self.mailbox.ask(|reply| Message::PlaceCopy { demand, primary, reply }).await?
    }

    /// Notes that an upstream answered.
    pub fn answered(&self, id: &str) {
        self.tell(id, Outcome::Answered);
    }

    /// Notes that an upstream failed a request.
    pub fn failed(&self, id: &str) {
        self.tell(id, Outcome::Failed);
    }

    /// Notes that a connection to an upstream broke or fell silent.
    pub fn broken(&self, id: &str) {
        self.tell(id, Outcome::Broken);
    }

    /// Notes that an upstream does not accept connections, or that another has its address.
    pub fn gone(&self, id: &str) {
        self.tell(id, Outcome::Gone);
    }

    /// Notes that an upstream sent something.
    pub fn alive(&self, id: &str) {
        self.tell(id, Outcome::Alive);
    }

    /// Notes that a peer found an upstream gone.
    pub fn reported_gone(&self, id: &str) {
        self.tell(id, Outcome::Reported);
    }

    /// Upstreams that this entry VM found gone, and notices of others.
    pub fn lost(&self) -> watch::Receiver<Arc<Vec<String>>> {
        self.lost.clone()
    }

    /// Upstreams that are gone or leaving, and notices of others: nothing new goes there.
    pub fn withdrawn(&self) -> watch::Receiver<Arc<Vec<String>>> {
        self.withdrawn.clone()
    }

    /// Puts a configuration in force.
    pub fn configure(&self, routes: Arc<routes::Table>) {
        self.mailbox.tell(Message::Configure(routes));
    }

    /// Takes the upstreams of a directory.
    pub fn set_upstreams(&self, directory: Arc<Directory>) {
        self.mailbox.tell(Message::Upstreams(directory));
    }

    /// Tells which other entry VMs are alive, and which of these are in the own zone.
    pub fn set_neighbours(&self, all: Vec<String>, of_zone: Vec<String>) {
        self.mailbox.tell(Message::Neighbours { all, of_zone });
    }

    /// Takes what another entry VM has given to upstreams.
    pub fn hear(&self, member: &str, loads: BTreeMap<String, Load>) {
        self.mailbox.tell(Message::Heard { member: member.to_owned(), loads });
    }

    /// What this entry VM has given to upstreams.
    pub fn loads(&self) -> BTreeMap<String, Load> {
        self.loads.borrow().clone()
    }

    /// Engines of a service that are not lost or leaving.
    pub async fn engines(&self, service: &str) -> Vec<Arc<Upstream>> {
        let service = service.to_owned();
        self.mailbox.ask(|reply| Message::Engines { service, reply }).await.unwrap_or_default()
    }

    /// States by upstream.
    pub async fn dump(&self) -> BTreeMap<String, State> {
        self.mailbox.ask(Message::Dump).await.unwrap_or_default()
    }

    fn tell(&self, id: &str, outcome: Outcome) {
        self.mailbox.tell(Message::Outcome { id: id.to_owned(), outcome });
    }
}

async fn serves_models(client: &dyn Client, address: SocketAddr) -> bool {
    client.report(address, CHECK_LIMIT).await.is_some_and(|report| report.has_models)
}

struct Task {
    clock: Clock,
    table: Table,
    client: Arc<dyn Client>,
    reuse_after: Duration,
    successors: mpsc::UnboundedSender<Successor>,
    /// Upstreams that the last directory no longer had.
    departed: Vec<String>,
    /// Upstreams of doubted zones that are being checked.
    checking: BTreeSet<String>,
    lost: watch::Sender<Arc<Vec<String>>>,
    withdrawn: watch::Sender<Arc<Vec<String>>>,
    loads: watch::Sender<BTreeMap<String, Load>>,
    scope: Scope,
    mailbox: Mailbox<Message>,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut publishing = tokio::time::interval(LOAD_PERIOD);
        publishing.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reporting = tokio::time::interval(REPORT_PERIOD);
        reporting.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                _ = publishing.tick() => {
                    self.loads.send_replace(self.table.loads(self.clock.now()));
                }
                _ = reporting.tick() => self.ask_reports(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Place { demand, reply } => {
                let _ = reply.send(self.place(now, &demand));
            }
            Message::PlaceCopy { demand, primary, reply } => {
                let _ = reply.send(self.place_copy(now, &demand, &primary));
            }
            Message::Release(holds) => holds.iter().for_each(|hold| self.table.give_back(hold)),
            Message::Outcome { id, outcome } => {
                self.judge(now, &id, outcome);
            }
            Message::Configure(routes) => self.table.configure(routes),
            Message::Upstreams(directory) => {
                self.departed = self.table.set_upstreams(&directory);
                self.publish_lost(now);
            }
            Message::Neighbours { all, of_zone } => {
                self.table.retain_members(&all);
                self.table.set_neighbours(of_zone);
            }
            Message::Reported { id, report } => {
                if let Some(state) = self.table.state_mut(&id) {
                    let reported = Reported {
                        tokens: report.memory_tokens,
                        requests: report.running + report.waiting,
                        unread: report.unread,
                    };
                    state.report(now, reported);
                }
            }
            Message::Heard { member, loads } => self.table.hear(now, &member, &loads),
            Message::Engines { service, reply } => {
                let _ = reply.send(self.table.engines(now, &service));
            }
            Message::Dump(reply) => {
                let _ = reply.send(self.table.states().clone());
            }
        }
    }

    fn judge(&mut self, now: Duration, id: &str, outcome: Outcome) {
        self.checking.remove(id);
        let Some(state) = self.table.state_mut(id) else {
            return;
        };
        match outcome {
            Outcome::Answered => state.succeed(now),
            Outcome::Alive => state.show_life(now),
            Outcome::Failed => state.disappoint(now),
            Outcome::Broken => {
                state.fail(now);
                let upstream = state.upstream.clone();
                self.check(upstream);
            }
            Outcome::Reported if state.is_lost(now) || now <= state.alive_at + FRESH_LIFE => {}
            Outcome::Reported => {
                let (upstream, in_use) = (state.upstream.clone(), state.own_memory() > 0);
                if in_use || self.table.watches(&upstream) {
                    self.check(upstream);
                } else if let Some(state) = self.table.state_mut(id) {
                    state.doubt(now);
                }
            }
            Outcome::Gone => {
                if state.lose(now) {
                    let alive_at = state.alive_at;
                    let upstream = state.upstream.clone();
                    info!("upstream_lost", kv: {
                        upstream = upstream.id, zone = upstream.zone,
                        alive_ago_ms = now.saturating_sub(state.alive_at).as_millis() as u64
                    });
                    let service = upstream.service.clone();
                    if self.table.watches(&upstream) {
                        self.recheck(upstream, alive_at);
                    }
                    self.check_zone(now, &service);
                }
            }
        }
        self.publish_lost(now);
    }

    /// Asks the engines that this entry VM owns what they hold, for itself and for peers.
    fn ask_reports(&self) {
        for upstream in self.table.owned_engines(self.clock.now()) {
            let (client, mailbox) = (self.client.clone(), self.mailbox.clone());
            self.scope.spawn(async move {
                let id = upstream.id.clone();
                let message = match client.report(upstream.address, REPORT_LIMIT).await {
                    Some(report) => Message::Reported { id, report },
                    None => Message::Outcome { id, outcome: Outcome::Broken },
                };
                mailbox.tell(message);
            });
        }
    }

    /// Asks whether an upstream still accepts connections.
    fn check(&self, upstream: Arc<Upstream>) {
        let (client, mailbox) = (self.client.clone(), self.mailbox.clone());
        self.scope.spawn(async move {
            let alive = client.check(upstream.address, CHECK_LIMIT).await;
            let outcome = if alive { Outcome::Alive } else { Outcome::Gone };
            mailbox.tell(Message::Outcome { id: upstream.id.clone(), outcome });
        });
    }

    /// Asks from time to time who has the address of a lost upstream: itself again, or the process
    /// that its service has started there. Later the address may belong to another service, which
    /// has no engines where only this one has.
    fn recheck(&self, lost: Arc<Upstream>, alive_at: Duration) {
        let (client, mailbox) = (self.client.clone(), self.mailbox.clone());
        let (clock, successors) = (self.clock, self.successors.clone());
        let path = self.table.check_path(&lost.service);
        let own_until = alive_at + self.reuse_after;
        let only_engines = self.table.is_only_engine_service(&lost.service);
        self.scope.spawn(async move {
            for pause in RECHECKS {
                tokio::time::sleep(pause).await;
                let found = client.identify(lost.address, &path, CHECK_LIMIT).await;
                let Some(id) = found else {
                    continue;
                };
                let in_time = clock.now() < own_until;
                let succeeds = id != lost.id
                    && (in_time || only_engines && serves_models(&*client, lost.address).await);
                info!("upstream_rechecked", kv: { upstream = lost.id, found = id, succeeds });
                if id == lost.id {
                    mailbox.tell(Message::Outcome { id, outcome: Outcome::Alive });
                } else if succeeds {
                    let upstream = Upstream { id, incarnation: 0, ..(*lost).clone() };
                    let _ = successors.send(Successor { lost: lost.id.clone(), upstream });
                }
                return;
            }
        });
    }

    /// Checks the other engines of a zone that has lost some, as far as they matter here.
    fn check_zone(&mut self, now: Duration, service: &str) {
        for upstream in self.table.unproven(now, service, now.saturating_sub(RECENT_LIFE)) {
            if self.checking.insert(upstream.id.clone()) {
                self.check(upstream);
            }
        }
    }

    fn publish_lost(&self, now: Duration) {
        let lost = self.table.states().values().filter(|state| state.is_lost(now));
        let lost = lost.map(|state| state.upstream.id.clone());
        let lost: Vec<_> = lost.chain(self.departed.iter().cloned()).collect();
        let leaving = self.table.states().values().filter(|state| state.upstream.leaving);
        let leaving = leaving.map(|state| state.upstream.id.clone());
        let withdrawn: Vec<_> = lost.iter().cloned().chain(leaving).collect();
        publish(&self.lost, lost);
        publish(&self.withdrawn, withdrawn);
    }

    fn place(&mut self, now: Duration, demand: &Demand) -> Result<Placement, Unplaced> {
        let pick = match self.table.choose(now, demand) {
            Choice::Found(pick) => pick,
            Choice::Full { retry_after } => return Err(Unplaced::Full { retry_after }),
            Choice::Nowhere => return Err(Unplaced::Nowhere),
        };
        let holds = self.table.begin(now, &pick, demand.run.as_ref());
        let Pick { upstream, backup, restores, wait } = pick;
        let permit = Permit { holds, mailbox: self.mailbox.clone() };
        Ok(Placement { upstream, backup, restores, wait, permit })
    }

    fn place_copy(&mut self, now: Duration, demand: &Demand, primary: &Upstream) -> Option<Copy> {
        let upstream = self.table.choose_copy(now, demand, primary)?;
        let tokens = demand.run.as_ref().map_or(0, |run| run.footprint);
        let hold = Hold { upstream: upstream.clone(), tokens, runs: false };
        self.table.take(&hold);
        Some(Copy {
            upstream,
            _permit: Permit { holds: vec![hold], mailbox: self.mailbox.clone() },
        })
    }
}

/// Tells who watches, if it is news.
fn publish(sender: &watch::Sender<Arc<Vec<String>>>, ids: Vec<String>) {
    sender.send_if_modified(|known| {
        let changed = **known != ids;
        if changed {
            *known = Arc::new(ids);
        }
        changed
    });
}
