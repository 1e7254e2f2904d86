//! Loads and suspicions of upstreams, and the choice among them.
//!
//! Reports lag, so an upstream's load is corrected by what this process has started and ended
//! since. Among the upstreams whose load is below a bound near the mean, the cheapest is chosen.
//! The cost is the prefill of what the upstream has not cached, plus the wait for the first token
//! at the pool's weight. Where costs are equal, requests with the same beginning go to the same
//! upstream. Source of the bound: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with
//! Bounded Loads", SODA 2018, here on rendezvous ranks.

use super::demand::Demand;
use super::prefixes::Prefixes;
use crate::engine::{BLOCK_TOKENS, Report};
use crate::objects::{Pool, Set, Upstream};
use crate::refusal::Code;
use coordination::rendezvous::rank;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which an upstream is avoided after a first failure.
const FIRST_SUSPICION: Duration = Duration::from_millis(500);
/// Maximum number of times that the suspicion doubles with failures in a row.
const MAX_SUSPICION_DOUBLINGS: u32 = 5;
/// Load, as a share of an upstream's slots, below which an entry VM may use more than its own share
/// of the slots.
const BORROW_BELOW: f64 = 0.5;
/// Bound on an upstream's load as a factor of the mean; an upstream at the bound is not chosen,
/// whatever its affinity.
const LOAD_BOUND: f64 = 1.25;

/// Load and failures of one upstream, as this process knows them.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamState {
    /// Number of requests of this process in progress.
    pub in_flight: u32,
    /// Load in the upstream's last report: running and queued requests.
    pub reported: Option<u32>,
    /// Number of requests of this process in progress when the report arrived.
    pub in_flight_at_report: u32,
    /// Number of failures in a row.
    pub failures: u32,
    /// End of the suspicion, in milliseconds since the start; until then, the upstream is chosen
    /// only if there is no other.
    pub suspect_until_ms: u64,
    /// Expected end of the prefill that this process has sent to the upstream, in milliseconds
    /// since the start.
    pub prefill_until_ms: u64,
}

impl UpstreamState {
    /// Number of requests by the last report, corrected by what this process started and ended
    /// since.
    pub fn load(&self) -> u32 {
        let reported = self.reported.unwrap_or_default();
        let since = i64::from(self.in_flight) - i64::from(self.in_flight_at_report);
        let corrected = (i64::from(reported) + since).max(0) as u32;
        corrected.max(self.in_flight)
    }
}

/// Result of a choice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The chosen upstream's name.
    Upstream(String),
    /// All upstreams that could serve the request are full; a slot may become free.
    Full,
    /// No upstream may or can serve the request now, for this reason.
    NoUpstream(Code),
}

/// State of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Table {
    states: BTreeMap<String, UpstreamState>,
    prefixes: BTreeMap<String, Prefixes>,
    leaving: BTreeSet<String>,
    own_name: String,
    members: Vec<String>,
}

impl Table {
    /// Chooses an upstream for `demand` at `now`.
    pub fn choose(&self, now: Duration, set: &Set, demand: &Demand) -> Choice {
        let allowed = set.reachable(&demand.request());
        if allowed.is_empty() {
            return Choice::NoUpstream(Code::NotAllowed);
        }
        let eligible: Vec<_> = allowed
            .into_iter()
            .filter(|(upstream, pool)| self.is_eligible(upstream, pool, demand))
            .collect();
        let preferred: Vec<_> = eligible
            .iter()
            .copied()
            .filter(|(u, _)| !self.is_suspect(now, &u.name) && !demand.avoid.contains(&u.name))
            .collect();
        let candidates = if preferred.is_empty() { eligible } else { preferred };
        if candidates.is_empty() {
            return Choice::NoUpstream(Code::NoUpstream);
        }
        let chosen = self.choose_among(now, &candidates, demand);
        chosen.map_or(Choice::Full, Choice::Upstream)
    }

    /// Records that `demand` goes to the upstream: its text counts as cached there, and its prefill
    /// as work of the upstream.
    pub fn grant(&mut self, now: Duration, upstream: &str, pool: &Pool, demand: &Demand) {
        let prefill = self.prefill(upstream, pool, demand);
        self.record_cached(upstream, &demand.blocks);
        let state = self.state(upstream);
        let begins = state.prefill_until_ms.max(now.as_millis() as u64);
        state.prefill_until_ms = begins + prefill.as_millis() as u64;
        state.in_flight += 1;
    }

    /// Counts a started request.
    pub fn record_start(&mut self, upstream: &str) {
        self.state(upstream).in_flight += 1;
    }

    /// Counts an ended request.
    pub fn record_end(&mut self, upstream: &str) {
        let state = self.state(upstream);
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Records blocks that the upstream has cached, or will have soon.
    pub fn record_cached(&mut self, upstream: &str, blocks: &[u64]) {
        if !blocks.is_empty() {
            self.prefixes.entry(upstream.to_owned()).or_default().insert(blocks);
        }
    }

    /// Records a report of the upstream's load; `None`, if it did not answer, counts as a failure.
    pub fn record_report(&mut self, now: Duration, upstream: &str, report: Option<&Report>) {
        match report {
            None => self.record_failure(now, upstream),
            Some(report) => {
                let state = self.state(upstream);
                state.reported = Some(report.running + report.queued);
                state.in_flight_at_report = state.in_flight;
                self.record_success(upstream);
            }
        }
    }

    /// Records an answer and ends the suspicion.
    pub fn record_success(&mut self, upstream: &str) {
        let state = self.state(upstream);
        state.failures = 0;
        state.suspect_until_ms = 0;
    }

    /// Records a failure: the upstream is avoided for a while, longer with each failure in a row,
    /// and no longer counts as having anything cached.
    pub fn record_failure(&mut self, now: Duration, upstream: &str) {
        if let Some(prefixes) = self.prefixes.get_mut(upstream) {
            prefixes.clear();
        }
        let state = self.state(upstream);
        let doublings = state.failures.min(MAX_SUSPICION_DOUBLINGS);
        state.failures += 1;
        let until = now + FIRST_SUSPICION * 2u32.pow(doublings);
        state.suspect_until_ms = until.as_millis() as u64;
    }

    /// Creates the table of the entry VM `own_name`.
    pub fn new(own_name: &str) -> Self {
        Self { own_name: own_name.to_owned(), ..Self::default() }
    }

    /// Replaces the other entry VMs that share the upstreams.
    pub fn set_members(&mut self, members: Vec<String>) {
        self.members = members;
    }

    /// Replaces the upstreams that are leaving by a notice other than the configuration.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        self.leaving = leaving;
    }

    /// Removes idle upstreams that are no longer configured.
    pub fn retain(&mut self, set: &Set) {
        let names: BTreeSet<_> = set.upstreams().map(|upstream| upstream.name.as_str()).collect();
        self.states.retain(|name, state| state.in_flight > 0 || names.contains(name.as_str()));
        self.prefixes.retain(|name, _| names.contains(name.as_str()));
    }

    /// States of all upstreams, by name.
    pub fn states(&self) -> &BTreeMap<String, UpstreamState> {
        &self.states
    }

    fn choose_among(
        &self,
        now: Duration,
        candidates: &[(&Upstream, &Pool)],
        demand: &Demand,
    ) -> Option<String> {
        let available: Vec<_> =
            candidates.iter().filter(|(u, _)| self.has_room(u)).copied().collect();
        if available.is_empty() {
            return None;
        }
        let total: u32 = available.iter().map(|(upstream, _)| self.load(&upstream.name)).sum();
        let bound = (f64::from(total + 1) / available.len() as f64 * LOAD_BOUND).ceil() as u32;
        let ranked =
            rank(available.iter().map(|(upstream, _)| upstream.name.as_str()), &demand.affinity);
        let below_bound = ranked.into_iter().filter(|name| self.load(name) < bound);
        let costed = below_bound.filter_map(|name| {
            let (_, pool) = available.iter().find(|(upstream, _)| upstream.name == name)?;
            Some((self.cost_s(now, name, pool, demand), name))
        });
        let costed: Vec<_> = costed.collect();
        let least_s = costed.iter().map(|(cost_s, _)| *cost_s).min_by(f64::total_cmp)?;
        let weight = available.iter().map(|(_, pool)| pool.resume_weight).fold(0.0, f64::max);
        let limit_s = if demand.resumed { least_s * spread_factor(weight) } else { least_s };
        let affordable = || costed.iter().filter(|(cost_s, _)| *cost_s <= limit_s);
        let first_ranked = affordable().find(|(_, name)| demand.resumed && self.is_first_for(name));
        first_ranked.or_else(|| affordable().next()).map(|(_, name)| (*name).to_owned())
    }

    /// Whether this entry VM ranks first for an upstream among the live entry VMs. When all resume
    /// streams at once, each then prefers different upstreams.
    fn is_first_for(&self, upstream: &str) -> bool {
        let members = self.members.iter().map(String::as_str).chain([self.own_name.as_str()]);
        rank(members, upstream).first() == Some(&self.own_name.as_str())
    }

    /// Cost of a choice in seconds of an engine: the prefill of what is not cached, plus the wait
    /// for the first token at the pool's weight.
    fn cost_s(&self, now: Duration, upstream: &str, pool: &Pool, demand: &Demand) -> f64 {
        let prefill_s = self.prefill(upstream, pool, demand).as_secs_f64();
        let busy_until_ms = self.states.get(upstream).map_or(0, |state| state.prefill_until_ms);
        let queue_s = Duration::from_millis(busy_until_ms).saturating_sub(now).as_secs_f64();
        prefill_s + pool.resume_weight * (queue_s + prefill_s)
    }

    fn prefill(&self, upstream: &str, pool: &Pool, demand: &Demand) -> Duration {
        let cached =
            self.prefixes.get(upstream).map_or(0, |known| known.cached_len(&demand.blocks));
        let tokens = (demand.blocks.len() - cached) * BLOCK_TOKENS;
        Duration::from_secs_f64(tokens as f64 / pool.prefill_tokens_per_s as f64)
    }

    fn is_eligible(&self, upstream: &Upstream, pool: &Pool, demand: &Demand) -> bool {
        let has_version = demand.version.is_none() || demand.version == pool.version;
        let has_adapter = demand.model.is_none() || demand.adapter == pool.adapter;
        has_version && has_adapter && !upstream.leaving && !self.leaving.contains(&upstream.name)
    }

    fn is_suspect(&self, now: Duration, upstream: &str) -> bool {
        let until = self.states.get(upstream).map_or(0, |state| state.suspect_until_ms);
        (now.as_millis() as u64) < until
    }

    /// Whether an upstream has a free slot for this entry VM. Reports lag and other entry VMs
    /// choose meanwhile, so near the upstream's limit each uses only its own share of the slots.
    fn has_room(&self, upstream: &Upstream) -> bool {
        let load = self.load(&upstream.name);
        let own = self.states.get(&upstream.name).map_or(0, |state| state.in_flight);
        let share = upstream.slots.div_ceil(self.members.len() as u32 + 1);
        let lightly_loaded = f64::from(load) < BORROW_BELOW * f64::from(upstream.slots);
        load < upstream.slots && (own < share || lightly_loaded)
    }

    fn load(&self, upstream: &str) -> u32 {
        self.states.get(upstream).map_or(0, UpstreamState::load)
    }

    fn state(&mut self, upstream: &str) -> &mut UpstreamState {
        self.states.entry(upstream.to_owned()).or_default()
    }
}

/// Factor on the least cost within which resumed work is spread by rank. Entry VMs resume the
/// streams of a lost engine at the same moment and do not see each other's choices. The higher a
/// pool's weight of waiting, the more it pays to keep them from queueing at the cheapest engine.
fn spread_factor(weight: f64) -> f64 {
    1.0 + weight / (1.0 + weight)
}
