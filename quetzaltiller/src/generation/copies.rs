//! Where copies of a run's memory lie.
//!
//! Engines copy what a run has generated, so a run without a piece has left nothing to go on from.

use std::time::Duration;

/// Pause after a copy could not be made, for want of room most times.
const RETRY: Duration = Duration::from_millis(500);

/// Copies of one generation's runs, by the engines that hold them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Copies {
    /// Holder for the current run.
    current: Option<String>,
    /// Holder for the run before, while the current one has not begun.
    older: Option<String>,
    making: bool,
    retry_at: Option<Duration>,
}

impl Copies {
    /// Holder for the current run.
    pub fn current(&self) -> Option<&str> {
        self.current.as_deref()
    }

    /// Holder that a new run can go on from.
    pub fn usable(&self) -> Option<&str> {
        self.older.as_deref()
    }

    /// Whether an engine holds a copy that may still be gone on from.
    pub fn lie_at(&self, holder: &str) -> bool {
        [&self.current, &self.older].into_iter().any(|copy| copy.as_deref() == Some(holder))
    }

    /// The current run ended after it had generated something.
    pub fn retire(&mut self) {
        self.older = self.current.take();
    }

    /// A run begins; `restored` from the older copy, which is used up then.
    pub fn begin(&mut self, holder: Option<String>, restored: bool) {
        if restored {
            self.older = None;
        }
        *self = Self { current: holder, older: self.older.take(), ..Self::default() };
    }

    /// Whether a copy has to be ordered now; if so, it is being made.
    pub fn order(&mut self, now: Duration) -> bool {
        let due = self.retry_at.is_none_or(|at| now >= at);
        let orders = self.current.is_none() && !self.making && due;
        if orders {
            self.making = true;
            self.retry_at = None;
        }
        orders
    }

    /// A copy was made.
    pub fn made(&mut self, holder: String) {
        self.making = false;
        self.current = Some(holder);
    }

    /// No copy could be made.
    pub fn failed(&mut self, now: Duration) {
        self.making = false;
        self.retry_at = Some(now + RETRY);
    }

    /// Copies at an engine are of no more use; true if the current run's is among them.
    pub fn lose(&mut self, holder: &str) -> bool {
        if self.older.as_deref() == Some(holder) {
            self.older = None;
        }
        let lost = self.current.as_deref() == Some(holder);
        if lost {
            self.current = None;
        }
        lost
    }
}
