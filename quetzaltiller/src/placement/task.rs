//! The task that owns the table.
//!
//! It handles the messages of [`super::Placer`] one at a time, checks upstreams that may be lost,
//! polls the engines' reports, and publishes lost upstreams and the load of this entry VM.

use super::allocation::Allocation;
use super::assignment::Assignment;
use super::booking::Registrar;
use super::choice::Choice;
use super::demand::{Demand, Run};
use super::limit::Statement;
use super::message::{Message, Outcome, PlaceReply};
use super::place::{Copy, Permit, Placement, Unplaced};
use super::placer::Dependencies;
use super::sign::{Question, Sign};
use super::state::{Load, Reported};
use super::succession::{ProbeResult, Successor, SuccessorProbe};
use super::table::Table;
use crate::clock::Clock;
use crate::fleet::Upstream;
use crate::mailbox::Mailbox;
use crate::prelude::*;
use crate::scope::Scope;
use crate::upstream::{Availability, Client, Limit, Report};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

/// Timeout of a check whether an upstream accepts connections: many times the round trip between
/// zones.
const CHECK_TIMEOUT: Duration = Duration::from_millis(80);
/// Maximum age of an engine's last activity at which it is not checked although its zone is
/// suspect.
const RECENT_ACTIVITY: Duration = Duration::from_millis(150);
/// Maximum age of an upstream's last activity at which a peer's report of its loss is ignored.
const FRESH_ACTIVITY: Duration = Duration::from_millis(60);
/// Period in which the load of this entry VM is summed up for peers.
const LOAD_PERIOD: Duration = Duration::from_millis(100);
/// Period in which an entry VM polls the reports of the engines that it owns: half of a prefill.
const REPORT_PERIOD: Duration = Duration::from_millis(800);
/// Timeout of a poll for an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Senders of the values that the task publishes.
pub struct Published {
    /// Ids of upstreams that are lost or no longer listed.
    pub lost: watch::Sender<Arc<Vec<String>>>,
    /// Ids of upstreams that are lost, no longer listed, or leaving.
    pub withdrawn: watch::Sender<Arc<Vec<String>>>,
    /// Incarnations by id of upstreams that have announced that they leave and are not listed as
    /// leaving yet.
    pub departing: watch::Sender<Arc<BTreeMap<String, u64>>>,
    /// Loads that this entry VM has placed on upstreams, by upstream id.
    pub loads: watch::Sender<Arc<BTreeMap<String, Load>>>,
    /// Statements of upstreams' limits by upstream id.
    pub statements: watch::Sender<Arc<BTreeMap<String, Statement>>>,
}

/// Owner of the table, driven by messages and timers.
pub struct Task {
    clock: Clock,
    table: Table,
    client: Arc<dyn Client>,
    registrar: Arc<dyn Registrar>,
    reuse_after: Duration,
    successors: mpsc::UnboundedSender<Successor>,
    /// Ids of upstreams that the last change of the directory removed.
    removed: Vec<String>,
    /// Ids of upstreams in suspect zones that are being checked.
    checking: BTreeSet<String>,
    /// Ids of lost upstreams of which an old sign of life came and that were asked for a new one,
    /// once for each loss.
    asking: BTreeSet<String>,
    published: Published,
    scope: Scope,
    mailbox: Mailbox<Message>,
}

impl Task {
    /// Task that receives messages through `mailbox` and spawns its checks in `scope`.
    pub fn new(
        dependencies: Dependencies,
        published: Published,
        scope: Scope,
        mailbox: Mailbox<Message>,
    ) -> Self {
        Self {
            clock: dependencies.clock,
            table: dependencies.table,
            client: dependencies.client,
            registrar: dependencies.registrar,
            reuse_after: dependencies.reuse_after,
            successors: dependencies.successors,
            removed: Vec::new(),
            checking: BTreeSet::new(),
            asking: BTreeSet::new(),
            published,
            scope,
            mailbox,
        }
    }

    /// Handles messages until all handles are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut publishing = tokio::time::interval(LOAD_PERIOD);
        publishing.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reporting = tokio::time::interval(REPORT_PERIOD);
        reporting.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = publishing.tick() => {
                    let now = self.clock.uptime();
                    self.publish_lost(now);
                    self.published.loads.send_replace(Arc::new(self.table.loads(now)));
                    publish(&self.published.statements, self.table.statements(now));
                }
                _ = reporting.tick() => self.poll_reports(),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        let now = self.clock.uptime();
        match message {
            Message::Place { demand, books, reply } => {
                let _ = reply.send(self.place(now, &demand, books));
            }
            Message::Reserve { assignment, run, reply } => {
                let _ = reply.send(self.reserve_if_open(now, assignment, &run));
            }
            Message::BookingReply { upstream, booked } => {
                if let Some(state) = self.table.state_mut(&upstream) {
                    state.apply_correction(now, booked.backlog, booked.memory);
                }
            }
            Message::Book { booking, reply } => {
                let _ = reply.send(self.table.book(now, &booking));
            }
            Message::Lend { upstream, reply } => {
                let _ = reply.send(self.table.lend(now, &upstream));
            }
            Message::Lent { upstream } => self.table.borrow(now, &upstream),
            Message::PlaceCopy { demand, primary, reply } => {
                let _ = reply.send(self.place_copy(now, &demand, &primary));
            }
            Message::Release(allocations) => {
                allocations.iter().for_each(|allocation| self.table.release(allocation))
            }
            Message::Outcome { id, outcome } => {
                self.handle_outcome(now, &id, outcome);
            }
            Message::AvailabilityChanged { address, id, asked_at, availability } => {
                let is_named = id.is_some();
                let id = id.or_else(|| self.table.upstream_at(address));
                if let Some(id) = id.filter(|id| self.table.was_listed(id, asked_at)) {
                    // Answers to other calls than requests may lack the statement of a limit.
                    let limit = availability.limit;
                    let limit = limit.filter(|limit| is_named || *limit != Limit::Unlimited);
                    self.record_limit(now, &id, asked_at, limit);
                    self.record_availability(now, &id, availability);
                }
            }
            Message::PeerStatement { id, statement } => {
                if self.table.apply_statement(now, &id, &statement) {
                    self.report_limit(now, &id, "peer");
                }
            }
            Message::PeerDeparture { id, incarnation } => {
                self.record_peer_departure(now, &id, incarnation)
            }
            Message::PrefillMeasured { tokens, took } => self.table.observe_prefill(tokens, took),
            Message::RunMeasured { took } => self.table.observe_run(took),
            Message::Configure(routes) => self.table.configure(routes),
            Message::Upstreams(directory) => {
                self.removed = self.table.set_upstreams(now, &directory);
                self.removed.iter().for_each(|id| _ = self.asking.remove(id));
                self.publish_lost(now);
            }
            Message::Members { alive, known } => {
                self.table.set_members(now, alive);
                self.table.set_known(now, known);
            }
            Message::MembersListed => self.table.mark_members_listed(now),
            Message::EngineReport { id, report, asked_at } => {
                self.record_report(now, &id, &report, asked_at);
            }
            Message::PeerLoads { member, loads } => self.table.record_loads(now, &member, &loads),
            Message::Engines { service, reply } => {
                let _ = reply.send(self.table.engines(now, &service));
            }
            Message::OwnEngines { service, reply } => {
                let _ = reply.send(self.table.own_engines(now, &service));
            }
            Message::Dump(reply) => {
                let _ = reply.send(self.table.states().clone());
            }
        }
    }

    fn handle_outcome(&mut self, now: Duration, id: &str, outcome: Outcome) {
        self.checking.remove(id);
        if matches!(outcome, Outcome::Proven(_)) {
            self.asking.remove(id);
        }
        let Some(state) = self.table.state_mut(id) else {
            return;
        };
        let was_lost = state.is_lost(now);
        match outcome {
            Outcome::Answered(sign) => state.record_success(now, sign),
            Outcome::Proven(sign) => state.record_proof(now, sign),
            Outcome::Delivered => state.record_reachable(now),
            Outcome::Reachable => state.record_reachable(now),
            Outcome::Failed => state.record_failure(now),
            Outcome::Disconnected => {
                state.record_disconnect(now);
                let upstream = state.upstream.clone();
                self.check(upstream);
            }
            Outcome::PeerUnreachable
                if state.is_lost(now) || now <= state.alive_at + FRESH_ACTIVITY => {}
            Outcome::PeerUnreachable => {
                let (upstream, in_use) = (state.upstream.clone(), state.own_memory() > 0);
                if in_use || self.table.watches(&upstream) {
                    self.check(upstream);
                } else if let Some(state) = self.table.state_mut(id) {
                    state.record_peer_unreachable(now);
                }
            }
            Outcome::Unreachable => {
                if state.mark_lost(now) {
                    self.asking.remove(id);
                    let (proof, closed) = (state.proof, state.is_closed(now));
                    let upstream = state.upstream.clone();
                    let age_ms = |at| now.saturating_sub(at).as_millis() as u64;
                    info!("upstream_lost", kv: {
                        upstream = upstream.id, zone = upstream.zone,
                        alive_ago_ms = age_ms(state.alive_at),
                        proven_ago_ms:? = proof.map(|proof| age_ms(proof.asked_at)),
                        proven_by:? = proof.map(|proof| proof.answered)
                    });
                    let service = upstream.service.clone();
                    if !closed && self.table.watches(&upstream) {
                        self.probe_successor(upstream, proof);
                    }
                    self.check_zone(now, &service);
                }
            }
        }
        let Some(state) = self.table.states().get(id) else {
            return;
        };
        if state.is_lost(now) != was_lost {
            self.publish_lost(now);
        } else if was_lost && matches!(outcome, Outcome::Answered(_) | Outcome::Delivered) {
            self.ask(state.upstream.clone());
        }
    }

    /// Asks a lost upstream of which an old sign of life came for a new one, in the background.
    fn ask(&mut self, upstream: Arc<Upstream>) {
        if !self.asking.insert(upstream.id.clone()) {
            return;
        }
        let path = self.table.check_path(&upstream.service);
        let (clock, client, mailbox) = (self.clock, self.client.clone(), self.mailbox.clone());
        self.scope.spawn(async move {
            let asked_at = clock.uptime();
            let found = client.identify(upstream.address, &path, CHECK_TIMEOUT).await;
            let id = upstream.id.clone();
            if found.as_ref() == Some(&id) {
                let sign = Sign { answered: Question::Check, asked_at };
                mailbox.send(Message::Outcome { id, outcome: Outcome::Proven(sign) });
            }
        });
    }

    /// Records the availability that the upstream `id` announced.
    fn record_availability(&mut self, now: Duration, id: &str, availability: Availability) {
        if let Some(pause) = availability.closed_for
            && let Some(state) = self.table.state_mut(id)
        {
            state.close(now + pause);
            let pause_ms = pause.as_millis() as u64;
            info!("upstream_closed", kv: { upstream = id, pause_ms });
        }
        if availability.leaving {
            self.record_departure(now, id, "upstream");
        }
    }

    /// Records the limit in the answer of the upstream `id` to a question sent at `asked_at`.
    fn record_limit(&mut self, now: Duration, id: &str, asked_at: Duration, limit: Option<Limit>) {
        if let Some(limit) = limit
            && self.table.record_limit(now, id, asked_at, limit)
        {
            self.report_limit(now, id, "upstream");
        }
    }

    /// Logs the changed limit of an upstream and publishes it for heartbeats.
    fn report_limit(&self, now: Duration, id: &str, source: &str) {
        let Some(state) = self.table.states().get(id) else {
            return;
        };
        match state.limit.per_second() {
            Some(per_s) => info!("upstream_limited", kv: {
                upstream = id, per_s, own_per_s:? = self.table.rate(id), source
            }),
            None => info!("upstream_unlimited", kv: { upstream = id, source }),
        }
        publish(&self.published.statements, self.table.statements(now));
    }

    fn record_peer_departure(&mut self, now: Duration, id: &str, incarnation: u64) {
        let state = self.table.states().get(id);
        if state.is_some_and(|state| state.matches_incarnation(incarnation)) {
            self.record_departure(now, id, "peer");
        }
    }

    fn record_departure(&mut self, now: Duration, id: &str, source: &str) {
        let Some(state) = self.table.state_mut(id) else {
            return;
        };
        if state.record_departure() {
            let listed = state.upstream.leaving;
            info!("upstream_departs", kv: { upstream = id, source, listed });
            self.publish_lost(now);
        }
    }

    fn record_report(&mut self, now: Duration, id: &str, report: &Report, asked_at: Duration) {
        let Some(state) = self.table.state_mut(id) else {
            return;
        };
        if !state.matches_incarnation(report.incarnation) {
            return self.handle_outcome(now, id, Outcome::Unreachable);
        }
        let reported = Reported {
            tokens: report.memory_tokens,
            requests: report.running + report.waiting,
            unread: report.unread,
        };
        state.record_report(now, reported);
        // Without both incarnations, a later process at the address can't be told apart.
        if report.incarnation != 0 && state.upstream.incarnation != 0 {
            state.record_proof(now, Sign { answered: Question::Report, asked_at });
        }
    }

    /// Polls the reports of the engines that this entry VM owns, for itself and for peers.
    fn poll_reports(&self) {
        for upstream in self.table.engines_to_poll(self.clock.uptime()) {
            let (clock, client, mailbox) = (self.clock, self.client.clone(), self.mailbox.clone());
            self.scope.spawn(async move {
                let (id, asked_at) = (upstream.id.clone(), clock.uptime());
                let message = match client.report(upstream.address, REPORT_TIMEOUT).await {
                    Some(report) => Message::EngineReport { id, report, asked_at },
                    None => Message::Outcome { id, outcome: Outcome::Disconnected },
                };
                mailbox.send(message);
            });
        }
    }

    /// Checks in the background whether an upstream still accepts connections.
    fn check(&self, upstream: Arc<Upstream>) {
        let (client, mailbox) = (self.client.clone(), self.mailbox.clone());
        self.scope.spawn(async move {
            let alive = client.check(upstream.address, CHECK_TIMEOUT).await;
            let outcome = if alive { Outcome::Reachable } else { Outcome::Unreachable };
            mailbox.send(Message::Outcome { id: upstream.id.clone(), outcome });
        });
    }

    /// Finds out in the background which process has the address of a lost upstream, of whose own
    /// process `proof` is the latest sign.
    fn probe_successor(&self, lost: Arc<Upstream>, proof: Option<Sign>) {
        let id = lost.id.clone();
        let probe = SuccessorProbe {
            clock: self.clock,
            client: self.client.clone(),
            path: self.table.check_path(&lost.service),
            own_until: proof.map(|proof| proof.asked_at + self.reuse_after),
            reuse_after: self.reuse_after,
            only_engines: self.table.is_only_engine_service(&lost.service),
            lost,
        };
        let (mailbox, successors) = (self.mailbox.clone(), self.successors.clone());
        self.scope.spawn(async move {
            match probe.run().await {
                Some(ProbeResult::SameProcess { asked_at }) => {
                    let sign = Sign { answered: Question::Check, asked_at };
                    mailbox.send(Message::Outcome { id, outcome: Outcome::Proven(sign) });
                }
                Some(ProbeResult::Succeeded(successor)) => {
                    let _ = successors.send(successor);
                }
                None => {}
            }
        });
    }

    /// Checks the inactive engines of suspect zones that hold work of this entry VM or are watched
    /// by it.
    fn check_zone(&mut self, now: Duration, service: &str) {
        for upstream in
            self.table.inactive_engines(now, service, now.saturating_sub(RECENT_ACTIVITY))
        {
            if self.checking.insert(upstream.id.clone()) {
                self.check(upstream);
            }
        }
    }

    fn publish_lost(&self, now: Duration) {
        let lost = self.table.states().values().filter(|state| state.is_lost(now));
        let lost = lost.map(|state| state.upstream.id.clone());
        let lost: Vec<_> = lost.chain(self.removed.iter().cloned()).collect();
        let leaving = self.table.states().values().filter(|state| state.is_leaving());
        let leaving = leaving.map(|state| state.upstream.id.clone());
        let withdrawn: Vec<_> = lost.iter().cloned().chain(leaving).collect();
        publish(&self.published.lost, lost);
        publish(&self.published.withdrawn, withdrawn);
        publish(&self.published.departing, self.table.departing());
    }

    fn place(
        &mut self,
        now: Duration,
        demand: &Demand,
        books: bool,
    ) -> Result<PlaceReply, Unplaced> {
        let choice = self.table.choose(now, demand);
        self.ask_for_loan(now, &demand.service, &choice);
        let assignment = match choice {
            Choice::Found(assignment) => assignment,
            Choice::Full { retry_after } => {
                let retry_after = self.table.offer(now, &demand.service).unwrap_or(retry_after);
                if let Some(census) = self.table.census(now, demand) {
                    let retry_after_ms = retry_after.as_millis() as u64;
                    info!("placement_full", kv: {
                        service = demand.service, retry_after_ms, census = census.to_string()
                    });
                }
                return Err(Unplaced::Full { retry_after });
            }
            Choice::NoUpstream => return Err(Unplaced::NoUpstream),
        };
        let run = demand.run.as_ref().filter(|_| books);
        match run.and_then(|run| self.table.booking(now, &assignment, run)) {
            Some(booking) => Ok(PlaceReply::NeedsBooking(assignment, booking)),
            None => Ok(PlaceReply::Placed(self.reserve(now, assignment, demand.run.as_ref()))),
        }
    }

    /// Asks another entry VM in the background for a request to a limited upstream of which this
    /// one has no part, if `choice` shows that the service's other upstreams are in use.
    fn ask_for_loan(&mut self, now: Duration, service: &str, choice: &Choice) {
        let chosen = match choice {
            Choice::Found(assignment) => Some(assignment.upstream.id.as_str()),
            Choice::Full { .. } | Choice::NoUpstream => None,
        };
        let Some((lender, upstream)) = self.table.loan(now, service, chosen) else {
            return;
        };
        let (registrar, mailbox) = (self.registrar.clone(), self.mailbox.clone());
        self.scope.spawn(async move {
            if registrar.borrow(&lender, &upstream).await {
                mailbox.send(Message::Lent { upstream });
            }
        });
    }

    /// Reserves a booked assignment; none if its upstream takes no request any more.
    fn reserve_if_open(
        &mut self,
        now: Duration,
        assignment: Assignment,
        run: &Run,
    ) -> Option<Placement> {
        let open = self.table.is_open(now, &assignment.upstream.id);
        open.then(|| self.reserve(now, assignment, Some(run)))
    }

    fn reserve(&mut self, now: Duration, assignment: Assignment, run: Option<&Run>) -> Placement {
        let allocations = self.table.begin(now, &assignment, run);
        let Assignment { upstream, backup, has_copy, wait, uncontended } = assignment;
        let permit = Permit { allocations, mailbox: self.mailbox.clone() };
        let speed = self.table.speed();
        Placement { upstream, backup, has_copy, wait, uncontended, speed, permit }
    }

    fn place_copy(&mut self, now: Duration, demand: &Demand, primary: &Upstream) -> Option<Copy> {
        let upstream = self.table.choose_copy(now, demand, primary)?;
        let tokens = demand.run.as_ref().map_or(0, |run| run.footprint);
        let allocation = Allocation { upstream: upstream.clone(), tokens, runs: false };
        self.table.allocate(&allocation);
        let engine = self.table.engine(&demand.service);
        let ttl = Duration::from_millis(engine.map_or(0, |engine| engine.copy_term_ms));
        Some(Copy {
            upstream,
            ttl,
            _permit: Permit { allocations: vec![allocation], mailbox: self.mailbox.clone() },
        })
    }
}

/// Publishes a value and notifies its receivers if it has changed.
fn publish<T: PartialEq>(sender: &watch::Sender<Arc<T>>, value: T) {
    sender.send_if_modified(|current| {
        let changed = **current != value;
        if changed {
            *current = Arc::new(value);
        }
        changed
    });
}
