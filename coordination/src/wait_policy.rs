//! How long to wait for a silent process before starting a replacement.
//!
//! Waiting costs `weight` units a second; a replacement costs a fixed number of units. As it is not
//! known how long the silence will last, waiting until both costs are equal costs at most twice the
//! optimum with that knowledge. Source: the ski-rental argument, Karlin et al., "Competitive
//! Snoopy Caching", Algorithmica 1988.
//!
//! ```
//! use coordination::wait_policy::WaitPolicy;
//! use std::time::Duration;
//!
//! let limit = Duration::from_secs(3);
//! let urgent = WaitPolicy { weight: 4.0, max: limit };
//! assert_eq!(urgent.wait(1.0), Duration::from_millis(250));
//! let patient = WaitPolicy { weight: 0.1, max: limit };
//! assert_eq!(patient.wait(1.0), limit);
//! ```

use std::time::Duration;

/// Cost of waiting, from which the longest wait for a replacement follows.
#[derive(Clone, Copy, Debug)]
pub struct WaitPolicy {
    /// Cost of one second of waiting, in engine seconds.
    pub weight: f64,
    /// Longest wait, regardless of the cost of a replacement.
    pub max: Duration,
}

impl WaitPolicy {
    /// Time to wait before starting a replacement that costs `cost_s` engine seconds.
    pub fn wait(&self, cost_s: f64) -> Duration {
        if self.weight <= 0.0 {
            return self.max;
        }
        Duration::try_from_secs_f64(cost_s / self.weight).unwrap_or(self.max).min(self.max)
    }
}
