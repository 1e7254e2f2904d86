//! The choice among upstreams.
//!
//! Costs are milliseconds until the next event of the request at hand, with what a choice costs
//! others added as if it were its own delay.

use super::booking::{self, Booked, Booking};
use super::demand::{Demand, Run};
use super::state::{Load, State};
use crate::fleet::{Directory, Upstream};
use crate::routes;
use coordination::rendezvous::{rank, score};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time in which a full engine ends a run: the length of one over the runs of one engine.
const FULL_RETRY: Duration = Duration::from_millis(500);
/// Prompt tokens that an engine reads in a millisecond (users' sheet of engines).
const PREFILL_TOKENS_PER_MS: f64 = 8.0;
/// Slowdown of the others in a batch by one more run, over the length of a run: 0.15 ms of about
/// 5 ms a step (users' sheet of engines), 4 s a run.
const NEIGHBOUR_MS: f64 = 120.0;
/// Wait at an owned engine, whose load is known, that is better than an engine of another entry VM,
/// whose load may have changed: most of a prefill.
const FOREIGN_MS: f64 = 200.0;
/// Worth of the bytes of a generation that cross zones, as a delay.
const OTHER_ZONE_MS: f64 = 100.0;
/// Weight of an upstream's failure rate, as a delay.
const FAILURE_MS: f64 = 4_000.0;
/// Requests in flight at which another zone's replica is as good as the own zone's.
const ZONE_REQUESTS: f64 = 4.0;
/// Weight of a replica's failure rate, as requests in flight.
const FAILURE_REQUESTS: f64 = 20.0;
/// Engines of a zone that could not be reached lately, from which on the zone is doubted.
const DOUBTFUL_ENGINES: usize = 2;
/// Time for which a zone is doubted: about that in which engines restart.
const DOUBT: Duration = Duration::from_millis(1_000);
/// Cost of an engine in a doubted zone: it would have to be connected to in vain.
const DOUBT_MS: f64 = 1_500.0;
/// Share of an engine's memory that one entry VM counts on, as others use it too.
const MEMORY_SHARE: f64 = 0.9;
/// Share up to which copies are made, so that runs find room before them.
const BACKUP_MEMORY_SHARE: f64 = 0.6;

/// Tokens to read at an engine that holds a copy or the prompt: what had not arrived there.
const RESTORED_TOKENS: u32 = 200;

/// Up to so many other entry VMs, each asks after all upstreams.
const FEW_MEMBERS: usize = 8;
/// Engines of other entry VMs that are considered in each zone.
const DRAWN: usize = 2;
/// Engines that are considered for a copy.
const DRAWN_FOR_COPIES: usize = 4;

/// Another entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for peers.
    pub address: String,
    /// It takes no new work.
    pub leaving: bool,
}

/// Result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// These upstreams.
    Found(Pick),
    /// All that could serve it are full, or would be too late; some won't be after this time.
    Full {
        /// Time until there is room.
        retry_after: Duration,
    },
    /// There is none.
    Nowhere,
}

/// Chosen upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Where the request goes.
    pub upstream: Arc<Upstream>,
    /// Where copies of its memory go.
    pub backup: Option<Arc<Upstream>>,
    /// The upstream holds a copy of the run's memory.
    pub restores: bool,
    /// Expected time until the run generates.
    pub wait: Duration,
}

/// What one request takes of one upstream.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Upstream.
    pub upstream: Arc<Upstream>,
    /// Tokens in its memory.
    pub tokens: u32,
    /// The request runs there; otherwise a copy of its memory lies there.
    pub runs: bool,
}

/// States of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Table {
    states: BTreeMap<String, State>,
    routes: Arc<routes::Table>,
    own_name: String,
    own_zone: String,
    /// Entry VMs of the own zone that are alive, without this one.
    neighbours: Vec<String>,
    /// Upstreams that this entry VM owns.
    owned: BTreeSet<String>,
    /// Other entry VMs that are alive.
    members: Vec<Peer>,
}

impl Table {
    /// Table of the entry VM `own_name` in `own_zone`.
    pub fn new(own_name: &str, own_zone: &str) -> Self {
        Self { own_name: own_name.to_owned(), own_zone: own_zone.to_owned(), ..Self::default() }
    }

    /// Name of this entry VM.
    pub fn own_name(&self) -> &str {
        &self.own_name
    }

    /// Puts a configuration in force.
    pub fn configure(&mut self, routes: Arc<routes::Table>) {
        self.routes = routes;
    }

    /// Takes what another entry VM has given to upstreams.
    pub fn hear(&mut self, now: Duration, member: &str, loads: &BTreeMap<String, Load>) {
        for (id, state) in &mut self.states {
            state.hear(now, member, loads.get(id).copied());
        }
    }

    /// What this entry VM has given to upstreams.
    pub fn loads(&self, now: Duration) -> BTreeMap<String, Load> {
        let load = |state: &State| {
            let asked = state.upstream.zone == self.own_zone && self.owns(&state.upstream.id);
            Load {
                in_flight: state.in_flight,
                backlog: state.own_backlog(now),
                tokens: state.own_memory(),
                reported: state.fresh_report(now).filter(|_| asked),
            }
        };
        let loads = self.states.iter().map(|(id, state)| (id.clone(), load(state)));
        loads.filter(|(_, load)| load.tokens > 0 || load.reported.is_some()).collect()
    }

    /// Tells which other entry VMs are alive; what others told is forgotten.
    pub fn set_members(&mut self, members: Vec<Peer>) {
        let alive: Vec<_> = members.iter().map(|member| member.name.clone()).collect();
        self.states.values_mut().for_each(|state| state.retain_members(&alive));
        let of_zone = members.iter().filter(|m| m.zone == self.own_zone && !m.leaving);
        let neighbours: Vec<_> = of_zone.map(|member| member.name.clone()).collect();
        self.members = members;
        if self.neighbours != neighbours {
            self.neighbours = neighbours;
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

    /// State of one upstream, while it is known.
    pub fn state_mut(&mut self, id: &str) -> Option<&mut State> {
        self.states.get_mut(id)
    }

    /// Chooses for `demand` at `now`.
    pub fn choose(&self, now: Duration, demand: &Demand) -> Choice {
        let able: Vec<_> = self
            .states
            .values()
            .filter(|state| state.upstream.service == demand.service && !state.upstream.leaving)
            .collect();
        let preferred: Vec<_> = able
            .iter()
            .copied()
            .filter(|state| !demand.avoid.contains(&state.upstream.id) && !state.is_suspect(now))
            .collect();
        let fallback = || able.iter().copied().filter(|s| !demand.avoid.contains(&s.upstream.id));
        let candidates = if preferred.is_empty() { fallback().collect() } else { preferred };
        if candidates.is_empty() {
            return Choice::Nowhere;
        }
        match &demand.run {
            Some(run) => self.choose_engine(now, &candidates, demand, run),
            None => self.choose_replica(now, &candidates),
        }
    }

    /// Chooses an engine for a copy of a run at `primary`.
    pub fn choose_copy(
        &self,
        now: Duration,
        demand: &Demand,
        primary: &Upstream,
    ) -> Option<Arc<Upstream>> {
        let run = demand.run.as_ref()?;
        let engine = self.routes.service(&demand.service)?.engine.as_ref()?;
        let able: Vec<_> = self
            .states
            .values()
            .filter(|state| state.upstream.service == demand.service && !state.upstream.leaving)
            .filter(|state| !state.is_suspect(now))
            .collect();
        let doubted = self.doubted_zones(now, &demand.service);
        self.choose_backup(now, &able, primary, run, (engine, &doubted))
    }

    /// Booking that a choice needs at another entry VM; none where this one is the engine's registrar,
    /// or where there is little to read.
    pub fn booking(&self, now: Duration, pick: &Pick, run: &Run) -> Option<Booking> {
        let prefill = self.prefill_of(pick, run);
        if prefill < booking::MIN_PREFILL {
            return None;
        }
        let registrar = self.registrar(&pick.upstream)?;
        let backlog = self.states.get(&pick.upstream.id).map(|state| state.backlog(now));
        let latest = run.objective.map(|objective| objective.saturating_sub(prefill));
        let limit = backlog.unwrap_or_default() + booking::TOLERANCE;
        Some(Booking {
            registrar: registrar.address.clone(),
            upstream: pick.upstream.id.clone(),
            prefill,
            tokens: run.footprint,
            limit: latest.map_or(limit, |latest| limit.min(latest)),
        })
    }

    /// Books as the registrar of an engine.
    pub fn book(&mut self, now: Duration, booking: &Booking) -> Option<Booked> {
        let state = self.states.get(&booking.upstream)?;
        let limit = self.memory_limit(&state.upstream.service);
        let (backlog, memory) = (state.backlog(now), state.memory(now));
        let fits = memory == 0 || f64::from(memory + booking.tokens) <= limit;
        let accepted = fits && backlog <= booking.limit;
        if accepted && let Some(state) = self.states.get_mut(&booking.upstream) {
            state.book(now, booking.prefill, booking.tokens);
        }
        Some(Booked { accepted, backlog, memory })
    }

    /// Tokens up to which engines of a service are filled; more are preempted.
    fn memory_limit(&self, service: &str) -> f64 {
        let engine = self.routes.service(service).and_then(|service| service.engine.as_ref());
        match engine.map_or(0, |engine| engine.memory_tokens) {
            0 => f64::MAX,
            tokens => f64::from(tokens) * MEMORY_SHARE,
        }
    }

    /// Entry VM that adds up the prompts for an engine: the first by rank in the engine's zone, or of
    /// all where that has none. None if it is this one.
    fn registrar(&self, upstream: &Upstream) -> Option<&Peer> {
        let present = self.members.iter().filter(|member| !member.leaving);
        let of_zone: Vec<_> =
            present.clone().filter(|member| member.zone == upstream.zone).collect();
        let own_zone = self.own_zone == upstream.zone;
        let among = if of_zone.is_empty() && !own_zone { present.collect() } else { of_zone };
        let own = (own_zone || among.is_empty()).then_some(self.own_name.as_str());
        let names = among.iter().map(|member| member.name.as_str()).chain(own);
        let first = rank(names, &upstream.id).into_iter().next()?.to_owned();
        among.into_iter().find(|member| member.name == first)
    }

    fn prefill_of(&self, pick: &Pick, run: &Run) -> Duration {
        let cached = run.cached.as_ref() == Some(&pick.upstream.id);
        prefill(if pick.restores || cached { RESTORED_TOKENS } else { run.prompt_tokens })
    }

    /// Notes a request begun; returns what it takes.
    pub fn begin(&mut self, now: Duration, pick: &Pick, run: Option<&Run>) -> Vec<Hold> {
        let tokens = run.map_or(0, |run| run.footprint);
        let mut holds = vec![Hold { upstream: pick.upstream.clone(), tokens, runs: true }];
        if let Some(backup) = &pick.backup {
            holds.push(Hold { upstream: backup.clone(), tokens, runs: false });
        }
        holds.iter().for_each(|hold| self.take(hold));
        let registers = self.registrar(&pick.upstream).is_none();
        let given = run.map(|run| self.prefill_of(pick, run)).unwrap_or_default();
        if let Some(state) = self.known(&pick.upstream) {
            state.prefill_until = state.prefill_until.max(now) + given;
            if registers {
                state.book(now, given, tokens);
            }
        }
        holds
    }

    /// Notes what a request takes.
    pub fn take(&mut self, hold: &Hold) {
        if let Some(state) = self.known(&hold.upstream) {
            if hold.runs {
                state.in_flight += 1;
                state.held_tokens += hold.tokens;
            } else {
                state.copied_tokens += hold.tokens;
            }
        }
    }

    /// Notes that a request has ended there.
    pub fn give_back(&mut self, hold: &Hold) {
        if let Some(state) = self.known(&hold.upstream) {
            if hold.runs {
                state.in_flight = state.in_flight.saturating_sub(1);
                state.held_tokens = state.held_tokens.saturating_sub(hold.tokens);
            } else {
                state.copied_tokens = state.copied_tokens.saturating_sub(hold.tokens);
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
            let zone = if state.upstream.zone == self.own_zone { 0.0 } else { ZONE_REQUESTS };
            let failing = state.failure_rate(now) - least_failing;
            (f64::from(state.in_flight) + zone) * ZONE_REQUESTS.max(1.0) / slots
                + failing * FAILURE_REQUESTS
        };
        let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map_or(Choice::Nowhere, |state| {
            let upstream = state.upstream.clone();
            Choice::Found(Pick { upstream, backup: None, restores: false, wait: Duration::ZERO })
        })
    }

    fn choose_engine(
        &self,
        now: Duration,
        candidates: &[&State],
        demand: &Demand,
        run: &Run,
    ) -> Choice {
        let service = self.routes.service(&demand.service);
        let engine = service.and_then(|service| service.engine.clone());
        let engine = engine.unwrap_or_default();
        let limit = self.memory_limit(&demand.service);
        let room = |state: &State| {
            let memory = f64::from(state.memory(now) + run.footprint);
            let holds_copy = run.copy.as_ref() == Some(&state.upstream.id);
            memory <= limit || holds_copy || state.memory(now) == 0
        };
        let slots = |state: &State| state.total_in_flight(now) < state.upstream.slots.max(1);
        let open: Vec<_> = candidates.iter().copied().filter(|s| room(s) && slots(s)).collect();
        // Work at stake waits in an engine's queue rather than end.
        let at_stake = run.objective.is_none() && open.is_empty();
        let open = if at_stake { candidates.to_vec() } else { open };
        let sample = self.sample(&open, run);
        let mut doubted = self.doubted_zones(now, &demand.service);
        let failed = demand.avoid.iter().filter_map(|id| self.states.get(id));
        doubted.extend(failed.map(|state| state.upstream.zone.clone()));
        let cost = |state: &&&State| {
            let doubt = if doubted.contains(&state.upstream.zone) { DOUBT_MS } else { 0.0 };
            self.engine_cost(now, state, run) + doubt
        };
        let Some(best) = sample.iter().min_by(|a, b| cost(a).total_cmp(&cost(b))) else {
            return Choice::Full { retry_after: FULL_RETRY };
        };
        let wait = best.backlog(now) + prefill(run.prompt_tokens);
        if let Some(late) = run.objective.and_then(|objective| wait.checked_sub(objective))
            && !late.is_zero()
        {
            return Choice::Full { retry_after: late.max(FULL_RETRY) };
        }
        let backup = if run.wants_backup && engine.backups {
            self.choose_backup(now, &open, &best.upstream, run, (&engine, &doubted))
        } else {
            None
        };
        let restores = run.copy.as_ref() == Some(&best.upstream.id);
        Choice::Found(Pick { upstream: best.upstream.clone(), backup, restores, wait })
    }

    /// Engines to choose among: those that this entry VM owns, a few others of each zone by lot, and
    /// those that know the run. What is known of engines of others is old, so if all entry VMs turned to
    /// the one that looks best, they would meet there. Source of choosing by lot: Mitzenmacher, "How
    /// Useful Is Old Information?", IEEE TPDS 2000.
    fn sample<'a>(&self, open: &[&'a State], run: &Run) -> Vec<&'a State> {
        let key = run.affinity.to_string();
        let mut others: Vec<_> =
            open.iter().copied().filter(|s| !self.owns(&s.upstream.id)).collect();
        others.sort_by_cached_key(|state| score(&state.upstream.id, &key));
        let mut drawn: BTreeMap<&str, usize> = BTreeMap::new();
        others.retain(|state| {
            let count = drawn.entry(&state.upstream.zone).or_default();
            *count += 1;
            let id = Some(&state.upstream.id);
            *count <= DRAWN || run.copy.as_ref() == id || run.cached.as_ref() == id
        });
        others.extend(open.iter().copied().filter(|s| self.owns(&s.upstream.id)));
        others
    }

    fn engine_cost(&self, now: Duration, state: &State, run: &Run) -> f64 {
        // A run that goes on from a copy is admitted before all that wait.
        let goes_first = run.copy.as_ref() == Some(&state.upstream.id);
        let backlog = if goes_first { Duration::ZERO } else { state.backlog(now) };
        let backlog_ms = backlog.as_secs_f64() * 1_000.0;
        let known = |id: &Option<String>| id.as_ref() == Some(&state.upstream.id);
        let has_read = known(&run.copy) || known(&run.cached);
        let tokens = if has_read { RESTORED_TOKENS } else { run.prompt_tokens };
        let prefill_ms = prefill(tokens).as_secs_f64() * 1_000.0;
        // When a zone's engines are lost, its entry VMs share those of other zones among them.
        let elsewhere = state.upstream.zone != self.own_zone;
        let foreign = !goes_first && (elsewhere || !self.owns(&state.upstream.id));
        let zone = if elsewhere { OTHER_ZONE_MS } else { 0.0 };
        let zone = if foreign { zone + FOREIGN_MS } else { zone };
        let shared = !goes_first && elsewhere && !self.owns(&state.upstream.id);
        let zone = if shared { zone + FOREIGN_MS } else { zone };
        // Equal costs are told apart alike by all entry VMs, so that a repeated request finds
        // what its engine has cached.
        let tie = score(&state.upstream.id, &run.affinity.to_string()) as f64 / u64::MAX as f64;
        backlog_ms
            + prefill_ms
            + zone
            + f64::from(if goes_first { 0 } else { state.total_in_flight(now) }) * NEIGHBOUR_MS
            + state.failure_rate(now) * FAILURE_MS
            + tie * NEIGHBOUR_MS / 2.0
    }

    /// Engines of a service that are not lost or leaving.
    pub fn engines(&self, now: Duration, service: &str) -> Vec<Arc<Upstream>> {
        let of_service = self.states.values().filter(|state| state.upstream.service == service);
        let sound = of_service.filter(|state| !state.upstream.leaving && !state.is_lost(now));
        sound.map(|state| state.upstream.clone()).collect()
    }

    /// Engines that this entry VM owns and that are not lost.
    pub fn owned_engines(&self, now: Duration) -> Vec<Arc<Upstream>> {
        let has_engines = |service: &str| {
            self.routes.service(service).is_some_and(|service| service.engine.is_some())
        };
        let owned = self.states.values().filter(|state| {
            let upstream = &state.upstream;
            upstream.zone == self.own_zone
                && has_engines(&upstream.service)
                && !state.is_lost(now)
                && self.owns(&upstream.id)
        });
        owned.map(|state| state.upstream.clone()).collect()
    }

    /// Whether this entry VM asks after an upstream, and tells others: the one that owns it in its
    /// zone, and where there are few, all.
    pub fn watches(&self, upstream: &Upstream) -> bool {
        let owned = upstream.zone == self.own_zone && self.owns(&upstream.id);
        owned || self.members.len() <= FEW_MEMBERS
    }

    /// Engines in doubted zones that have not shown life since `since` and are not known as lost.
    pub fn unproven(&self, now: Duration, service: &str, since: Duration) -> Vec<Arc<Upstream>> {
        let doubted = self.doubted_zones(now, service);
        let unproven = self.states.values().filter(|state| {
            state.upstream.service == service
                && doubted.contains(&state.upstream.zone)
                && state.alive_at < since
                && !state.is_lost(now)
                && (state.own_memory() > 0 || self.watches(&state.upstream))
        });
        unproven.map(|state| state.upstream.clone()).collect()
    }

    /// Zones in which several engines became unreachable lately: probably all of it.
    fn doubted_zones(&self, now: Duration, service: &str) -> BTreeSet<String> {
        let mut lost: BTreeMap<&str, usize> = BTreeMap::new();
        for state in self.states.values() {
            if state.lost_within(now, DOUBT) && state.upstream.service == service {
                *lost.entry(&state.upstream.zone).or_default() += 1;
            }
        }
        let doubted = lost.into_iter().filter(|(_, count)| *count >= DOUBTFUL_ENGINES);
        doubted.map(|(zone, _)| zone.to_owned()).collect()
    }

    /// Engine in another zone that holds little. Where all others are crowded, as after the loss of a
    /// zone, copies take the room that is left there rather than share the zone of their run.
    fn choose_backup(
        &self,
        now: Duration,
        candidates: &[&State],
        primary: &Upstream,
        run: &Run,
        (engine, doubted): (&routes::Engine, &BTreeSet<String>),
    ) -> Option<Arc<Upstream>> {
        let sound: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|state| state.upstream.id != primary.id && !state.is_unproven())
            .filter(|state| !doubted.contains(&state.upstream.zone))
            .collect();
        let within = |share: f64, away: bool| -> Vec<&State> {
            let limit = f64::from(engine.memory_tokens) * share;
            let fits = |s: &&State| f64::from(s.memory(now) + run.footprint) <= limit;
            let zone = |s: &&State| !away || s.upstream.zone != primary.zone;
            sound.iter().copied().filter(fits).filter(zone).collect()
        };
        let tiers =
            [(BACKUP_MEMORY_SHARE, true), (MEMORY_SHARE, true), (BACKUP_MEMORY_SHARE, false)];
        let mut from =
            tiers.into_iter().map(|(share, away)| within(share, away)).find(|t| !t.is_empty())?;
        let key = run.affinity.to_string();
        from.sort_by_cached_key(|state| score(&state.upstream.id, &key));
        from.truncate(DRAWN_FOR_COPIES);
        from.into_iter().min_by_key(|state| state.memory(now)).map(|state| state.upstream.clone())
    }

    fn owns(&self, upstream: &str) -> bool {
        self.owned.contains(upstream)
    }

    /// Shares the upstreams of each service and zone evenly among the entry VMs of the own zone: each
    /// goes to the first in its ranking that has not got its part.
    fn share_upstreams(&mut self) {
        let members: Vec<_> =
            self.neighbours.iter().chain([&self.own_name]).map(String::as_str).collect();
        let mut groups: BTreeMap<(&str, &str), Vec<&str>> = BTreeMap::new();
        for state in self.states.values().filter(|state| !state.upstream.leaving) {
            let upstream = &state.upstream;
            groups.entry((&upstream.service, &upstream.zone)).or_default().push(&upstream.id);
        }
        let mut owned = BTreeSet::new();
        for mut group in groups.into_values() {
            let part = group.len().div_ceil(members.len());
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            group.sort_by_cached_key(|id| score(id, ""));
            for id in group {
                let ranked = rank(members.iter().copied(), id);
                let owner =
                    ranked.into_iter().find(|name| counts.get(name).is_none_or(|n| *n < part));
                let Some(owner) = owner else {
                    continue;
                };
                *counts.entry(owner).or_default() += 1;
                if owner == self.own_name {
                    owned.insert(id.to_owned());
                }
            }
        }
        self.owned = owned;
    }
}

fn prefill(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MS / 1_000.0)
}
