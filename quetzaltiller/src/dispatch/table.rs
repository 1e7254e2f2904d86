//! Loads and suspicions of upstreams, and the choice among them.
//!
//! Reports lag, so the load is corrected by what this process has started since. Among the
//! upstreams whose load is near the mean, the one is chosen that costs least: prefill of what it
//! has not cached, plus the wait for the first token at the pool's weight. Where costs are equal,
//! requests with the same beginning go to the same one. Source of the bound: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads",
//! SODA 2018, here on rendezvous ranks.

use super::demand::Demand;
use super::prefixes::Prefixes;
use crate::engine::{BLOCK_TOKENS, Report};
use crate::objects::{Pool, Set, Upstream};
use crate::refusal::Code;
use coordination::rendezvous::rank;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const FIRST_SUSPICION: Duration = Duration::from_millis(500);
const MAX_SUSPICION_DOUBLINGS: u32 = 5;
/// Share of an upstream's slots up to which an entry VM uses more than its own part.
const BORROW_BELOW: f64 = 0.5;
/// Load above the mean at which affinity yields, as a factor.
const LOAD_BOUND: f64 = 1.25;

/// What is known of one upstream.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamState {
    /// Requests of this process.
    pub in_flight: u32,
    /// Last report of the upstream's load.
    pub reported: Option<u32>,
    /// Requests of this process when the report was made.
    pub in_flight_at_report: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Chosen only for want of another until then, in milliseconds since the start.
    pub suspect_until_ms: u64,
    /// End of the prefill that this process gave it, in milliseconds since the start.
    pub prefill_until_ms: u64,
}

impl UpstreamState {
    /// Load by the last report and by what this process started and ended since.
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
    /// This upstream.
    Upstream(String),
    /// All that could serve it are full; a place may come free.
    Full,
    /// None may or can serve it now, for this reason.
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
        let able: Vec<_> = allowed
            .into_iter()
            .filter(|(upstream, pool)| self.is_able(upstream, pool, demand))
            .collect();
        let preferred: Vec<_> = able
            .iter()
            .copied()
            .filter(|(u, _)| !self.is_suspect(now, &u.name) && !demand.avoid.contains(&u.name))
            .collect();
        let candidates = if preferred.is_empty() { able } else { preferred };
        if candidates.is_empty() {
            return Choice::NoUpstream(Code::NoUpstream);
        }
        let chosen = self.choose_among(now, &candidates, demand);
        chosen.map_or(Choice::Full, Choice::Upstream)
    }

    /// Notes that `demand` goes to the upstream: its text will be cached there, and prefilled
    /// until then.
    pub fn grant(&mut self, now: Duration, upstream: &str, pool: &Pool, demand: &Demand) {
        let prefill = self.prefill(upstream, pool, demand);
        self.cached(upstream, &demand.blocks);
        let state = self.state(upstream);
        let begins = state.prefill_until_ms.max(now.as_millis() as u64);
        state.prefill_until_ms = begins + prefill.as_millis() as u64;
        state.in_flight += 1;
    }

    /// Notes a request begun.
    pub fn begin(&mut self, upstream: &str) {
        self.state(upstream).in_flight += 1;
    }

    /// Notes a request ended.
    pub fn end(&mut self, upstream: &str) {
        let state = self.state(upstream);
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Notes blocks that the upstream has cached, or will have soon.
    pub fn cached(&mut self, upstream: &str, blocks: &[u64]) {
        if !blocks.is_empty() {
            self.prefixes.entry(upstream.to_owned()).or_default().insert(blocks);
        }
    }

    /// Notes a report; `None` when the upstream did not answer.
    pub fn report(&mut self, now: Duration, upstream: &str, report: Option<&Report>) {
        match report {
            None => self.fail(now, upstream),
            Some(report) => {
                let state = self.state(upstream);
                state.reported = Some(report.running + report.queued);
                state.in_flight_at_report = state.in_flight;
                self.succeed(upstream);
            }
        }
    }

    /// Notes an answer: a suspicion ends.
    pub fn succeed(&mut self, upstream: &str) {
        let state = self.state(upstream);
        state.failures = 0;
        state.suspect_until_ms = 0;
    }

    /// Notes a failure: the upstream is avoided for a while, longer with each in a row.
    pub fn fail(&mut self, now: Duration, upstream: &str) {
        if let Some(prefixes) = self.prefixes.get_mut(upstream) {
            prefixes.clear();
        }
        let state = self.state(upstream);
        let doublings = state.failures.min(MAX_SUSPICION_DOUBLINGS);
        state.failures += 1;
        let until = now + FIRST_SUSPICION * 2u32.pow(doublings);
        state.suspect_until_ms = until.as_millis() as u64;
    }

    /// A table of the entry VM `own_name`.
    pub fn new(own_name: &str) -> Self {
        Self { own_name: own_name.to_owned(), ..Self::default() }
    }

    /// Tells which other entry VMs share the upstreams.
    pub fn set_members(&mut self, members: Vec<String>) {
        self.members = members;
    }

    /// Replaces the upstreams that are leaving by other word than the configuration's.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        self.leaving = leaving;
    }

    /// Forgets upstreams that are no longer configured and idle.
    pub fn retain(&mut self, set: &Set) {
        let names: BTreeSet<_> = set.upstreams().map(|upstream| upstream.name.as_str()).collect();
        self.states.retain(|name, state| state.in_flight > 0 || names.contains(name.as_str()));
        self.prefixes.retain(|name, _| names.contains(name.as_str()));
    }

    /// States by upstream.
    pub fn states(&self) -> &BTreeMap<String, UpstreamState> {
        &self.states
    }

    fn choose_among(
        &self,
        now: Duration,
        candidates: &[(&Upstream, &Pool)],
        demand: &Demand,
    ) -> Option<String> {
        let open: Vec<_> = candidates.iter().filter(|(u, _)| self.has_room(u)).copied().collect();
        if open.is_empty() {
            return None;
        }
        let total: u32 = open.iter().map(|(upstream, _)| self.load(&upstream.name)).sum();
        let bound = (f64::from(total + 1) / open.len() as f64 * LOAD_BOUND).ceil() as u32;
        let ranked =
            rank(open.iter().map(|(upstream, _)| upstream.name.as_str()), &demand.affinity);
        let light = ranked.into_iter().filter(|name| self.load(name) < bound);
        let costed = light.filter_map(|name| {
            let (_, pool) = open.iter().find(|(upstream, _)| upstream.name == name)?;
            Some((self.cost_s(now, name, pool, demand), name))
        });
        let costed: Vec<_> = costed.collect();
        let least_s = costed.iter().map(|(cost_s, _)| *cost_s).min_by(f64::total_cmp)?;
        let weight = open.iter().map(|(_, pool)| pool.resume_weight).fold(0.0, f64::max);
        let limit_s = if demand.resumed { least_s * spread(weight) } else { least_s };
        let good = || costed.iter().filter(|(cost_s, _)| *cost_s <= limit_s);
        let own = good().find(|(_, name)| demand.resumed && self.is_first_for(name));
        own.or_else(|| good().next()).map(|(_, name)| (*name).to_owned())
    }

    /// Whether this entry VM ranks first for an upstream among those that are alive. When all
    /// resume streams at once, each turns to upstreams of its own.
    fn is_first_for(&self, upstream: &str) -> bool {
        let members = self.members.iter().map(String::as_str).chain([self.own_name.as_str()]);
        rank(members, upstream).first() == Some(&self.own_name.as_str())
    }

    /// Engine seconds that a choice costs: prefill of what is not cached, and the wait for the
    /// first token at the pool's weight.
    fn cost_s(&self, now: Duration, upstream: &str, pool: &Pool, demand: &Demand) -> f64 {
        let prefill_s = self.prefill(upstream, pool, demand).as_secs_f64();
        let busy_until_ms = self.states.get(upstream).map_or(0, |state| state.prefill_until_ms);
        let queue_s = Duration::from_millis(busy_until_ms).saturating_sub(now).as_secs_f64();
        prefill_s + pool.resume_weight * (queue_s + prefill_s)
    }

    fn prefill(&self, upstream: &str, pool: &Pool, demand: &Demand) -> Duration {
        let cached = self.prefixes.get(upstream).map_or(0, |known| known.cached(&demand.blocks));
        let tokens = (demand.blocks.len() - cached) * BLOCK_TOKENS;
        Duration::from_secs_f64(tokens as f64 / pool.prefill_tokens_per_s as f64)
    }

    fn is_able(&self, upstream: &Upstream, pool: &Pool, demand: &Demand) -> bool {
        let version = demand.version.is_none() || demand.version == pool.version;
        let adapter = demand.model.is_none() || demand.adapter == pool.adapter;
        version && adapter && !upstream.leaving && !self.leaving.contains(&upstream.name)
    }

    fn is_suspect(&self, now: Duration, upstream: &str) -> bool {
        let until = self.states.get(upstream).map_or(0, |state| state.suspect_until_ms);
        (now.as_millis() as u64) < until
    }

    /// Whether an upstream takes one more. Reports lag, and other entry VMs choose meanwhile: near
    /// its limit, each uses only its own share of the slots.
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
/// streams of a lost engine at the same moment and do not see each other's choices; the more a
/// pool minds waiting, the more it pays to keep them from queueing at the cheapest engine.
fn spread(weight: f64) -> f64 {
    1.0 + weight / (1.0 + weight)
}
