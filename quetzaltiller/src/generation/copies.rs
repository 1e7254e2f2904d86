//! Engines that hold copies of the memory of a generation's runs.
//!
//! Engines copy what a run has generated, so a run that sent no piece leaves no copy to restore
//! from.

use std::time::Duration;

/// Pause before a failed copy is requested again; most fail because no engine has room.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Engines that hold copies of the current and the previous run of one generation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Copies {
    /// Engine that holds a copy of the current run.
    current: Option<String>,
    /// Engine that holds a copy of the previous run, while the current run has sent no piece.
    previous: Option<String>,
    requested: bool,
    retry_at: Option<Duration>,
}

impl Copies {
    /// Engine that holds a copy of the current run.
    pub fn current(&self) -> Option<&str> {
        self.current.as_deref()
    }

    /// Engine that holds the copy from which a new run can be restored.
    pub fn restorable(&self) -> Option<&str> {
        self.previous.as_deref()
    }

    /// Whether `holder` has a copy from which the generation may still be restored.
    pub fn is_held_by(&self, holder: &str) -> bool {
        [&self.current, &self.previous].into_iter().any(|copy| copy.as_deref() == Some(holder))
    }

    /// Makes the current run's copy the previous one; for a run that ended after its first piece.
    pub fn retire_current(&mut self) {
        self.previous = self.current.take();
    }

    /// Starts a run whose copy goes to `holder`; `restored` uses up the copy of the previous run.
    pub fn begin(&mut self, holder: Option<String>, restored: bool) {
        if restored {
            self.previous = None;
        }
        *self = Self { current: holder, previous: self.previous.take(), ..Self::default() };
    }

    /// Whether a copy has to be requested now; if so, marks it as requested.
    pub fn request(&mut self, now: Duration) -> bool {
        let due = self.retry_at.is_none_or(|at| now >= at);
        let needed = self.current.is_none() && !self.requested && due;
        if needed {
            self.requested = true;
            self.retry_at = None;
        }
        needed
    }

    /// Records that `holder` has a copy of the current run.
    pub fn record_copy(&mut self, holder: String) {
        self.requested = false;
        self.current = Some(holder);
    }

    /// Records that the requested copy failed; the next may be requested after [`RETRY_PAUSE`].
    pub fn record_failure(&mut self, now: Duration) {
        self.requested = false;
        self.retry_at = Some(now + RETRY_PAUSE);
    }

    /// Forgets the copies at `holder`; true if the current run's copy was among them.
    pub fn remove_holder(&mut self, holder: &str) -> bool {
        if self.previous.as_deref() == Some(holder) {
            self.previous = None;
        }
        let lost = self.current.as_deref() == Some(holder);
        if lost {
            self.current = None;
        }
        lost
    }
}
