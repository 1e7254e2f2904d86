//! Handle to the task that owns the table.

use super::booking::{Booked, Booking, ROUNDS, Registrar};
use super::demand::Demand;
use super::message::{Choosing, Message, Outcome};
use super::place::{Copy, Placement, Unplaced};
use super::shares::Peer;
use super::state::{Load, State};
use super::succession::Successor;
use super::table::Table;
use super::task::{Published, Task};
use crate::clock::Clock;
use crate::fleet::{Directory, Upstream};
use crate::mailbox::Mailbox;
use crate::prelude::*;
use crate::routes;
use crate::scope::Scope;
use crate::upstream::{Availability, Client, Listener};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};

/// What the task uses.
pub struct Dependencies {
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
    /// Way to the registrars of engines.
    pub registrar: Arc<dyn Registrar>,
}

/// Handle to the task.
#[derive(Clone)]
pub struct Placer {
    mailbox: Mailbox<Message>,
    registrar: Arc<dyn Registrar>,
    lost: watch::Receiver<Arc<Vec<String>>>,
    withdrawn: watch::Receiver<Arc<Vec<String>>>,
    departing: watch::Receiver<Arc<BTreeMap<String, u64>>>,
    loads: watch::Receiver<Arc<BTreeMap<String, Load>>>,
    settled: Arc<watch::Sender<bool>>,
    listed: Arc<watch::Sender<bool>>,
}

impl Placer {
    /// Starts the task in `scope`.
    pub fn start(scope: &Scope, parts: Dependencies) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let lost = watch::Sender::default();
        let watched = lost.subscribe();
        let withdrawn = watch::Sender::default();
        let withdrawals = withdrawn.subscribe();
        let departing = watch::Sender::default();
        let departures = departing.subscribe();
        let loads = watch::Sender::default();
        let told = loads.subscribe();
        let registrar = parts.registrar.clone();
        let client = parts.client.clone();
        let published = Published { lost, withdrawn, departing, loads };
        let task = Task::new(parts, published, scope.clone(), mailbox.clone());
        scope.spawn(task.run(messages));
        client.set_listener(Arc::new(Standings(mailbox.clone())));
        Self {
            mailbox,
            registrar,
            lost: watched,
            withdrawn: withdrawals,
            departing: departures,
            loads: told,
            settled: Arc::default(),
            listed: Arc::default(),
        }
    }

    /// Tells that the entry VMs with which engines are shared are known.
    pub fn mark_members_known(&self) {
        self.settled.send_replace(true);
    }

    /// Waits until it is known with whom engines are shared.
    pub async fn wait_for_members(&self) {
        let _ = self.settled.subscribe().wait_for(|settled| *settled).await;
    }

    /// Waits for a first listing of upstreams.
    pub async fn wait_for_listing(&self) {
        let _ = self.listed.subscribe().wait_for(|listed| *listed).await;
    }

    /// Chooses upstreams; runs wait until it is known with whom engines are shared.
    pub async fn place(&self, demand: Demand) -> Result<Placement, Unplaced> {
        if demand.run.is_some() {
            self.wait_for_members().await;
        }
        for round in 1..=ROUNDS {
            let books = round < ROUNDS;
            let choosing = self.mailbox.request(|reply| Message::Place {
                demand: demand.clone(),
                books,
                reply,
            });
            let (mut assignment, booking) =
                match choosing.await.unwrap_or(Err(Unplaced::NoUpstream))? {
                    Choosing::Held(placement) => return Ok(placement),
                    Choosing::ToBook(assignment, booking) => (assignment, booking),
                };
            let booked = self.registrar.book(&booking).await;
            if let Some(booked) = booked {
                let upstream = booking.upstream.clone();
                self.mailbox.send(Message::Corrected { upstream, booked });
                if !booked.accepted {
                    continue;
                }
                assignment.wait = booked.backlog + booking.prefill;
                assignment.uncontended &= booked.backlog.is_zero();
            }
            let run = demand.run.unwrap_or_default();
            let held = self.mailbox.request(|reply| Message::Hold { assignment, run, reply }).await;
            return held.ok_or(Unplaced::NoUpstream);
        }
        Err(Unplaced::NoUpstream)
    }

    /// Books for another entry VM at an engine of which this one is the registrar.
    pub async fn book(&self, booking: Booking) -> Option<Booked> {
        self.mailbox.request(|reply| Message::Book { booking, reply }).await?
    }

    /// Chooses an engine for a copy of a run at `primary`.
    pub async fn place_copy(&self, demand: Demand, primary: Arc<Upstream>) -> Option<Copy> {
        self.mailbox.request(|reply| Message::PlaceCopy { demand, primary, reply }).await?
    }

    /// Notes that an upstream answered.
    pub fn record_success(&self, id: &str) {
        self.tell(id, Outcome::Answered);
    }

    /// Notes how long a prompt took that did not wait.
    pub fn record_prefill(&self, tokens: u32, took: Duration) {
        self.mailbox.send(Message::Read { tokens, took });
    }

    /// Notes how long a whole run took from its first event to its last.
    pub fn record_run(&self, took: Duration) {
        self.mailbox.send(Message::Ran { took });
    }

    /// Notes that an upstream failed a request.
    pub fn record_failure(&self, id: &str) {
        self.tell(id, Outcome::Failed);
    }

    /// Notes that a connection to an upstream broke or fell silent.
    pub fn record_disconnect(&self, id: &str) {
        self.tell(id, Outcome::Broken);
    }

    /// Notes that an upstream does not accept connections, or that another has its address.
    pub fn record_unreachable(&self, id: &str) {
        self.tell(id, Outcome::Gone);
    }

    /// Notes that an upstream sent a part of an answer.
    pub fn record_activity(&self, id: &str) {
        self.tell(id, Outcome::Proven);
    }

    /// Notes that a peer found an upstream gone.
    pub fn record_peer_unreachable(&self, id: &str) {
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

    /// Upstreams that leave by their own word and are not listed as leaving yet, with incarnations.
    pub fn departing(&self) -> Arc<BTreeMap<String, u64>> {
        self.departing.borrow().clone()
    }

    /// Takes a peer's word that an incarnation of an upstream leaves.
    pub fn record_peer_departure(&self, id: &str, incarnation: u64) {
        self.mailbox.send(Message::Departs { id: id.to_owned(), incarnation });
    }

    /// Puts a configuration in force.
    pub fn configure(&self, routes: Arc<routes::Table>) {
        self.mailbox.send(Message::Configure(routes));
    }

    /// Takes the upstreams of a directory.
    pub fn set_upstreams(&self, directory: Arc<Directory>) {
        let listed = directory.revision() > 0;
        self.mailbox.send(Message::Upstreams(directory));
        self.listed.send_if_modified(|known| listed && !std::mem::replace(known, true));
    }

    /// Tells which other entry VMs are alive.
    pub fn set_members(&self, members: Vec<Peer>) {
        self.mailbox.send(Message::Members(members));
    }

    /// Takes what another entry VM has given to upstreams.
    pub fn record_loads(&self, member: &str, loads: BTreeMap<String, Load>) {
        self.mailbox.send(Message::Heard { member: member.to_owned(), loads });
    }

    /// What this entry VM has given to upstreams.
    pub fn loads(&self) -> Arc<BTreeMap<String, Load>> {
        self.loads.borrow().clone()
    }

    /// Engines of a service that are not lost or leaving.
    pub async fn engines(&self, service: &str) -> Vec<Arc<Upstream>> {
        let service = service.to_owned();
        self.mailbox.request(|reply| Message::Engines { service, reply }).await.unwrap_or_default()
    }

    /// Engines of a service that this entry VM owns, in any zone, not lost or leaving.
    pub async fn own_engines(&self, service: &str) -> Vec<Arc<Upstream>> {
        let service = service.to_owned();
        let engines = self.mailbox.request(|reply| Message::OwnEngines { service, reply }).await;
        engines.unwrap_or_default()
    }

    /// States by upstream.
    pub async fn dump(&self) -> BTreeMap<String, State> {
        self.mailbox.request(Message::Dump).await.unwrap_or_default()
    }

    fn tell(&self, id: &str, outcome: Outcome) {
        self.mailbox.send(Message::Outcome { id: id.to_owned(), outcome });
    }
}

/// Passes what upstreams say of themselves on to the task.
struct Standings(Mailbox<Message>);

impl Listener for Standings {
    fn handle_availability(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        availability: Availability,
    ) {
        self.0.send(Message::Stands { address, id: id.map(str::to_owned), availability });
    }
}
