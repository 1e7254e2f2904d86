//! Time since the start of the process, on tokio's clock, which tests pause.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;
use tokio::time::Instant;

/// Suspension that counts; less is the difference between two readings of the clocks.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Origin of the times that state machines see.
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

    /// Time for which the VM was suspended since it booted, which the steady clock leaves out.
    pub fn suspended(&self) -> Duration {
        let read = |clock| clock_gettime(clock).map(Duration::from).unwrap_or_default();
        let boot = read(ClockId::CLOCK_BOOTTIME);
        boot.saturating_sub(read(ClockId::CLOCK_MONOTONIC))
    }

    /// Whether this VM was suspended since it had been for the time `suspended` in all.
    pub fn slept_since(&self, suspended: Duration) -> bool {
        self.suspended().saturating_sub(suspended) >= MIN_SUSPENSION
    }

    /// Sleeps until a time since the origin.
    pub async fn sleep_until(&self, at: Duration) {
        tokio::time::sleep_until(self.epoch + at).await;
    }
}
