//! How long to wait for something silent before paying for a replacement.
//!
//! Waiting costs `weight` units a second; a replacement costs `price` units once. Without
//! knowledge of how long the silence lasts, waiting until the two are equal costs at most twice
//! what a clairvoyant would pay. Source: the ski-rental argument, Karlin et al., "Competitive
//! Snoopy Caching", Algorithmica 1988.
//!
//! ```
//! use coordination::wait_policy::WaitPolicy;
//! use std::time::Duration;
//!
//! let limit = Duration::from_secs(3);
//! let hurried = WaitPolicy { weight: 4.0, max: limit };
//! assert_eq!(hurried.wait(1.0), Duration::from_millis(250));
//! let thrifty = WaitPolicy { weight: 0.1, max: limit };
//! assert_eq!(thrifty.wait(1.0), limit);
//! ```

use std::time::Duration;

/// What a second of waiting is worth.
#[derive(Clone, Copy, Debug)]
pub struct WaitPolicy {
    /// Engine seconds that one second of waiting is worth.
    pub weight: f64,
    /// Longest wait, whatever the price.
    pub max: Duration,
}

impl WaitPolicy {
    /// Longest wait for a replacement that costs `price_s` engine seconds.
    pub fn wait(&self, price_s: f64) -> Duration {
        if self.weight <= 0.0 {
            return self.max;
        }
        Duration::try_from_secs_f64(price_s / self.weight).unwrap_or(self.max).min(self.max)
    }
}
