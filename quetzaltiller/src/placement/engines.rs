//! The choice among engines for one run.
//!
//! The engine with the lowest cost is chosen. A cost is the time in milliseconds until the run's
//! next event, plus the delay that the choice causes to other runs.

use super::assignment::Assignment;
use super::choice::Choice;
use super::demand::Run;
use super::shares::Shares;
use super::speed::Speed;
use super::state::State;
use crate::fleet::Upstream;
use crate::routes;
use coordination::rendezvous::score;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Minimum `retry_after` where all engines are full or the run would be late: half of a prefill.
const MIN_FULL_RETRY: Duration = Duration::from_millis(500);
/// Maximum backlog at which an engine is given a run whose prefill alone exceeds its objective. It
/// is a fraction of a prefill, so that the run delays no queued prompt.
const MAX_LATE_BACKLOG: Duration = Duration::from_millis(250);
/// Delay of each other run in a batch by one more run, summed over the length of a run: 0.15 ms in
/// a step of about 5 ms (users' sheet of engines), 4 s a run.
const NEIGHBOUR_MS: f64 = 120.0;
/// Share of a prefill for which another run on the engine is stalled: engines read chunks of 25 ms
/// between steps of 5 ms (users' sheet of engines), and the other run may end meanwhile.
const STALL_SHARE: f64 = 0.5;
/// Cost of an engine that another entry VM owns, as its load may have changed: waiting this long,
/// most of a prefill, at an owned engine, whose load is known, is better.
const OTHER_OWNER_MS: f64 = 200.0;
/// Cost of a generation's traffic between zones, as a delay.
const OTHER_ZONE_MS: f64 = 100.0;
/// Cost of a failure rate of 1, as a delay.
const FAILURE_MS: f64 = 4_000.0;
/// Cost of an engine in a suspect zone: the time that a failed connection attempt would take.
const SUSPECT_ZONE_MS: f64 = 1_500.0;
/// Share of an engine's memory that runs and copies may fill; beyond it, runs are preempted.
const MEMORY_SHARE: f64 = 0.9;
/// Share of an engine's memory up to which copies are placed, so that runs find room before copies.
const BACKUP_MEMORY_SHARE: f64 = 0.6;
/// Share of an engine's memory up to which copies are placed if all engines of other zones are
/// crowded; leaves a sixth of what runs may fill to runs alone.
const CROWDED_MEMORY_SHARE: f64 = 0.75;
/// Number of engines of other entry VMs that are considered in each zone.
const SAMPLED_PER_ZONE: usize = 2;
/// Number of engines that are considered for a copy.
const SAMPLED_FOR_COPIES: usize = 4;
/// Tokens to read at an engine that holds a copy of the run or has cached its prompt: those that
/// had not arrived there.
const RESTORED_TOKENS: u32 = 200;

/// Maximum tokens in an engine's memory; unlimited if the memory's size is not configured.
pub fn memory_limit(engine: Option<&routes::Engine>) -> f64 {
    match engine.map_or(0, |engine| engine.memory_tokens) {
        0 => f64::MAX,
        tokens => f64::from(tokens) * MEMORY_SHARE,
    }
}

/// Tokens that an engine has to read before a run generates.
pub fn tokens_to_read(run: &Run, engine: &str) -> u32 {
    let is_engine = |id: &Option<String>| id.as_deref() == Some(engine);
    if is_engine(&run.copy) || is_engine(&run.cached) { RESTORED_TOKENS } else { run.prompt_tokens }
}

/// Input of a choice among engines.
pub struct Engines<'a> {
    /// Time of the choice.
    pub now: Duration,
    /// Run to be placed.
    pub run: &'a Run,
    /// Engines that could take the run, if they have room.
    pub candidates: Vec<&'a State>,
    /// Zones whose engines are probably lost; when a run is placed, also the zones of engines that
    /// failed it.
    pub suspect_zones: BTreeSet<String>,
    /// Configured properties of the service's engines.
    pub engine: Option<&'a routes::Engine>,
    /// Partition of the engines among entry VMs.
    pub shares: &'a Shares,
    /// Measured speed of engines.
    pub speed: Speed,
}

/// Delay in ms of a run by another one at its engine: it is stalled for a part of the other's
/// prefill, and its steps take longer afterwards.
fn neighbour_ms(prefill: Duration) -> f64 {
    NEIGHBOUR_MS + prefill.as_secs_f64() * 1_000.0 * STALL_SHARE
}

impl<'a> Engines<'a> {
    /// Chooses an engine for the run, and another for copies if the run wants one.
    pub fn choose(&self) -> Choice {
        let open = self.with_room();
        let sample = self.sample(&open);
        let cost = |state: &&&State| self.cost(state);
        let Some(best) = sample.iter().min_by(|a, b| cost(a).total_cmp(&cost(b))) else {
            return Choice::Full { retry_after: self.time_until_room() };
        };
        let prefill = self.speed.prefill(self.run.prompt_tokens);
        let backlog = best.backlog(self.now, self.speed);
        let wait = backlog + prefill;
        if let Some(retry_after) = self.refusal_retry_after(best, backlog) {
            return Choice::Full { retry_after };
        }
        let makes_backup =
            self.run.wants_backup && self.engine.is_some_and(|engine| engine.backups);
        let backup = if makes_backup { self.choose_backup(&open, &best.upstream) } else { None };
        let has_copy = self.run.copy.as_ref() == Some(&best.upstream.id);
        let uncontended = wait == prefill && self.run.cached.is_none();
        Choice::Found(Assignment {
            upstream: best.upstream.clone(),
            backup,
            has_copy,
            wait,
            uncontended,
        })
    }

    /// Estimated time until an engine has room, if none has: the average time until one run of an
    /// engine ends.
    fn time_until_room(&self) -> Duration {
        let runs = self.candidates.iter().map(|state| state.total_in_flight(self.now)).sum::<u32>();
        let engines = self.candidates.len() as u32;
        (self.speed.run() * engines / runs.max(engines)).max(MIN_FULL_RETRY)
    }

    /// Time after which a run may be repeated that the best engine must refuse; none if the engine
    /// takes it. A run that would miss its deadline or objective because of the backlog is refused,
    /// in favour of runs that can still be on time. A run whose prefill alone exceeds its objective
    /// is late on any engine at any time, so it is served where hardly any prompt waits.
    fn refusal_retry_after(&self, best: &State, backlog: Duration) -> Option<Duration> {
        let first_event = self.speed.prefill(tokens_to_read(self.run, &best.upstream.id));
        let time_left =
            self.run.deadline.map(|deadline| deadline.saturating_sub(backlog + first_event));
        if time_left.is_some_and(|time_left| time_left.is_zero()) {
            return Some(backlog.max(MIN_FULL_RETRY));
        }
        let objective = self.run.objective?;
        let prefill = self.speed.prefill(self.run.prompt_tokens);
        if prefill > objective {
            return (backlog > MAX_LATE_BACKLOG).then_some(backlog);
        }
        let late = (backlog + prefill).saturating_sub(objective);
        (!late.is_zero()).then(|| late.max(MIN_FULL_RETRY))
    }

    /// Chooses an engine for copies of a run at `primary`: one in another zone with little in
    /// memory. If the engines of other zones are crowded, as after the loss of a zone, copies may
    /// fill more of their memory before they are placed in the zone of their run. Some room is left
    /// to runs all the same: a run that is refused is lost for certain, a run without a copy only
    /// if its engine fails.
    pub fn choose_backup(
        &self,
        candidates: &[&'a State],
        primary: &Upstream,
    ) -> Option<Arc<Upstream>> {
        let eligible: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|state| state.upstream.id != primary.id && !state.is_unproven())
            .filter(|state| !self.suspect_zones.contains(&state.upstream.zone))
            .collect();
        let tokens = f64::from(self.engine.map_or(0, |engine| engine.memory_tokens));
        let within = |share: f64, other_zone: bool| -> Vec<&State> {
            let fits = |s: &&State| self.memory_with_run(s) <= tokens * share;
            let zone = |s: &&State| !other_zone || s.upstream.zone != primary.zone;
            eligible.iter().copied().filter(fits).filter(zone).collect()
        };
        let tiers = [
            (BACKUP_MEMORY_SHARE, true),
            (CROWDED_MEMORY_SHARE, true),
            (BACKUP_MEMORY_SHARE, false),
        ];
        let mut tier = tiers
            .into_iter()
            .map(|(share, other_zone)| within(share, other_zone))
            .find(|t| !t.is_empty())?;
        let key = self.run.affinity.to_string();
        tier.sort_by_cached_key(|state| score(&state.upstream.id, &key));
        tier.truncate(SAMPLED_FOR_COPIES);
        let least = tier.into_iter().min_by_key(|state| state.memory(self.now));
        least.map(|state| state.upstream.clone())
    }

    /// Candidates with a free slot and room in memory. If there is none, a run without an
    /// objective, which resumes earlier work, may go to any candidate: it waits in an engine's
    /// queue rather than end.
    fn with_room(&self) -> Vec<&'a State> {
        let limit = memory_limit(self.engine);
        let fits = |state: &State| {
            let holds_copy = self.run.copy.as_ref() == Some(&state.upstream.id);
            state.has_room(self.now, self.run.footprint, limit) || holds_copy
        };
        let open = |state: &&State| fits(state) && state.has_slot(self.now);
        let open: Vec<_> = self.candidates.iter().copied().filter(open).collect();
        let takes_any = self.run.objective.is_none() && open.is_empty();
        if takes_any { self.candidates.clone() } else { open }
    }

    fn memory_with_run(&self, state: &State) -> f64 {
        f64::from(state.memory(self.now) + self.run.footprint)
    }

    /// Engines to choose among: those that this entry VM owns, a pseudo-random sample of the others
    /// in each zone, and those that hold a copy of the run or its prompt. The load of engines of
    /// other entry VMs is known late; if all entry VMs chose the one that looks best, they would
    /// overload it. Source of the random sample: Mitzenmacher, "How Useful Is Old Information?",
    /// IEEE TPDS 2000.
    fn sample(&self, open: &[&'a State]) -> Vec<&'a State> {
        let key = self.run.affinity.to_string();
        let owned = |state: &&State| self.shares.owns(&state.upstream.id);
        let mut others: Vec<_> = open.iter().copied().filter(|s| !owned(s)).collect();
        others.sort_by_cached_key(|state| score(&state.upstream.id, &key));
        let mut drawn: BTreeMap<&str, usize> = BTreeMap::new();
        others.retain(|state| {
            let count = drawn.entry(&state.upstream.zone).or_default();
            *count += 1;
            let id = Some(&state.upstream.id);
            *count <= SAMPLED_PER_ZONE
                || self.run.copy.as_ref() == id
                || self.run.cached.as_ref() == id
        });
        others.extend(open.iter().copied().filter(owned));
        others
    }

    fn cost(&self, state: &State) -> f64 {
        let upstream = &state.upstream;
        // Engines admit a run that resumes from a copy before all queued runs.
        let has_priority = self.run.copy.as_ref() == Some(&upstream.id);
        let queue_wait =
            if has_priority { Duration::ZERO } else { state.backlog(self.now, self.speed) };
        let prefill = self.speed.prefill(tokens_to_read(self.run, &upstream.id));
        let neighbours = if has_priority { 0 } else { state.total_in_flight(self.now) };
        let zone_penalty =
            if self.suspect_zones.contains(&upstream.zone) { SUSPECT_ZONE_MS } else { 0.0 };
        // All entry VMs break ties in the same way, so that a repeated request reaches the engine
        // that has its prompt cached.
        let tie_break =
            score(&upstream.id, &self.run.affinity.to_string()) as f64 / u64::MAX as f64;
        (queue_wait + prefill).as_secs_f64() * 1_000.0
            + self.distance_ms(upstream, has_priority)
            + f64::from(neighbours) * neighbour_ms(prefill)
            + state.failure_rate(self.now) * FAILURE_MS
            + zone_penalty
            + tie_break * NEIGHBOUR_MS / 2.0
    }

    /// Cost in ms of an engine that another entry VM owns or that is in another zone. When a zone's
    /// engines are lost, its entry VMs use their own parts of the other zones' engines.
    fn distance_ms(&self, upstream: &Upstream, has_priority: bool) -> f64 {
        let elsewhere = upstream.zone != self.shares.own_zone();
        let owned = self.shares.owns(&upstream.id);
        let zone = if elsewhere { OTHER_ZONE_MS } else { 0.0 };
        match (has_priority, elsewhere, owned) {
            (true, ..) | (_, false, true) => zone,
            (_, true, false) => zone + 2.0 * OTHER_OWNER_MS,
            _ => zone + OTHER_OWNER_MS,
        }
    }
}
