//! Limit that one upstream states for all entry VMs together, and the part of this one.
//!
//! Entry VMs tell each other the newest statement that they know. An upstream's statements are
//! numbered by the entry VMs: the one to which an upstream answers otherwise than known counts on.

use crate::upstream;
use coordination::quota::{MAX_OFFER, Quota};
use serde::Serialize;
use std::time::Duration;

/// Time after which a lent request is no longer sent, so that those of many entry VMs don't add up.
const LOAN_LIFETIME: Duration = Duration::from_millis(500);
/// Minimum time between two requests of one entry VM for a loan at the same upstream.
const LOAN_INTERVAL: Duration = Duration::from_millis(500);

/// Limit that an upstream stated, as entry VMs tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Statement {
    /// Start of the upstream's process; 0 if unknown.
    pub incarnation: u64,
    /// Number of changes of the limit; a higher one is newer.
    pub number: u64,
    /// Stated limit.
    pub limit: upstream::Limit,
    /// When this entry VM learned of the change.
    pub learned_at: Duration,
}

/// Limit of one upstream as this entry VM knows it.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Limit {
    /// Number of changes of the limit; 0 before the first.
    number: u64,
    stated: upstream::Limit,
    /// When the limit last changed, or the upstream last stated it to this entry VM.
    stated_at: Duration,
    /// When the limit last changed.
    changed_at: Duration,
    quota: Quota,
    /// Until this time, one request may be sent that another entry VM has lent.
    lent_until: Duration,
    /// When another entry VM was last asked to lend a request.
    loan_asked_at: Duration,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            number: 0,
            stated: upstream::Limit::Unlimited,
            stated_at: Duration::ZERO,
            changed_at: Duration::ZERO,
            quota: Quota::new(Duration::ZERO, 0.0),
            lent_until: Duration::ZERO,
            loan_asked_at: Duration::ZERO,
        }
    }
}

impl Limit {
    /// Limit in requests per second; none if the upstream states none.
    pub fn per_second(&self) -> Option<f64> {
        match self.stated {
            upstream::Limit::Unlimited => None,
            upstream::Limit::PerSecond(limit) => Some(limit),
        }
    }

    /// Records the limit in the answer to a request that was sent at `sent_at`; returns whether it
    /// changed. Answers may overtake each other: a request that was sent before the last change
    /// proves nothing newer, and one that was sent before the limit was last stated doesn't prove
    /// its end.
    pub fn record_answer(
        &mut self,
        now: Duration,
        sent_at: Duration,
        stated: upstream::Limit,
    ) -> bool {
        let ends = stated == upstream::Limit::Unlimited;
        let since = if ends { self.stated_at } else { self.changed_at };
        let is_old = self.number > 0 && sent_at < since;
        if !ends && !is_old {
            self.stated_at = now;
        }
        let changed = stated != self.stated && !is_old;
        if changed {
            self.change(now, self.number + 1, stated);
        }
        changed
    }

    /// Applies the statement that another entry VM knows; returns whether it was newer.
    pub fn apply(&mut self, now: Duration, statement: &Statement) -> bool {
        let is_newer = statement.number > self.number;
        if is_newer {
            self.change(now, statement.number, statement.limit);
        }
        is_newer
    }

    fn change(&mut self, now: Duration, number: u64, stated: upstream::Limit) {
        if self.per_second().is_none() {
            self.quota = Quota::new(now, 0.0);
        }
        self.number = number;
        self.stated = stated;
        self.stated_at = now;
        self.changed_at = now;
    }

    /// Sets the requests per second of this entry VM's part.
    pub fn set_rate(&mut self, now: Duration, rate: f64) {
        self.quota.set_rate(now, rate);
    }

    /// Whether this entry VM may send a request.
    pub fn may_send(&self, now: Duration) -> bool {
        self.per_second().is_none() || self.quota.may_send(now) || now < self.lent_until
    }

    /// Records a request that is sent.
    pub fn withdraw(&mut self, now: Duration) {
        if self.per_second().is_none() {
            return;
        }
        if self.quota.may_send(now) {
            self.quota.withdraw(now);
        } else {
            self.lent_until = Duration::ZERO;
        }
    }

    /// Whether to ask a holder for a request now; records that it is asked.
    pub fn ask(&mut self, now: Duration) -> bool {
        let asks = !self.may_send(now) && now >= self.loan_asked_at + LOAN_INTERVAL;
        if asks {
            self.loan_asked_at = now;
        }
        asks
    }

    /// Withdraws a request for another entry VM; returns whether there is one.
    pub fn lend(&mut self, now: Duration) -> bool {
        let lends = self.per_second().is_some() && self.quota.may_send(now);
        if lends {
            self.quota.withdraw(now);
        }
        lends
    }

    /// Records a request that another entry VM has lent.
    pub fn borrow(&mut self, now: Duration) {
        self.lent_until = now + LOAN_LIFETIME;
    }

    /// Time until a request may be sent. An entry VM without a part names the mean time between the
    /// requests of all.
    pub fn wait(&self, now: Duration) -> Duration {
        self.per_second().map_or(Duration::ZERO, |limit| {
            let wait = self.quota.wait(now).or_else(|| Quota::new(now, limit).wait(now));
            wait.unwrap_or(MAX_OFFER).min(MAX_OFFER)
        })
    }

    /// Time after which a caller that is refused now may return; later for each further caller.
    pub fn offer(&mut self, now: Duration) -> Duration {
        self.quota.offer(now).unwrap_or_else(|| self.wait(now))
    }

    /// Newest statement, to tell other entry VMs; none before the first limit, and `retention`
    /// after the end of the last.
    pub fn statement(
        &self,
        now: Duration,
        incarnation: u64,
        retention: Duration,
    ) -> Option<Statement> {
        let current = self.per_second().is_some() || now < self.changed_at + retention;
        let statement = Statement {
            incarnation,
            number: self.number,
            limit: self.stated,
            learned_at: self.changed_at,
        };
        (self.number > 0 && current).then_some(statement)
    }
}
