//! What is known of all upstreams, and the choice among them.

use super::allocation::Allocation;
use super::assignment::Assignment;
use super::booking::{self, Booked, Booking};
use super::census::Census;
use super::choice::Choice;
use super::demand::{Demand, Run};
use super::engines::{self, Engines};
use super::shares::{Peer, Shares};
use super::speed::Speed;
use super::state::{Load, State};
use crate::fleet::{Directory, Upstream};
use crate::routes;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Requests in flight at which another zone's replica is as good as the own zone's.
const ZONE_REQUESTS: f64 = 4.0;
/// Weight of a replica's failure rate, as requests in flight.
const FAILURE_REQUESTS: f64 = 20.0;
/// Engines of a zone that could not be reached lately, from which on the zone is doubted.
const DOUBTFUL_ENGINES: usize = 2;
/// Time for which a zone is doubted: about that in which engines restart.
const DOUBT: Duration = Duration::from_millis(1_000);

/// States of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Table {
    states: BTreeMap<String, State>,
    /// Upstreams to which other entry VMs have given something, by their last word.
    told: BTreeMap<String, Vec<String>>,
    routes: Arc<routes::Table>,
    shares: Shares,
    speed: Speed,
}

impl Table {
    /// Table of the entry VM `own_name` in `own_zone`.
    pub fn new(own_name: &str, own_zone: &str) -> Self {
        Self { shares: Shares::new(own_name, own_zone), ..Self::default() }
    }

    /// Name of this entry VM.
    pub fn own_name(&self) -> &str {
        self.shares.own_name()
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, routes: Arc<routes::Table>) {
        self.routes = routes;
    }

    /// Takes what another entry VM has given to upstreams.
    pub fn record_loads(&mut self, now: Duration, member: &str, loads: &BTreeMap<String, Load>) {
        let ids = loads.keys().cloned().collect();
        let before = self.told.insert(member.to_owned(), ids).unwrap_or_default();
        for id in before.iter().filter(|id| !loads.contains_key(*id)) {
            self.forget(member, id);
        }
        for (id, load) in loads {
            if let Some(state) = self.states.get_mut(id) {
                state.hear(now, member, *load);
            }
        }
    }

    fn forget(&mut self, member: &str, id: &str) {
        if let Some(state) = self.states.get_mut(id) {
            state.forget(member);
        }
    }

    /// What this entry VM has given to upstreams.
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

    /// Tells which other entry VMs are alive; what others told is forgotten.
    pub fn set_members(&mut self, members: Vec<Peer>) {
        if self.shares.members() == members {
            return;
        }
        let alive: BTreeSet<_> = members.iter().map(|member| member.name.as_str()).collect();
        let gone = self.told.keys().filter(|name| !alive.contains(name.as_str()));
        for member in gone.cloned().collect::<Vec<_>>() {
            let ids = self.told.remove(&member).unwrap_or_default();
            ids.iter().for_each(|id| self.forget(&member, id));
        }
        if self.shares.set_members(members) {
            self.share_upstreams();
        }
    }

    /// Takes the upstreams of a directory; returns those that are gone. What was known of an earlier
    /// incarnation is forgotten.
    pub fn set_upstreams(&mut self, directory: &Directory) -> Vec<String> {
        let gone = self.states.keys().filter(|id| directory.upstream(id).is_none());
        let gone = gone.cloned().collect();
        for upstream in directory.upstreams() {
            match self.states.get_mut(&upstream.id) {
                Some(state) if state.upstream.incarnation == upstream.incarnation => {
                    state.upstream = upstream.clone();
                }
                _ => {
                    self.states.insert(upstream.id.clone(), State::new(upstream.clone()));
                }
            }
        }
        self.states.retain(|id, _| directory.upstream(id).is_some());
        self.share_upstreams();
        gone
    }

    /// Path of a service's health check.
    pub fn check_path(&self, service: &str) -> String {
        self.routes.service(service).map(|service| service.check_path.clone()).unwrap_or_default()
    }

    /// Whether whatever serves models belongs to this service.
    pub fn is_only_engine_service(&self, service: &str) -> bool {
        let mut engines = self.routes.services().iter().filter(|known| known.engine.is_some());
        engines.next().is_some_and(|first| first.name == service) && engines.next().is_none()
    }

    /// Forgets when upstreams were last proven, after time has passed unseen.
    pub fn forget_proofs(&mut self) {
        self.states.values_mut().for_each(|state| state.proven_at = Duration::ZERO);
    }

    /// States by upstream.
    pub fn states(&self) -> &BTreeMap<String, State> {
        &self.states
    }

    /// Id of the upstream at an address that was not lost, for answers that do not name it.
    pub fn at(&self, address: SocketAddr) -> Option<String> {
        let mut states = self.states.values().filter(|state| state.upstream.address == address);
        states.find(|state| !state.is_unproven()).map(|state| state.upstream.id.clone())
    }

    /// Incarnations of upstreams that leave by their own word and are not listed as leaving yet.
    pub fn departing(&self) -> BTreeMap<String, u64> {
        let departing = self.states.iter().filter(|(_, state)| state.is_departing_unlisted());
        departing.map(|(id, state)| (id.clone(), state.upstream.incarnation)).collect()
    }

    /// State of one upstream, while it is known.
    pub fn state_mut(&mut self, id: &str) -> Option<&mut State> {
        self.states.get_mut(id)
    }

    /// Chooses for `demand` at `now`.
    pub fn choose(&self, now: Duration, demand: &Demand) -> Choice {
        let staying: Vec<_> = self.staying(&demand.service).collect();
        let able: Vec<_> = staying.iter().copied().filter(|state| !state.is_closed(now)).collect();
        if able.is_empty()
            && let Some(retry_after) = staying.iter().map(|state| state.closed_for(now)).min()
        {
            return Choice::Full { retry_after };
        }
        let preferred: Vec<_> = able
            .iter()
            .copied()
            .filter(|state| !demand.avoid.contains(&state.upstream.id) && !state.is_suspect(now))
            .collect();
        let fallback = || able.iter().copied().filter(|s| !demand.avoid.contains(&s.upstream.id));
        let candidates = if preferred.is_empty() { fallback().collect() } else { preferred };
        if candidates.is_empty() {
            return Choice::NoUpstream;
        }
        let Some(run) = &demand.run else {
            return self.choose_replica(now, &candidates);
        };
        let mut doubted = self.doubted_zones(now, &demand.service);
        let failed = demand.avoid.iter().filter_map(|id| self.states.get(id));
        doubted.extend(failed.map(|state| state.upstream.zone.clone()));
        self.engines_for(now, &demand.service, run, (candidates, doubted)).choose()
    }

    /// Counts the engines of a demand for a run by why they can't take it.
    pub fn census(&self, now: Duration, demand: &Demand) -> Option<Census> {
        let run = demand.run.as_ref()?;
        let engines = self.staying(&demand.service);
        Some(Census::new(now, engines, run, self.engine(&demand.service)))
    }

    /// Chooses an engine for a copy of a run at `primary`, where engines make copies on order.
    pub fn choose_copy(
        &self,
        now: Duration,
        demand: &Demand,
        primary: &Upstream,
    ) -> Option<Arc<Upstream>> {
        let run = demand.run.as_ref()?;
        self.engine(&demand.service).filter(|engine| engine.moves)?;
        let able = |state: &&State| !state.is_suspect(now) && !state.is_closed(now);
        let able = self.staying(&demand.service).filter(able).collect();
        let doubted = self.doubted_zones(now, &demand.service);
        let engines = self.engines_for(now, &demand.service, run, (able, doubted));
        engines.choose_backup(&engines.candidates, primary)
    }

    fn engines_for<'a>(
        &'a self,
        now: Duration,
        service: &str,
        run: &'a Run,
        (candidates, doubted): (Vec<&'a State>, BTreeSet<String>),
    ) -> Engines<'a> {
        let engine = self.engine(service);
        let (shares, speed) = (&self.shares, self.speed);
        Engines { now, run, candidates, doubted, engine, shares, speed }
    }

    /// What the engines of a service can do; none for a plain service.
    pub fn engine(&self, service: &str) -> Option<&routes::Engine> {
        self.routes.service(service)?.engine.as_ref()
    }

    /// Booking that a choice needs at another entry VM; none where this one is the engine's registrar,
    /// or where there is little to read.
    pub fn booking(&self, now: Duration, assignment: &Assignment, run: &Run) -> Option<Booking> {
        let prefill = self.prefill_of(assignment, run);
        if prefill < booking::MIN_PREFILL {
            return None;
        }
        let registrar = self.shares.registrar(&assignment.upstream)?;
        let state = self.states.get(&assignment.upstream.id);
        let backlog = state.map(|state| state.backlog(now, self.speed));
        let latest = run.objective.and_then(|objective| objective.checked_sub(prefill));
        let limit = backlog.unwrap_or_default() + booking::TOLERANCE;
        Some(Booking {
            registrar: registrar.address.clone(),
            upstream: assignment.upstream.id.clone(),
            prefill,
            tokens: run.footprint,
            limit: latest.map_or(limit, |latest| limit.min(latest)),
        })
    }

    /// Books as the registrar of an engine.
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

    /// Takes the time that a prompt took which did not wait.
    pub fn observe_prefill(&mut self, tokens: u32, took: Duration) {
        self.speed.observe(tokens, took);
    }

    /// Takes how long a whole run took.
    pub fn observe_run(&mut self, took: Duration) {
        self.speed.observe_run(took);
    }

    /// How fast engines read and generate.
    pub fn speed(&self) -> Speed {
        self.speed
    }

    /// Notes a request begun; returns what it takes.
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
        allocations.iter().for_each(|allocation| self.take(allocation));
        if let Some(run) = run.filter(|run| run.copy.is_none() && run.prompt_tokens > 0) {
            self.speed.observe_prompt(run.prompt_tokens);
        }
        let registers = self.shares.registrar(&assignment.upstream).is_none();
        let given = run.map(|run| self.prefill_of(assignment, run)).unwrap_or_default();
        if let Some(state) = self.known(&assignment.upstream) {
            state.prefill_until = state.prefill_until.max(now) + given;
            if registers {
                state.book(now, given, tokens);
            }
        }
        allocations
    }

    /// Notes what a request takes.
    pub fn take(&mut self, allocation: &Allocation) {
        if let Some(state) = self.known(&allocation.upstream) {
            if allocation.runs {
                state.in_flight += 1;
                state.held_tokens += allocation.tokens;
            } else {
                state.copied_tokens += allocation.tokens;
            }
        }
    }

    /// Notes that a request has ended there.
    pub fn give_back(&mut self, allocation: &Allocation) {
        if let Some(state) = self.known(&allocation.upstream) {
            if allocation.runs {
                state.in_flight = state.in_flight.saturating_sub(1);
                state.held_tokens = state.held_tokens.saturating_sub(allocation.tokens);
            } else {
                state.copied_tokens = state.copied_tokens.saturating_sub(allocation.tokens);
            }
        }
    }

    fn known(&mut self, upstream: &Upstream) -> Option<&mut State> {
        let state = self.states.get_mut(&upstream.id)?;
        (state.upstream.incarnation == upstream.incarnation).then_some(state)
    }

    fn choose_replica(&self, now: Duration, candidates: &[&State]) -> Choice {
        let least_failing =
            candidates.iter().map(|state| state.failure_rate(now)).fold(1.0, f64::min);
        let cost = |state: &State| {
            let slots = f64::from(state.upstream.slots.max(1));
            let zone =
                if state.upstream.zone == self.shares.own_zone() { 0.0 } else { ZONE_REQUESTS };
            let failing = state.failure_rate(now) - least_failing;
            (f64::from(state.in_flight) + zone) * ZONE_REQUESTS / slots + failing * FAILURE_REQUESTS
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

    /// Engines of a service that may be asked: those that are not lost, leaving or closed.
    pub fn engines(&self, now: Duration, service: &str) -> Vec<Arc<Upstream>> {
        let sound = self.staying(service);
        let sound = sound.filter(|state| !state.is_lost(now) && !state.is_closed(now));
        sound.map(|state| state.upstream.clone()).collect()
    }

    /// Engines of a service that this entry VM owns, in any zone, not lost or leaving.
    pub fn own_engines(&self, now: Duration, service: &str) -> Vec<Arc<Upstream>> {
        let mut engines = self.engines(now, service);
        engines.retain(|upstream| self.shares.owns(&upstream.id));
        engines
    }

    /// Engines that this entry VM asks what they hold: those of its zone that it owns and that are
    /// neither lost nor closed.
    pub fn engines_to_ask(&self, now: Duration) -> Vec<Arc<Upstream>> {
        let has_engines = |service: &str| {
            self.routes.service(service).is_some_and(|service| service.engine.is_some())
        };
        let owned = self.states.values().filter(|state| {
            let upstream = &state.upstream;
            let able = !state.is_lost(now) && !state.is_closed(now);
            has_engines(&upstream.service) && able && self.is_own(upstream)
        });
        owned.map(|state| state.upstream.clone()).collect()
    }

    /// Whether this entry VM asks after an upstream, and tells others.
    pub fn watches(&self, upstream: &Upstream) -> bool {
        self.shares.watches(upstream)
    }

    fn is_own(&self, upstream: &Upstream) -> bool {
        upstream.zone == self.shares.own_zone() && self.shares.owns(&upstream.id)
    }

    /// Engines in doubted zones that have not shown life since `since` and are not known as lost.
    pub fn unproven(&self, now: Duration, service: &str, since: Duration) -> Vec<Arc<Upstream>> {
        let doubted = self.doubted_zones(now, service);
        let unproven = self.of_service(service).filter(|state| {
            doubted.contains(&state.upstream.zone)
                && state.alive_at < since
                && !state.is_lost(now)
                && (state.own_memory() > 0 || self.watches(&state.upstream))
        });
        unproven.map(|state| state.upstream.clone()).collect()
    }

    /// Zones in which several engines became unreachable lately: probably all of it.
    fn doubted_zones(&self, now: Duration, service: &str) -> BTreeSet<String> {
        let mut lost: BTreeMap<&str, usize> = BTreeMap::new();
        for state in self.of_service(service).filter(|state| state.lost_within(now, DOUBT)) {
            *lost.entry(&state.upstream.zone).or_default() += 1;
        }
        let doubted = lost.into_iter().filter(|(_, count)| *count >= DOUBTFUL_ENGINES);
        doubted.map(|(zone, _)| zone.to_owned()).collect()
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &State> {
        self.states.values().filter(move |state| state.upstream.service == service)
    }

    /// Upstreams of a service that are not leaving.
    fn staying(&self, service: &str) -> impl Iterator<Item = &State> {
        self.of_service(service).filter(|state| !state.is_leaving())
    }

    fn share_upstreams(&mut self) {
        self.shares.share(self.states.values().map(|state| &state.upstream));
    }
}
