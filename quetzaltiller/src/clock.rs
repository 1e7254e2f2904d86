//! Time since the start of the process, on tokio's clock so that tests can pause it, with and without
//! the time for which the VM was suspended.

use nix::time::{ClockId, clock_gettime};
use std::time::Duration;
use tokio::time::Instant;

/// Resolution of suspensions.
const RESOLUTION: Duration = Duration::from_millis(1);

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

    /// Time that includes suspensions of the VM, which [`Self::now`] does not. Only differences have a
    /// meaning.
    pub fn uptime(&self) -> Duration {
        self.now() + suspended()
    }

    /// Sleeps until the time `at`, counted from the origin.
    pub async fn sleep_until(&self, at: Duration) {
        tokio::time::sleep_until(self.epoch + at).await;
    }
}

/// Total time for which the VM was suspended since it booted, in whole milliseconds.
fn suspended() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from).unwrap_or_default();
    let difference = || {
        let monotonic = read(ClockId::CLOCK_MONOTONIC);
        // Read last, so that a pause between the two never hides a suspension.
        read(ClockId::CLOCK_BOOTTIME).saturating_sub(monotonic)
    };
    let mut suspended = difference();
    if suspended >= RESOLUTION {
        // Such a pause, as of a preempted thread, adds to the difference: the shortest counts.
        suspended = suspended.min(difference()).min(difference());
    }
    Duration::from_millis(suspended.as_millis() as u64)
}
