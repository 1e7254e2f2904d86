//! A limit on the rate of requests that one server states for all its clients together.
//!
//! Members that may send to the server are its holders: the first of a ranking of all known
//! members. Each has an equal part of the limit. A silent member may still send, so it keeps its
//! part until it is no longer known. If no holder is alive, the first live member of the ranking
//! sends at a quarter of the limit times the fraction of members that are alive, provided that
//! these are a quarter of all. Members that are cut off from each other form at most four such
//! groups, which together send at most a quarter of the limit.
//!
//! A holder may lend one request of its credit to a member without a part.
//!
//! If the limit is low, there are few holders, as each may send one request at once after a pause,
//! and all of them may do so together. Within any window of `w` seconds, holders send at most
//! `limit * (w + 1) + 1` requests, and successors at most `limit * w / 4 + 4`.
//!
//! ```
//! use coordination::quota::{Quota, rate};
//! use std::time::Duration;
//!
//! let rates = ["a", "b", "c"].map(|own| rate(own, &["b", "a", "c"], 3, |_| true, 6.0));
//! assert_eq!(rates, [2.0, 2.0, 2.0]);
//!
//! let mut quota = Quota::new(Duration::ZERO, rates[0]);
//! assert!(!quota.may_send(Duration::ZERO));
//! assert!(quota.may_send(Duration::from_millis(500)));
//! quota.withdraw(Duration::from_millis(500));
//! assert!(!quota.may_send(Duration::from_millis(900)));
//! ```

use serde::Serialize;
use std::time::Duration;

/// Time for which a holder accumulates its part of the limit beyond one request.
const BURST: Duration = Duration::from_millis(250);
/// Limit in requests per second in place of a lower one, as only an answer shows that a limit has
/// ended.
const MIN_LIMIT: f64 = 0.25;
/// Number of holders, beyond the first, for each request per second of the limit.
const HOLDERS_PER_REQUEST: f64 = 0.75;
/// Fraction of the limit that replaces the parts of holders that are all silent.
const SUCCESSOR_SHARE: f64 = 0.25;
/// Minimum fraction of members that are alive for one of them to replace silent holders.
const MIN_ALIVE: f64 = 0.25;
/// Longest time after which a refused caller is told to return; by then the limit has often
/// changed.
pub const MAX_OFFER: Duration = Duration::from_secs(5);

/// Members that hold parts of a `limit` in requests per second, from `ranked` as for [`rate`].
pub fn holders<'a, 'b>(ranked: &'a [&'b str], max_holders: usize, limit: f64) -> &'a [&'b str] {
    let wanted = (limit * HOLDERS_PER_REQUEST) as usize + 1;
    &ranked[..wanted.min(max_holders).min(ranked.len())]
}

/// Requests per second that the member `own` may send to a server with the given `limit` in
/// requests per second. `ranked` has all known members, silent ones included, in an order that all
/// of them compute alike; the first `max_holders` may hold a part.
pub fn rate(
    own: &str,
    ranked: &[&str],
    max_holders: usize,
    is_alive: impl Fn(&str) -> bool,
    limit: f64,
) -> f64 {
    let limit = limit.max(MIN_LIMIT);
    let holders = holders(ranked, max_holders, limit);
    let others = &ranked[holders.len()..];
    if holders.contains(&own) {
        return limit / holders.len() as f64;
    }
    let successor = others.iter().find(|name| is_alive(name));
    if successor != Some(&own) || holders.iter().any(|name| is_alive(name)) {
        return 0.0;
    }
    let alive = ranked.iter().filter(|name| is_alive(name)).count() as f64 / ranked.len() as f64;
    if alive < MIN_ALIVE { 0.0 } else { limit * SUCCESSOR_SHARE * alive }
}

/// Requests that one member may send to a limited server.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Quota {
    /// Requests per second.
    rate: f64,
    /// Requests that may be sent at `updated_at`.
    credit: f64,
    updated_at: Duration,
    /// Latest time that a refused caller was told to return at.
    offered_until: Duration,
}

impl Quota {
    /// Quota of `rate` requests per second that is used up at `now`.
    pub fn new(now: Duration, rate: f64) -> Self {
        Self { rate, credit: 0.0, updated_at: now, offered_until: now }
    }

    /// Changes the rate; the credit up to `now` is kept.
    pub fn set_rate(&mut self, now: Duration, rate: f64) {
        self.credit = self.credit(now);
        self.updated_at = now;
        self.rate = rate;
    }

    /// Whether a request may be sent.
    pub fn may_send(&self, now: Duration) -> bool {
        // Tolerance in requests: intervals are rounded to nanoseconds.
        const ROUNDING: f64 = 1e-6;
        self.rate > 0.0 && self.credit(now) + ROUNDING >= 1.0
    }

    /// Records a request that is sent.
    pub fn withdraw(&mut self, now: Duration) {
        self.credit = self.credit(now) - 1.0;
        self.updated_at = now;
    }

    /// Time until a request may be sent; none if this member has no part of the limit.
    pub fn wait(&self, now: Duration) -> Option<Duration> {
        let missing = (1.0 - self.credit(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.rate).ok()
    }

    /// Time after which a caller that is refused now may return; later for each further caller.
    /// None if this member has no part of the limit.
    pub fn offer(&mut self, now: Duration) -> Option<Duration> {
        let wait = self.wait(now)?.min(MAX_OFFER);
        let interval = Duration::try_from_secs_f64(1.0 / self.rate).ok()?.min(MAX_OFFER);
        let at = (now + wait).max(self.offered_until + interval).min(now + MAX_OFFER);
        self.offered_until = at;
        Some(at - now)
    }

    fn credit(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        let burst = 1.0 + self.rate * BURST.as_secs_f64();
        (self.credit + self.rate * elapsed).min(burst)
    }
}
