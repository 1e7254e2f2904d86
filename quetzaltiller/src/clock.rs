//! Time since the start of the process, on tokio's clock, which tests pause.

use std::time::Duration;
use tokio::time::Instant;

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

    /// Sleeps until a time since the origin.
    pub async fn sleep_until(&self, at: Duration) {
        tokio::time::sleep_until(self.epoch + at).await;
    }
}
