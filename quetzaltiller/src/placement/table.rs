//! State of all upstreams and the choice among them, without I/O.
//!
//! [`Table`] combines the configuration, the directory of upstreams, the partition of engines among
//! entry VMs and the [`State`] of each upstream. The caller passes the time, so that tests can
//! choose it.

use super::allocation::Allocation;
use super::assignment::Assignment;
use super::booking::{self, Booked, Booking};
use super::census::Census;
use super::choice::Choice;
use super::demand::{Demand, Run};
use super::engines::{self, Engines};
use super::limit::Statement;
use super::shares::{Peer, Shares};
use super::speed::Speed;
use super::state::{Load, State};
use crate::control::Member;
use crate::fleet::{Directory, Upstream};
use crate::routes;
use crate::upstream;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Cost of a replica in another zone, in requests in flight: a replica of the own zone with this
/// many more is equally good.
const OTHER_ZONE_REQUESTS: f64 = 4.0;
/// Weight of a replica's failure rate, as requests in flight.
const FAILURE_REQUESTS: f64 = 20.0;
/// Minimum number of recently unreachable engines that makes their zone suspect.
const SUSPECT_ZONE_ENGINES: usize = 2;
/// Time for which the end of an upstream's limit is told to other entry VMs: several rotations of
/// heartbeats among a few hundred members.
const STATEMENT_RETENTION: Duration = Duration::from_secs(60);
/// Time for which an unreachable engine counts towards a suspect zone: about the time in which
/// engines restart.
const SUSPECT_ZONE_DURATION: Duration = Duration::from_millis(1_000);

/// States of all upstreams, and what a choice among them depends on.
#[derive(Clone, Debug, Default)]
pub struct Table {
    states: BTreeMap<String, State>,
    /// Ids of the upstreams in the last load message of each other entry VM.
    member_upstreams: BTreeMap<String, Vec<String>>,
    routes: Arc<routes::Table>,
    shares: Shares,
    speed: Speed,
}

impl Table {
    /// Empty table of the entry VM `own_name` in `own_zone`.
    pub fn new(own_name: &str, own_zone: &str) -> Self {
        Self { shares: Shares::new(own_name, own_zone), ..Self::default() }
    }

    /// Name of this entry VM.
    pub fn own_name(&self) -> &str {
        self.shares.own_name()
    }

    /// Replaces the configuration.
    pub fn configure(&mut self, routes: Arc<routes::Table>) {
        self.routes = routes;
    }

    /// Replaces the loads that another entry VM has placed on upstreams.
    pub fn record_loads(&mut self, now: Duration, member: &str, loads: &BTreeMap<String, Load>) {
        let ids = loads.keys().cloned().collect();
        let before = self.member_upstreams.insert(member.to_owned(), ids).unwrap_or_default();
        for id in before.iter().filter(|id| !loads.contains_key(*id)) {
            self.remove_load(member, id);
        }
        for (id, load) in loads {
            if let Some(state) = self.states.get_mut(id) {
                state.record_load(now, member, *load);
            }
        }
    }

    fn remove_load(&mut self, member: &str, id: &str) {
        if let Some(state) = self.states.get_mut(id) {
            state.remove_load(member);
        }
    }

    /// Loads that this entry VM has placed on upstreams, with the recent reports of engines that it
    /// owns in its zone.
    pub fn loads(&self, now: Duration) -> BTreeMap<String, Load> {
        let load = |state: &State| Load {
            in_flight: state.in_flight,
            backlog: state.own_backlog(now),
            tokens: state.own_memory(),
            reported: state.fresh_report(now).filter(|_| self.is_own(&state.upstream)),
        };
        let loads = self.states.iter().map(|(id, state)| (id, load(state)));
        let loads = loads.filter(|(_, load)| load.tokens > 0 || load.reported.is_some());
        loads.map(|(id, load)| (id.clone(), load)).collect()
    }

    /// Replaces the other entry VMs that are alive, and removes the loads of those that no longer
    /// are.
    pub fn set_members(&mut self, now: Duration, members: Vec<Peer>) {
        if self.shares.members() == members {
            return;
        }
        let alive: BTreeSet<_> = members.iter().map(|member| member.name.as_str()).collect();
        let removed = self.member_upstreams.keys().filter(|name| !alive.contains(name.as_str()));
        for member in removed.cloned().collect::<Vec<_>>() {
            let ids = self.member_upstreams.remove(&member).unwrap_or_default();
            ids.iter().for_each(|id| self.remove_load(&member, id));
        }
        if self.shares.set_members(members) {
            self.partition_upstreams();
        }
        self.divide_limits(now);
    }

    /// Replaces the other entry VMs that may be running, silent ones included.
    pub fn set_known(&mut self, now: Duration, known: Vec<Member>) {
        if self.shares.set_known(known) {
            self.divide_limits(now);
        }
    }

    /// Records that the store has listed the entry VMs.
    pub fn mark_members_listed(&mut self, now: Duration) {
        self.shares.mark_listed();
        self.divide_limits(now);
    }

    /// Records the limit in the answer to a request that was sent to an upstream at `sent_at`;
    /// returns whether it changed.
    pub fn record_limit(
        &mut self,
        now: Duration,
        id: &str,
        sent_at: Duration,
        limit: upstream::Limit,
    ) -> bool {
        let changed =
            self.state_mut(id).is_some_and(|state| state.limit.record_answer(now, sent_at, limit));
        if changed {
            self.divide_limit(now, id);
        }
        changed
    }

    /// Applies the statement of an upstream's limit that another entry VM knows; returns whether it
    /// was newer.
    pub fn apply_statement(&mut self, now: Duration, id: &str, statement: &Statement) -> bool {
        let known = self.state_mut(id);
        let current = known.filter(|state| state.matches_incarnation(statement.incarnation));
        let is_newer = current.is_some_and(|state| state.limit.apply(now, statement));
        if is_newer {
            self.divide_limit(now, id);
        }
        is_newer
    }

    /// Statements of upstreams' limits by id, to tell other entry VMs.
    pub fn statements(&self, now: Duration) -> BTreeMap<String, Statement> {
        let statement = |(id, state): (&String, &State)| {
            let statement =
                state.limit.statement(now, state.upstream.incarnation, STATEMENT_RETENTION)?;
            Some((id.clone(), statement))
        };
        self.states.iter().filter_map(statement).collect()
    }

    /// Whether this entry VM may send an upstream a request now.
    pub fn is_open(&self, now: Duration, id: &str) -> bool {
        self.states.get(id).is_some_and(|state| state.is_open(now))
    }

    /// Requests per second that this entry VM may send to a limited upstream.
    pub fn rate(&self, id: &str) -> Option<f64> {
        let state = self.states.get(id)?;
        Some(self.shares.rate(&state.upstream, state.limit.per_second()?))
    }

    /// Address of the entry VM to ask for a request to a limited upstream, and the upstream's id.
    /// None if the service has no upstream without credit of this entry VM, or if it was just
    /// asked. With a `chosen` upstream, a loan is worth while only if another zone would be
    /// preferred to it.
    pub fn loan(
        &mut self,
        now: Duration,
        service: &str,
        chosen: Option<&str>,
    ) -> Option<(String, String)> {
        let busy =
            |id| self.states.get(id).is_some_and(|s| f64::from(s.in_flight) >= OTHER_ZONE_REQUESTS);
        if !chosen.is_none_or(busy) {
            return None;
        }
        let Self { states, shares, .. } = self;
        let of_service = states.values_mut().filter(|state| state.upstream.service == service);
        of_service
            .filter(|state| !state.is_leaving() && !state.is_closed(now) && !state.is_suspect(now))
            .find_map(|state| {
                let limit = state.limit.per_second().filter(|_| state.limit.ask(now))?;
                let lender = shares.lender(&state.upstream, limit)?;
                Some((lender.address.clone(), state.upstream.id.clone()))
            })
    }

    /// Lends another entry VM a request to a limited upstream; returns whether there is one.
    pub fn lend(&mut self, now: Duration, id: &str) -> bool {
        self.state_mut(id).is_some_and(|state| state.limit.lend(now))
    }

    /// Records a request to a limited upstream that another entry VM has lent.
    pub fn borrow(&mut self, now: Duration, id: &str) {
        if let Some(state) = self.state_mut(id) {
            state.limit.borrow(now);
        }
    }

    fn divide_limit(&mut self, now: Duration, id: &str) {
        if let Some(rate) = self.rate(id)
            && let Some(state) = self.states.get_mut(id)
        {
            state.limit.set_rate(now, rate);
        }
    }

    fn divide_limits(&mut self, now: Duration) {
        let limited = self.states.iter().filter(|(_, state)| state.limit.per_second().is_some());
        let limited: Vec<_> = limited.map(|(id, _)| id.clone()).collect();
        limited.iter().for_each(|id| self.divide_limit(now, id));
    }

    /// Time after which a caller may return that is refused because no upstream of `service` is
    /// open. Callers that are refused one after the other are spread over the upstreams' limits.
    pub fn offer(&mut self, now: Duration, service: &str) -> Option<Duration> {
        let of_service = self.states.values_mut().filter(|state| state.upstream.service == service);
        let usable: Vec<_> = of_service.filter(|state| !state.is_leaving()).collect();
        if usable.iter().any(|state| state.is_open(now)) {
            return None;
        }
        let limited = usable.into_iter().filter(|state| !state.is_closed(now));
        let first = limited.min_by_key(|state| state.limit.wait(now))?;
        Some(first.limit.offer(now))
    }

    /// Replaces the upstreams by those of `directory`; returns the ids that are no longer listed.
    /// An upstream with a new incarnation or address starts with an empty state.
    pub fn set_upstreams(&mut self, now: Duration, directory: &Directory) -> Vec<String> {
        let removed = self.states.keys().filter(|id| directory.upstream(id).is_none());
        let removed = removed.cloned().collect();
        for upstream in directory.upstreams() {
            match self.states.get_mut(&upstream.id) {
                Some(state) if state.is_same_process(upstream) => {
                    state.upstream = upstream.clone();
                }
                _ => {
                    self.states.insert(upstream.id.clone(), State::new(now, upstream.clone()));
                }
            }
        }
        self.states.retain(|id, _| directory.upstream(id).is_some());
        self.partition_upstreams();
        removed
    }

    /// Path of a service's health check.
    pub fn check_path(&self, service: &str) -> String {
        self.routes.service(service).map(|service| service.check_path.clone()).unwrap_or_default()
    }

    /// Whether `service` is the only one with engines, so that any process that serves models
    /// belongs to it.
    pub fn is_only_engine_service(&self, service: &str) -> bool {
        let mut engines = self.routes.services().iter().filter(|known| known.engine.is_some());
        engines.next().is_some_and(|first| first.name == service) && engines.next().is_none()
    }

    /// States by upstream id.
    pub fn states(&self) -> &BTreeMap<String, State> {
        &self.states
    }

    /// Id of the upstream at `address`, for answers that do not name it; upstreams that were lost
    /// and have given no sign of life since are left out.
    pub fn upstream_at(&self, address: SocketAddr) -> Option<String> {
        let mut states = self.states.values().filter(|state| state.upstream.address == address);
        states.find(|state| !state.is_unproven()).map(|state| state.upstream.id.clone())
    }

    /// Whether a question sent at `asked_at` was sent to this incarnation of an upstream, and not
    /// to an earlier process with its id or address.
    pub fn was_listed(&self, id: &str, asked_at: Duration) -> bool {
        self.states.get(id).is_some_and(|state| state.listed_at <= asked_at)
    }

    /// Incarnations by id of upstreams that have announced that they leave and are not listed as
    /// leaving yet.
    pub fn departing(&self) -> BTreeMap<String, u64> {
        let departing = self.states.iter().filter(|(_, state)| state.is_departing_unlisted());
        departing.map(|(id, state)| (id.clone(), state.upstream.incarnation)).collect()
    }

    /// State of one upstream; none if it is not listed.
    pub fn state_mut(&mut self, id: &str) -> Option<&mut State> {
        self.states.get_mut(id)
    }

    /// Chooses an upstream for `demand`, and for a run an engine for its copies.
    pub fn choose(&self, now: Duration, demand: &Demand) -> Choice {
        let listed: Vec<_> = self.not_leaving(&demand.service).collect();
        let open: Vec<_> = listed.iter().copied().filter(|state| state.is_open(now)).collect();
        if open.is_empty()
            && let Some(retry_after) = listed.iter().map(|state| state.opens_in(now)).min()
        {
            return Choice::Full { retry_after };
        }
        let preferred: Vec<_> = open
            .iter()
            .copied()
            .filter(|state| !demand.avoid.contains(&state.upstream.id) && !state.is_suspect(now))
            .collect();
        let fallback = || open.iter().copied().filter(|s| !demand.avoid.contains(&s.upstream.id));
        let candidates = if preferred.is_empty() { fallback().collect() } else { preferred };
        if candidates.is_empty() {
            return Choice::NoUpstream;
        }
        let Some(run) = &demand.run else {
            return self.choose_replica(now, &candidates);
        };
        let mut suspect_zones = self.suspect_zones(now, &demand.service);
        let failed = demand.avoid.iter().filter_map(|id| self.states.get(id));
        suspect_zones.extend(failed.map(|state| state.upstream.zone.clone()));
        self.engines_for(now, &demand.service, run, (candidates, suspect_zones)).choose()
    }

    /// Counts the engines of the service by the reason why they can't take the run of `demand`;
    /// none for a request without a run.
    pub fn census(&self, now: Duration, demand: &Demand) -> Option<Census> {
        let run = demand.run.as_ref()?;
        let engines = self.not_leaving(&demand.service);
        Some(Census::new(now, engines, run, self.engine(&demand.service)))
    }

    /// Chooses an engine for a copy of a run at `primary`; none if the service's engines don't make
    /// copies on request.
    pub fn choose_copy(
        &self,
        now: Duration,
        demand: &Demand,
        primary: &Upstream,
    ) -> Option<Arc<Upstream>> {
        let run = demand.run.as_ref()?;
        self.engine(&demand.service).filter(|engine| engine.moves)?;
        let usable = |state: &&State| !state.is_suspect(now) && !state.is_closed(now);
        let candidates = self.not_leaving(&demand.service).filter(usable).collect();
        let suspect_zones = self.suspect_zones(now, &demand.service);
        let engines = self.engines_for(now, &demand.service, run, (candidates, suspect_zones));
        engines.choose_backup(&engines.candidates, primary)
    }

    fn engines_for<'a>(
        &'a self,
        now: Duration,
        service: &str,
        run: &'a Run,
        (candidates, suspect_zones): (Vec<&'a State>, BTreeSet<String>),
    ) -> Engines<'a> {
        let engine = self.engine(service);
        let (shares, speed) = (&self.shares, self.speed);
        Engines { now, run, candidates, suspect_zones, engine, shares, speed }
    }

    /// Configured properties of a service's engines; none for a plain service.
    pub fn engine(&self, service: &str) -> Option<&routes::Engine> {
        self.routes.service(service)?.engine.as_ref()
    }

    /// Booking that an assignment needs at another entry VM; none if this one is the engine's
    /// registrar, or if the prompt is too short for a booking.
    pub fn booking(&self, now: Duration, assignment: &Assignment, run: &Run) -> Option<Booking> {
        let prefill = self.prefill_of(assignment, run);
        if prefill < booking::MIN_PREFILL {
            return None;
        }
        let registrar = self.shares.registrar(&assignment.upstream)?;
        let state = self.states.get(&assignment.upstream.id);
        let backlog = state.map(|state| state.backlog(now, self.speed));
        let latest = run.objective.and_then(|objective| objective.checked_sub(prefill));
        let limit = backlog.unwrap_or_default() + booking::WAIT_TOLERANCE;
        Some(Booking {
            registrar: registrar.address.clone(),
            upstream: assignment.upstream.id.clone(),
            prefill,
            tokens: run.footprint,
            limit: latest.map_or(limit, |latest| limit.min(latest)),
        })
    }

    /// Accepts or declines a booking, as the registrar of its engine; none if the engine is not
    /// listed.
    pub fn book(&mut self, now: Duration, booking: &Booking) -> Option<Booked> {
        let state = self.states.get(&booking.upstream)?;
        let limit = engines::memory_limit(self.engine(&state.upstream.service));
        let (backlog, memory) = (state.backlog(now, self.speed), state.memory(now));
        let fits = state.has_room(now, booking.tokens, limit);
        let accepted = fits && backlog <= booking.limit;
        if accepted && let Some(state) = self.states.get_mut(&booking.upstream) {
            state.book(now, booking.prefill, booking.tokens);
        }
        Some(Booked { accepted, backlog, memory })
    }

    fn prefill_of(&self, assignment: &Assignment, run: &Run) -> Duration {
        self.speed.prefill(engines::tokens_to_read(run, &assignment.upstream.id))
    }

    /// Records the prefill time of a prompt that did not wait for others.
    pub fn observe_prefill(&mut self, tokens: u32, took: Duration) {
        self.speed.observe_prefill(tokens, took);
    }

    /// Records the time of a finished run from its first event to its last.
    pub fn observe_run(&mut self, took: Duration) {
        self.speed.observe_run(took);
    }

    /// Measured speed of engines, and lengths of prompts and runs.
    pub fn speed(&self) -> Speed {
        self.speed
    }

    /// Records a started request at its upstreams; returns its allocations, to be released at its
    /// end.
    pub fn begin(
        &mut self,
        now: Duration,
        assignment: &Assignment,
        run: Option<&Run>,
    ) -> Vec<Allocation> {
        let tokens = run.map_or(0, |run| run.footprint);
        let mut allocations =
            vec![Allocation { upstream: assignment.upstream.clone(), tokens, runs: true }];
        if let Some(backup) = &assignment.backup {
            allocations.push(Allocation { upstream: backup.clone(), tokens, runs: false });
        }
        allocations.iter().for_each(|allocation| self.allocate(allocation));
        if let Some(run) = run.filter(|run| run.copy.is_none() && run.prompt_tokens > 0) {
            self.speed.observe_prompt(run.prompt_tokens);
        }
        let is_registrar = self.shares.registrar(&assignment.upstream).is_none();
        let prefill = run.map(|run| self.prefill_of(assignment, run)).unwrap_or_default();
        if let Some(state) = self.current_state_mut(&assignment.upstream) {
            state.limit.withdraw(now);
            state.prefill_until = state.prefill_until.max(now) + prefill;
            if is_registrar {
                state.book(now, prefill, tokens);
            }
        }
        allocations
    }

    /// Adds an allocation to its upstream's load.
    pub fn allocate(&mut self, allocation: &Allocation) {
        if let Some(state) = self.current_state_mut(&allocation.upstream) {
            if allocation.runs {
                state.in_flight += 1;
                state.held_tokens += allocation.tokens;
            } else {
                state.copied_tokens += allocation.tokens;
            }
        }
    }

    /// Removes an allocation from its upstream's load.
    pub fn release(&mut self, allocation: &Allocation) {
        if let Some(state) = self.current_state_mut(&allocation.upstream) {
            if allocation.runs {
                state.in_flight = state.in_flight.saturating_sub(1);
                state.held_tokens = state.held_tokens.saturating_sub(allocation.tokens);
            } else {
                state.copied_tokens = state.copied_tokens.saturating_sub(allocation.tokens);
            }
        }
    }

    fn current_state_mut(&mut self, upstream: &Upstream) -> Option<&mut State> {
        let state = self.states.get_mut(&upstream.id)?;
        (state.upstream.incarnation == upstream.incarnation).then_some(state)
    }

    fn choose_replica(&self, now: Duration, candidates: &[&State]) -> Choice {
        let least_failing =
            candidates.iter().map(|state| state.failure_rate(now)).fold(1.0, f64::min);
        let cost = |state: &State| {
            let slots = f64::from(state.upstream.slots.max(1));
            let zone = if state.upstream.zone == self.shares.own_zone() {
                0.0
            } else {
                OTHER_ZONE_REQUESTS
            };
            let failing = state.failure_rate(now) - least_failing;
            (f64::from(state.in_flight) + zone) * OTHER_ZONE_REQUESTS / slots
                + failing * FAILURE_REQUESTS
        };
        let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map_or(Choice::NoUpstream, |state| {
            let upstream = state.upstream.clone();
            let wait = Duration::ZERO;
            Choice::Found(Assignment {
                upstream,
                backup: None,
                has_copy: false,
                wait,
                uncontended: false,
            })
        })
    }

    /// Upstreams of a service that are not lost, leaving or closed.
    pub fn engines(&self, now: Duration, service: &str) -> Vec<Arc<Upstream>> {
        let reachable = self.not_leaving(service);
        let reachable = reachable.filter(|state| !state.is_lost(now) && !state.is_closed(now));
        reachable.map(|state| state.upstream.clone()).collect()
    }

    /// Upstreams of a service that this entry VM owns, in any zone, and that are not lost, leaving
    /// or closed.
    pub fn own_engines(&self, now: Duration, service: &str) -> Vec<Arc<Upstream>> {
        let mut engines = self.engines(now, service);
        engines.retain(|upstream| self.shares.owns(&upstream.id));
        engines
    }

    /// Engines whose reports this entry VM polls: those of its zone that it owns and that are
    /// neither lost nor closed.
    pub fn engines_to_poll(&self, now: Duration) -> Vec<Arc<Upstream>> {
        let has_engines = |service: &str| {
            self.routes.service(service).is_some_and(|service| service.engine.is_some())
        };
        let owned = self.states.values().filter(|state| {
            let upstream = &state.upstream;
            let reachable = !state.is_lost(now) && !state.is_closed(now);
            has_engines(&upstream.service) && reachable && self.is_own(upstream)
        });
        owned.map(|state| state.upstream.clone()).collect()
    }

    /// Whether this entry VM checks an upstream that may be lost, and looks for its successor.
    pub fn watches(&self, upstream: &Upstream) -> bool {
        self.shares.watches(upstream)
    }

    fn is_own(&self, upstream: &Upstream) -> bool {
        upstream.zone == self.shares.own_zone() && self.shares.owns(&upstream.id)
    }

    /// Engines in suspect zones that have not been active since `since`, are not known as lost, and
    /// hold work of this entry VM or are watched by it.
    pub fn inactive_engines(
        &self,
        now: Duration,
        service: &str,
        since: Duration,
    ) -> Vec<Arc<Upstream>> {
        let suspect_zones = self.suspect_zones(now, service);
        let inactive = self.of_service(service).filter(|state| {
            suspect_zones.contains(&state.upstream.zone)
                && state.alive_at < since
                && !state.is_lost(now)
                && (state.own_memory() > 0 || self.watches(&state.upstream))
        });
        inactive.map(|state| state.upstream.clone()).collect()
    }

    /// Zones in which several engines became unreachable recently, so that probably all are lost.
    fn suspect_zones(&self, now: Duration, service: &str) -> BTreeSet<String> {
        let mut lost: BTreeMap<&str, usize> = BTreeMap::new();
        for state in
            self.of_service(service).filter(|state| state.lost_within(now, SUSPECT_ZONE_DURATION))
        {
            *lost.entry(&state.upstream.zone).or_default() += 1;
        }
        let suspect_zones = lost.into_iter().filter(|(_, count)| *count >= SUSPECT_ZONE_ENGINES);
        suspect_zones.map(|(zone, _)| zone.to_owned()).collect()
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &State> {
        self.states.values().filter(move |state| state.upstream.service == service)
    }

    /// Upstreams of a service that are not leaving.
    fn not_leaving(&self, service: &str) -> impl Iterator<Item = &State> {
        self.of_service(service).filter(|state| !state.is_leaving())
    }

    fn partition_upstreams(&mut self) {
        self.shares.partition(self.states.values().map(|state| &state.upstream));
    }
}
