//! The task that owns the table.

use super::allocation::Allocation;
use super::assignment::Assignment;
use super::choice::Choice;
use super::demand::{Demand, Run};
use super::message::{Choosing, Message, Outcome};
use super::place::{Copy, Permit, Placement, Unplaced};
use super::placer::Dependencies;
use super::state::{Load, Reported};
use super::succession::{Finding, Inquiry, Successor};
use super::table::Table;
use crate::clock::Clock;
use crate::fleet::Upstream;
use crate::mailbox::Mailbox;
use crate::prelude::*;
use crate::scope::Scope;
use crate::upstream::{Availability, Client, Report};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

/// Limit of a check whether an upstream accepts connections: a round trip between zones many
/// times over.
const CHECK_LIMIT: Duration = Duration::from_millis(80);
/// Signs of life that spare an engine a check when its zone is doubted.
const RECENT_LIFE: Duration = Duration::from_millis(150);
/// Signs of life that outweigh a peer's word.
const FRESH_LIFE: Duration = Duration::from_millis(60);
/// How often the own load is summed up for peers.
const LOAD_PERIOD: Duration = Duration::from_millis(100);
/// How often an engine is asked what it allocations, by the entry VM that owns it; half of a prefill.
const REPORT_PERIOD: Duration = Duration::from_millis(800);
/// Limit of such a question.
const REPORT_LIMIT: Duration = Duration::from_millis(300);

/// What the task tells whoever watches.
pub struct Published {
    /// Upstreams that are gone.
    pub lost: watch::Sender<Arc<Vec<String>>>,
    /// Upstreams that are gone or leaving.
    pub withdrawn: watch::Sender<Arc<Vec<String>>>,
    /// Upstreams that leave by their own word, and their incarnations.
    pub departing: watch::Sender<Arc<BTreeMap<String, u64>>>,
    /// What this entry VM has given to upstreams.
    pub loads: watch::Sender<Arc<BTreeMap<String, Load>>>,
}

/// The task.
pub struct Task {
    clock: Clock,
    table: Table,
    client: Arc<dyn Client>,
    reuse_after: Duration,
    successors: mpsc::UnboundedSender<Successor>,
    /// Upstreams that the last directory no longer had.
    departed: Vec<String>,
    /// Upstreams of doubted zones that are being checked.
    checking: BTreeSet<String>,
    published: Published,
    /// Time for which this VM was suspended, as known at the last look.
    suspended: Duration,
    scope: Scope,
    mailbox: Mailbox<Message>,
}

impl Task {
    /// The task for `parts`.
    pub fn new(
        parts: Dependencies,
        published: Published,
        scope: Scope,
        mailbox: Mailbox<Message>,
    ) -> Self {
        Self {
            clock: parts.clock,
            table: parts.table,
            client: parts.client,
            reuse_after: parts.reuse_after,
            successors: parts.successors,
            departed: Vec::new(),
            checking: BTreeSet::new(),
            published,
            suspended: parts.clock.suspended(),
            scope,
            mailbox,
        }
    }

    /// Runs until all handles are gone.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
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
                    self.notice_suspension();
                    self.publish_lost(self.clock.now());
                    let loads = self.table.loads(self.clock.now());
                    self.published.loads.send_replace(Arc::new(loads));
                }
                _ = reporting.tick() => self.ask_reports(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Place { demand, books, reply } => {
                let _ = reply.send(self.place(now, &demand, books));
            }
            Message::Hold { assignment, run, reply } => {
                let _ = reply.send(self.hold(now, assignment, Some(&run)));
            }
            Message::Corrected { upstream, booked } => {
                if let Some(state) = self.table.state_mut(&upstream) {
                    state.correct(now, booked.backlog, booked.memory);
                }
            }
            Message::Book { booking, reply } => {
                let _ = reply.send(self.table.book(now, &booking));
            }
            Message::PlaceCopy { demand, primary, reply } => {
                let _ = reply.send(self.place_copy(now, &demand, &primary));
            }
            Message::Release(allocations) => {
                allocations.iter().for_each(|allocation| self.table.give_back(allocation))
            }
            Message::Outcome { id, outcome } => {
                self.judge(now, &id, outcome);
            }
            Message::Stands { address, id, availability } => {
                self.stand(now, address, id, availability)
            }
            Message::Departs { id, incarnation } => {
                let known = self.table.states().get(&id);
                if known.is_some_and(|state| state.is_incarnation(incarnation)) {
                    self.depart(now, &id, "peer");
                }
            }
            Message::Read { tokens, took } => self.table.observe_prefill(tokens, took),
            Message::Ran { took } => self.table.observe_run(took),
            Message::Configure(routes) => self.table.configure(routes),
            Message::Upstreams(directory) => {
                self.departed = self.table.set_upstreams(&directory);
                self.publish_lost(now);
            }
            Message::Members(members) => self.table.set_members(members),
            Message::Reported { id, report } => self.report(now, &id, &report),
            Message::Heard { member, loads } => self.table.record_loads(now, &member, &loads),
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

    fn judge(&mut self, now: Duration, id: &str, outcome: Outcome) {
        self.checking.remove(id);
        let Some(state) = self.table.state_mut(id) else {
            return;
        };
        let was_lost = state.is_lost(now);
        match outcome {
            Outcome::Answered => state.succeed(now),
            Outcome::Proven => state.show_life(now),
            Outcome::Reached => state.reach(now),
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
                    let (proven_at, closed) = (state.proven_at, state.is_closed(now));
                    let upstream = state.upstream.clone();
                    info!("upstream_lost", kv: {
                        upstream = upstream.id, zone = upstream.zone,
                        alive_ago_ms = now.saturating_sub(state.alive_at).as_millis() as u64
                    });
                    let service = upstream.service.clone();
                    if !closed && self.table.watches(&upstream) {
                        self.inquire(upstream, proven_at);
                    }
                    self.check_zone(now, &service);
                }
            }
        }
        if self.table.states().get(id).is_some_and(|state| state.is_lost(now) != was_lost) {
            self.publish_lost(now);
        }
    }

    /// Takes what an upstream says of itself.
    fn stand(
        &mut self,
        now: Duration,
        address: SocketAddr,
        id: Option<String>,
        availability: Availability,
    ) {
        let Some(id) = id.or_else(|| self.table.at(address)) else {
            return;
        };
        if let Some(pause) = availability.closed_for
            && let Some(state) = self.table.state_mut(&id)
        {
            state.close(now + pause);
            let pause_ms = pause.as_millis() as u64;
            info!("upstream_closed", kv: { upstream = id, pause_ms });
        }
        if availability.leaving {
            self.depart(now, &id, "upstream");
        }
    }

    fn depart(&mut self, now: Duration, id: &str, source: &str) {
        let Some(state) = self.table.state_mut(id) else {
            return;
        };
        if state.depart() {
            let listed = state.upstream.leaving;
            info!("upstream_departs", kv: { upstream = id, source, listed });
            self.publish_lost(now);
        }
    }

    fn report(&mut self, now: Duration, id: &str, report: &Report) {
        let Some(state) = self.table.state_mut(id) else {
            return;
        };
        if !state.is_incarnation(report.incarnation) {
            return self.judge(now, id, Outcome::Gone);
        }
        let reported = Reported {
            tokens: report.memory_tokens,
            requests: report.running + report.waiting,
            unread: report.unread,
        };
        state.report(now, reported);
    }

    /// Asks the engines that this entry VM owns what they hold, for itself and for peers.
    fn ask_reports(&self) {
        for upstream in self.table.engines_to_ask(self.clock.now()) {
            let (client, mailbox) = (self.client.clone(), self.mailbox.clone());
            self.scope.spawn(async move {
                let id = upstream.id.clone();
                let message = match client.report(upstream.address, REPORT_LIMIT).await {
                    Some(report) => Message::Reported { id, report },
                    None => Message::Outcome { id, outcome: Outcome::Broken },
                };
                mailbox.send(message);
            });
        }
    }

    /// Asks whether an upstream still accepts connections.
    fn check(&self, upstream: Arc<Upstream>) {
        let (client, mailbox) = (self.client.clone(), self.mailbox.clone());
        self.scope.spawn(async move {
            let alive = client.check(upstream.address, CHECK_LIMIT).await;
            let outcome = if alive { Outcome::Reached } else { Outcome::Gone };
            mailbox.send(Message::Outcome { id: upstream.id.clone(), outcome });
        });
    }

    /// Asks who has the address of a lost upstream whose own process was last seen at `proven_at`.
    fn inquire(&mut self, lost: Arc<Upstream>, proven_at: Duration) {
        let slept = self.notice_suspension();
        let own_until = if slept { Duration::ZERO } else { proven_at + self.reuse_after };
        let id = lost.id.clone();
        let inquiry = Inquiry {
            clock: self.clock,
            client: self.client.clone(),
            path: self.table.check_path(&lost.service),
            own_until,
            only_engines: self.table.is_only_engine_service(&lost.service),
            lost,
        };
        let (mailbox, successors) = (self.mailbox.clone(), self.successors.clone());
        self.scope.spawn(async move {
            match inquiry.run().await {
                Some(Finding::Itself) => {
                    mailbox.send(Message::Outcome { id, outcome: Outcome::Proven });
                }
                Some(Finding::Succeeded(successor)) => {
                    let _ = successors.send(successor);
                }
                None => {}
            }
        });
    }

    /// Whether this VM was suspended since the last look: what was seen before it is old then.
    fn notice_suspension(&mut self) -> bool {
        let slept = self.clock.slept_since(self.suspended);
        let suspended = self.clock.suspended();
        self.suspended = suspended;
        if slept {
            info!("suspension_noticed", kv: { total_ms = suspended.as_millis() as u64 });
            self.table.forget_proofs();
        }
        slept
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
        let leaving = self.table.states().values().filter(|state| state.is_leaving());
        let leaving = leaving.map(|state| state.upstream.id.clone());
        let withdrawn: Vec<_> = lost.iter().cloned().chain(leaving).collect();
        publish(&self.published.lost, lost);
        publish(&self.published.withdrawn, withdrawn);
        publish(&self.published.departing, self.table.departing());
    }

    fn place(&mut self, now: Duration, demand: &Demand, books: bool) -> Result<Choosing, Unplaced> {
        let assignment = match self.table.choose(now, demand) {
            Choice::Found(assignment) => assignment,
            Choice::Full { retry_after } => {
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
            Some(booking) => Ok(Choosing::ToBook(assignment, booking)),
            None => Ok(Choosing::Held(self.hold(now, assignment, demand.run.as_ref()))),
        }
    }

    fn hold(&mut self, now: Duration, assignment: Assignment, run: Option<&Run>) -> Placement {
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
        self.table.take(&allocation);
        let engine = self.table.engine(&demand.service);
        let ttl = Duration::from_millis(engine.map_or(0, |engine| engine.copy_term_ms));
        Some(Copy {
            upstream,
            ttl,
            _permit: Permit { allocations: vec![allocation], mailbox: self.mailbox.clone() },
        })
    }
}

/// Tells who watches, if it is news.
fn publish<T: PartialEq>(sender: &watch::Sender<Arc<T>>, ids: T) {
    sender.send_if_modified(|known| {
        let changed = **known != ids;
        if changed {
            *known = Arc::new(ids);
        }
        changed
    });
}
