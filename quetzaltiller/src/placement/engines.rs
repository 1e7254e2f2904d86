//! The choice among engines for one run.
//!
//! Costs are milliseconds until the next event of the run at hand, with what a choice costs others
//! added as if it were its own delay.

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

/// Shortest wait that is told where all engines are full: half of a prefill.
const FULL_RETRY: Duration = Duration::from_millis(500);
/// Wait for others' prompts up to which a run is begun that is late wherever it goes: a part of a prefill,
/// which delays none of them.
const LATE_BACKLOG: Duration = Duration::from_millis(250);
/// Slowdown of the others in a batch by one more run, over the length of a run: 0.15 ms of about
/// 5 ms a step (users' sheet of engines), 4 s a run.
const NEIGHBOUR_MS: f64 = 120.0;
/// Share of a prompt's reading in which another run of its engine stands still: engines read chunks of 25 ms
/// between steps of 5 ms (users' sheet of engines), and a run may end meanwhile.
const STALL_SHARE: f64 = 0.5;
/// Wait at an owned engine, whose load is known, that is better than an engine of another entry VM,
/// whose load may have changed: most of a prefill.
const FOREIGN_MS: f64 = 200.0;
/// Worth of the bytes of a generation that cross zones, as a delay.
const OTHER_ZONE_MS: f64 = 100.0;
/// Weight of an upstream's failure rate, as a delay.
const FAILURE_MS: f64 = 4_000.0;
/// Cost of an engine in a doubted zone: it would have to be connected to in vain.
const DOUBT_MS: f64 = 1_500.0;
/// Share of an engine's memory that is filled; beyond it runs are preempted.
const MEMORY_SHARE: f64 = 0.9;
/// Share up to which copies are made, so that runs find room before them; and the same where all engines are
/// crowded, which leaves a sixth of what runs may fill to them alone.
const BACKUP_MEMORY_SHARE: f64 = 0.6;
const CROWDED_MEMORY_SHARE: f64 = 0.75;
/// Engines of other entry VMs that are considered in each zone.
const DRAWN: usize = 2;
/// Engines that are considered for a copy.
const DRAWN_FOR_COPIES: usize = 4;
/// Tokens to read at an engine that holds a copy or the prompt: what had not arrived there.
const RESTORED_TOKENS: u32 = 200;

/// Tokens up to which engines are filled.
pub fn memory_limit(engine: Option<&routes::Engine>) -> f64 {
    match engine.map_or(0, |engine| engine.memory_tokens) {
        0 => f64::MAX,
        tokens => f64::from(tokens) * MEMORY_SHARE,
    }
}

/// Tokens that an engine has to read before a run generates.
pub fn tokens_to_read(run: &Run, engine: &str) -> u32 {
    let known = |id: &Option<String>| id.as_deref() == Some(engine);
    if known(&run.copy) || known(&run.cached) { RESTORED_TOKENS } else { run.prompt_tokens }
}

/// What a choice among engines rests on.
pub struct Engines<'a> {
    /// Now.
    pub now: Duration,
    /// What the run asks.
    pub run: &'a Run,
    /// Engines that could take it.
    pub candidates: Vec<&'a State>,
    /// Zones whose engines are probably lost, or failed this run.
    pub doubted: BTreeSet<String>,
    /// What the engines can do.
    pub engine: Option<&'a routes::Engine>,
    /// Which engines this entry VM owns.
    pub shares: &'a Shares,
    /// How fast they read.
    pub speed: Speed,
}

/// What a run loses by another at its engine: it stands still while that one's prompt is read, and its steps
/// take longer afterwards.
fn neighbour_ms(prefill: Duration) -> f64 {
    NEIGHBOUR_MS + prefill.as_secs_f64() * 1_000.0 * STALL_SHARE
}

impl<'a> Engines<'a> {
    /// Chooses an engine, and another for copies.
    pub fn choose(&self) -> Choice {
        let open = self.with_room();
        let sample = self.sample(&open);
        let cost = |state: &&&State| self.cost(state);
        let Some(best) = sample.iter().min_by(|a, b| cost(a).total_cmp(&cost(b))) else {
            return Choice::Full { retry_after: self.room_in() };
        };
        let prefill = self.speed.prefill(self.run.prompt_tokens);
        let backlog = best.backlog(self.now, self.speed);
        let wait = backlog + prefill;
        if let Some(retry_after) = self.refuses(best, backlog) {
            return Choice::Full { retry_after };
        }
        let backs_up = self.run.wants_backup && self.engine.is_some_and(|engine| engine.backups);
        let backup = if backs_up { self.choose_backup(&open, &best.upstream) } else { None };
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

    /// Time until an engine has room, where none has: in it one of its runs ends on average.
    fn room_in(&self) -> Duration {
        let runs = self.candidates.iter().map(|state| state.total_in_flight(self.now)).sum::<u32>();
        let engines = self.candidates.len() as u32;
        (self.speed.run() * engines / runs.max(engines)).max(FULL_RETRY)
    }

    /// Why a run is refused at the best engine: the time until it could be taken. A run that would be on
    /// time elsewhere or later gives way to those that still can be; one whose prompt alone takes too
    /// long is late wherever and whenever it begins, so it is served where nobody waits.
    fn refuses(&self, best: &State, backlog: Duration) -> Option<Duration> {
        let first_event = self.speed.prefill(tokens_to_read(self.run, &best.upstream.id));
        let left = self.run.deadline.map(|deadline| deadline.saturating_sub(backlog + first_event));
        if left.is_some_and(|left| left.is_zero()) {
            return Some(backlog.max(FULL_RETRY));
        }
        let objective = self.run.objective?;
        let prefill = self.speed.prefill(self.run.prompt_tokens);
        if prefill > objective {
            return (backlog > LATE_BACKLOG).then_some(backlog);
        }
        let late = (backlog + prefill).saturating_sub(objective);
        (!late.is_zero()).then(|| late.max(FULL_RETRY))
    }

    /// Engine for copies of a run at `primary`: in another zone, one that holds little. Where all
    /// others are crowded, as after the loss of a zone, copies take more room there rather than share the
    /// zone of their run, but leave some to runs: a run that is refused is lost for certain.
    pub fn choose_backup(
        &self,
        candidates: &[&'a State],
        primary: &Upstream,
    ) -> Option<Arc<Upstream>> {
        let sound: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|state| state.upstream.id != primary.id && !state.is_unproven())
            .filter(|state| !self.doubted.contains(&state.upstream.zone))
            .collect();
        let tokens = f64::from(self.engine.map_or(0, |engine| engine.memory_tokens));
        let within = |share: f64, away: bool| -> Vec<&State> {
            let fits = |s: &&State| self.memory_with_run(s) <= tokens * share;
            let zone = |s: &&State| !away || s.upstream.zone != primary.zone;
            sound.iter().copied().filter(fits).filter(zone).collect()
        };
        let tiers = [
            (BACKUP_MEMORY_SHARE, true),
            (CROWDED_MEMORY_SHARE, true),
            (BACKUP_MEMORY_SHARE, false),
        ];
        let mut from =
            tiers.into_iter().map(|(share, away)| within(share, away)).find(|t| !t.is_empty())?;
        let key = self.run.affinity.to_string();
        from.sort_by_cached_key(|state| score(&state.upstream.id, &key));
        from.truncate(DRAWN_FOR_COPIES);
        let least = from.into_iter().min_by_key(|state| state.memory(self.now));
        least.map(|state| state.upstream.clone())
    }

    /// Candidates with a free slot and room in memory. Work at stake waits in an engine's queue
    /// rather than end.
    fn with_room(&self) -> Vec<&'a State> {
        let limit = memory_limit(self.engine);
        let fits = |state: &State| {
            let holds_copy = self.run.copy.as_ref() == Some(&state.upstream.id);
            state.has_room(self.now, self.run.footprint, limit) || holds_copy
        };
        let open = |state: &&State| fits(state) && state.has_slot(self.now);
        let open: Vec<_> = self.candidates.iter().copied().filter(open).collect();
        let at_stake = self.run.objective.is_none() && open.is_empty();
        if at_stake { self.candidates.clone() } else { open }
    }

    fn memory_with_run(&self, state: &State) -> f64 {
        f64::from(state.memory(self.now) + self.run.footprint)
    }

    /// Engines to choose among: those that this entry VM owns, a few others of each zone by lot, and
    /// those that know the run. What is known of engines of others is old, so if all entry VMs turned to
    /// the one that looks best, they would meet there. Source of choosing by lot: Mitzenmacher, "How
    /// Useful Is Old Information?", IEEE TPDS 2000.
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
            *count <= DRAWN || self.run.copy.as_ref() == id || self.run.cached.as_ref() == id
        });
        others.extend(open.iter().copied().filter(owned));
        others
    }

    fn cost(&self, state: &State) -> f64 {
        let upstream = &state.upstream;
        // A run that goes on from a copy is admitted before all that wait.
        let goes_first = self.run.copy.as_ref() == Some(&upstream.id);
        let waits = if goes_first { Duration::ZERO } else { state.backlog(self.now, self.speed) };
        let prefill = self.speed.prefill(tokens_to_read(self.run, &upstream.id));
        let neighbours = if goes_first { 0 } else { state.total_in_flight(self.now) };
        let doubt = if self.doubted.contains(&upstream.zone) { DOUBT_MS } else { 0.0 };
        // Equal costs are told apart alike by all entry VMs, so that a repeated request finds
        // what its engine has cached.
        let tie = score(&upstream.id, &self.run.affinity.to_string()) as f64 / u64::MAX as f64;
        (waits + prefill).as_secs_f64() * 1_000.0
            + self.distance_ms(upstream, goes_first)
            + f64::from(neighbours) * neighbour_ms(prefill)
            + state.failure_rate(self.now) * FAILURE_MS
            + doubt
            + tie * NEIGHBOUR_MS / 2.0
    }

    /// Cost of engines of other entry VMs and zones. When a zone's engines are lost, its entry VMs
    /// share those of other zones among them.
    fn distance_ms(&self, upstream: &Upstream, goes_first: bool) -> f64 {
        let elsewhere = upstream.zone != self.shares.own_zone();
        let owned = self.shares.owns(&upstream.id);
        let zone = if elsewhere { OTHER_ZONE_MS } else { 0.0 };
        match (goes_first, elsewhere, owned) {
            (true, ..) | (_, false, true) => zone,
            (_, true, false) => zone + 2.0 * FOREIGN_MS,
            _ => zone + FOREIGN_MS,
        }
    }
}
