//! Handle to the task that owns the table.
//!
//! [`Placer`] sends messages to the task and reads what it publishes. It also books long prompts at
//! the registrars of engines, so that the task itself waits for no peer.

use super::booking::{Booked, Booking, MAX_ROUNDS, Registrar};
use super::demand::Demand;
use super::limit::Statement;
use super::message::{Message, Outcome, PlaceReply};
use super::place::{Copy, Placement, Unplaced};
use super::shares::Peer;
use super::sign::{Question, Sign};
use super::state::{Load, State};
use super::succession::Successor;
use super::table::Table;
use super::task::{Published, Task};
use crate::clock::Clock;
use crate::control::Member;
use crate::fleet::{Directory, Upstream};
use crate::mailbox::Mailbox;
use crate::prelude::*;
use crate::routes;
use crate::scope::Scope;
use crate::upstream::{Availability, Client, Exchange, Listener};
use std::collections::BTreeMap;
use tokio::sync::{mpsc, watch};

/// What [`Placer::start`] needs.
pub struct Dependencies {
    /// Steady clock that also knows how long this VM was suspended.
    pub clock: Clock,
    /// Table that the task will own.
    pub table: Table,
    /// Client for checks and reports of upstreams.
    pub client: Arc<dyn Client>,
    /// Minimum time after the end of an upstream before another service may get its address.
    pub reuse_after: Duration,
    /// Receives the successors of lost upstreams.
    pub successors: mpsc::UnboundedSender<Successor>,
    /// Client of the engines' registrars.
    pub registrar: Arc<dyn Registrar>,
}

/// Handle to the placement task; clones share the task.
#[derive(Clone)]
pub struct Placer {
    mailbox: Mailbox<Message>,
    registrar: Arc<dyn Registrar>,
    lost: watch::Receiver<Arc<Vec<String>>>,
    withdrawn: watch::Receiver<Arc<Vec<String>>>,
    departing: watch::Receiver<Arc<BTreeMap<String, u64>>>,
    loads: watch::Receiver<Arc<BTreeMap<String, Load>>>,
    statements: watch::Receiver<Arc<BTreeMap<String, Statement>>>,
    members_known: Arc<watch::Sender<bool>>,
    listed: Arc<watch::Sender<bool>>,
}

impl Placer {
    /// Starts the task in `scope`.
    pub fn start(scope: &Scope, dependencies: Dependencies) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let lost = watch::Sender::default();
        let lost_receiver = lost.subscribe();
        let withdrawn = watch::Sender::default();
        let withdrawn_receiver = withdrawn.subscribe();
        let departing = watch::Sender::default();
        let departing_receiver = departing.subscribe();
        let loads = watch::Sender::default();
        let loads_receiver = loads.subscribe();
        let statements = watch::Sender::default();
        let statements_receiver = statements.subscribe();
        let registrar = dependencies.registrar.clone();
        let (client, clock) = (dependencies.client.clone(), dependencies.clock);
        let published = Published { lost, withdrawn, departing, loads, statements };
        let task = Task::new(dependencies, published, scope.clone(), mailbox.clone());
        scope.spawn(task.run(messages));
        let listener = AvailabilityListener { clock, mailbox: mailbox.clone() };
        client.set_listener(Arc::new(listener));
        Self {
            mailbox,
            registrar,
            lost: lost_receiver,
            withdrawn: withdrawn_receiver,
            departing: departing_receiver,
            loads: loads_receiver,
            statements: statements_receiver,
            members_known: Arc::default(),
            listed: Arc::default(),
        }
    }

    /// Marks the entry VMs with which engines are shared as known, which lets runs be placed.
    pub fn mark_members_known(&self) {
        self.members_known.send_replace(true);
    }

    /// Waits until the entry VMs with which engines are shared are known.
    pub async fn wait_for_members(&self) {
        let _ = self.members_known.subscribe().wait_for(|known| *known).await;
    }

    /// Waits for the first listing of upstreams.
    pub async fn wait_for_listing(&self) {
        let _ = self.listed.subscribe().wait_for(|listed| *listed).await;
    }

    /// Chooses and reserves upstreams. A run waits until the entry VMs with which engines are
    /// shared are known, and is booked if its prompt is long; a declined booking leads to another
    /// choice.
    pub async fn place(&self, demand: Demand) -> Result<Placement, Unplaced> {
        if demand.run.is_some() {
            self.wait_for_members().await;
        }
        for round in 1..=MAX_ROUNDS {
            let books = round < MAX_ROUNDS;
            let request = self.mailbox.request(|reply| Message::Place {
                demand: demand.clone(),
                books,
                reply,
            });
            let (mut assignment, booking) =
                match request.await.unwrap_or(Err(Unplaced::NoUpstream))? {
                    PlaceReply::Placed(placement) => return Ok(placement),
                    PlaceReply::NeedsBooking(assignment, booking) => (assignment, booking),
                };
            let booked = self.registrar.book(&booking).await;
            if let Some(booked) = booked {
                let upstream = booking.upstream.clone();
                self.mailbox.send(Message::BookingReply { upstream, booked });
                if !booked.accepted {
                    continue;
                }
                assignment.wait = booked.backlog + booking.prefill;
                assignment.uncontended &= booked.backlog.is_zero();
            }
            let run = demand.run.clone().unwrap_or_default();
            let placement =
                self.mailbox.request(|reply| Message::Reserve { assignment, run, reply });
            if let Some(placement) = placement.await.ok_or(Unplaced::NoUpstream)? {
                return Ok(placement);
            }
        }
        Err(Unplaced::NoUpstream)
    }

    /// Accepts or declines another entry VM's booking at an engine of which this one is the
    /// registrar; none if the engine is not listed.
    pub async fn book(&self, booking: Booking) -> Option<Booked> {
        self.mailbox.request(|reply| Message::Book { booking, reply }).await?
    }

    /// Lends another entry VM a request of this one's part of an upstream's limit; returns whether
    /// there is one.
    pub async fn lend(&self, upstream: &str) -> bool {
        let upstream = upstream.to_owned();
        self.mailbox.request(|reply| Message::Lend { upstream, reply }).await.unwrap_or(false)
    }

    /// Chooses and reserves an engine for a copy of a run at `primary`.
    pub async fn place_copy(&self, demand: Demand, primary: Arc<Upstream>) -> Option<Copy> {
        self.mailbox.request(|reply| Message::PlaceCopy { demand, primary, reply }).await?
    }

    /// Records an answer to a request that was sent at `asked_at`, on the clock that includes
    /// suspensions.
    pub fn record_success(&self, id: &str, asked_at: Duration) {
        let sign = Sign { answered: Question::Request, asked_at };
        self.send_outcome(id, Outcome::Answered(sign));
    }

    /// Records the prefill time of a prompt that did not wait for others.
    pub fn record_prefill(&self, tokens: u32, took: Duration) {
        self.mailbox.send(Message::PrefillMeasured { tokens, took });
    }

    /// Records the time of a finished run from its first event to its last.
    pub fn record_run(&self, took: Duration) {
        self.mailbox.send(Message::RunMeasured { took });
    }

    /// Records a failed request of an upstream that is still reachable.
    pub fn record_failure(&self, id: &str) {
        self.send_outcome(id, Outcome::Failed);
    }

    /// Records a connection that broke or fell silent; the task then checks the upstream.
    pub fn record_disconnect(&self, id: &str) {
        self.send_outcome(id, Outcome::Disconnected);
    }

    /// Records that an upstream does not accept connections, or that another has its address.
    pub fn record_unreachable(&self, id: &str) {
        self.send_outcome(id, Outcome::Unreachable);
    }

    /// Records that a stream delivered an event.
    pub fn record_event(&self, id: &str) {
        self.send_outcome(id, Outcome::Delivered);
    }

    /// Records that a peer reported an upstream as lost; the task checks the upstream or avoids it.
    pub fn record_peer_unreachable(&self, id: &str) {
        self.send_outcome(id, Outcome::PeerUnreachable);
    }

    /// Ids of upstreams that are lost or no longer listed; the receiver is notified of changes.
    pub fn lost(&self) -> watch::Receiver<Arc<Vec<String>>> {
        self.lost.clone()
    }

    /// Ids of upstreams that are lost, no longer listed or leaving, and get no new work; the
    /// receiver is notified of changes.
    pub fn withdrawn(&self) -> watch::Receiver<Arc<Vec<String>>> {
        self.withdrawn.clone()
    }

    /// Incarnations by id of upstreams that have announced that they leave and are not listed as
    /// leaving yet.
    pub fn departing(&self) -> Arc<BTreeMap<String, u64>> {
        self.departing.borrow().clone()
    }

    /// Records that a peer reported an incarnation of an upstream as leaving.
    pub fn record_peer_departure(&self, id: &str, incarnation: u64) {
        self.mailbox.send(Message::PeerDeparture { id: id.to_owned(), incarnation });
    }

    /// Replaces the configuration.
    pub fn configure(&self, routes: Arc<routes::Table>) {
        self.mailbox.send(Message::Configure(routes));
    }

    /// Replaces the upstreams by those of `directory`.
    pub fn set_upstreams(&self, directory: Arc<Directory>) {
        let listed = directory.version().revision > 0;
        self.mailbox.send(Message::Upstreams(directory));
        self.listed.send_if_modified(|known| listed && !std::mem::replace(known, true));
    }

    /// Replaces the other entry VMs that are alive, and those that may be running.
    pub fn set_members(&self, alive: Vec<Peer>, known: Vec<Member>) {
        self.mailbox.send(Message::Members { alive, known });
    }

    /// Records that the store has listed the entry VMs, which lets limits of upstreams be used
    /// where no other entry VM is known.
    pub fn mark_members_listed(&self) {
        self.mailbox.send(Message::MembersListed);
    }

    /// Statements of upstreams' limits by upstream id.
    pub fn statements(&self) -> Arc<BTreeMap<String, Statement>> {
        self.statements.borrow().clone()
    }

    /// Records a statement of an upstream's limit that a peer reported.
    pub fn record_peer_statement(&self, id: &str, statement: Statement) {
        self.mailbox.send(Message::PeerStatement { id: id.to_owned(), statement });
    }

    /// Replaces the loads that another entry VM has placed on upstreams.
    pub fn record_loads(&self, member: &str, loads: BTreeMap<String, Load>) {
        self.mailbox.send(Message::PeerLoads { member: member.to_owned(), loads });
    }

    /// Loads that this entry VM has placed on upstreams, by upstream id.
    pub fn loads(&self) -> Arc<BTreeMap<String, Load>> {
        self.loads.borrow().clone()
    }

    /// Upstreams of a service that are not lost, leaving or closed.
    pub async fn engines(&self, service: &str) -> Vec<Arc<Upstream>> {
        let service = service.to_owned();
        self.mailbox.request(|reply| Message::Engines { service, reply }).await.unwrap_or_default()
    }

    /// Upstreams of a service that this entry VM owns, in any zone, and that are not lost, leaving
    /// or closed.
    pub async fn own_engines(&self, service: &str) -> Vec<Arc<Upstream>> {
        let service = service.to_owned();
        let engines = self.mailbox.request(|reply| Message::OwnEngines { service, reply }).await;
        engines.unwrap_or_default()
    }

    /// States by upstream id.
    pub async fn dump(&self) -> BTreeMap<String, State> {
        self.mailbox.request(Message::Dump).await.unwrap_or_default()
    }

    fn send_outcome(&self, id: &str, outcome: Outcome) {
        self.mailbox.send(Message::Outcome { id: id.to_owned(), outcome });
    }
}

/// Forwards the availability that upstreams announce to the task.
struct AvailabilityListener {
    clock: Clock,
    mailbox: Mailbox<Message>,
}

impl Listener for AvailabilityListener {
    fn handle_availability(&self, exchange: Exchange<'_>, availability: Availability) {
        let Exchange { address, upstream, took } = exchange;
        let id = upstream.map(str::to_owned);
        let asked_at = self.clock.uptime().saturating_sub(took);
        self.mailbox.send(Message::AvailabilityChanged { address, id, asked_at, availability });
    }
}
