//! Time since the start of the process, on tokio's clock so that tests can pause it, and the time
//! for which the VM was suspended.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;
use tokio::time::Instant;

/// Shortest suspension that is detected; a smaller difference can come from reading the two clocks
/// at different moments.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Clock for state machines, which use times since its origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { epoch: Instant::now() }
    }
}

impl Clock {
    /// Time since the origin.
    pub fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    /// Total time for which the VM was suspended since it booted. The monotonic clock excludes it.
    pub fn suspended(&self) -> Duration {
        let read = |clock| clock_gettime(clock).map(Duration::from).unwrap_or_default();
        let boot = read(ClockId::CLOCK_BOOTTIME);
        boot.saturating_sub(read(ClockId::CLOCK_MONOTONIC))
    }

    /// Whether this VM was suspended after an earlier reading of [`Self::suspended`].
    pub fn slept_since(&self, reading: Duration) -> bool {
        self.suspended().saturating_sub(reading) >= MIN_SUSPENSION
    }

    /// Sleeps until the time `at`, counted from the origin.
    pub async fn sleep_until(&self, at: Duration) {
        tokio::time::sleep_until(self.epoch + at).await;
    }
}
