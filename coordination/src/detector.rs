//! Adaptive silence detector.
//!
//! The detector keeps a smoothed mean and mean deviation of the gaps between signs of life. A gap
//! is suspicious if it exceeds `mean + 4 * deviation`, clamped to bounds. Source of the estimator:
//! Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988 (as in RFC 6298).
//!
//! ```
//! use coordination::detector::{Bounds, Detector};
//! use std::time::Duration;
//!
//! let bounds = Bounds { min: Duration::from_millis(50), max: Duration::from_secs(1) };
//! let mut detector = Detector::new(bounds);
//! assert_eq!(detector.threshold(), Duration::from_secs(1));
//! for _ in 0..100 {
//!     detector.observe(Duration::from_millis(25));
//! }
//! assert_eq!(detector.threshold(), Duration::from_millis(50));
//! ```

use std::time::Duration;

/// Weight of a new gap in the smoothed mean (RFC 6298's alpha).
const MEAN_GAIN: f64 = 1.0 / 8.0;
/// Weight of a new gap in the smoothed mean deviation (RFC 6298's beta).
const DEVIATION_GAIN: f64 = 1.0 / 4.0;
/// Number of mean deviations above the mean at which a gap is suspicious (RFC 6298's K).
const DEVIATION_FACTOR: f64 = 4.0;

/// Limits of the threshold.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Lower limit of the threshold.
    pub min: Duration,
    /// Upper limit of the threshold, and its value before the first observation.
    pub max: Duration,
}

/// Estimator of the gaps between signs of life of one source.
#[derive(Clone, Debug)]
pub struct Detector {
    bounds: Bounds,
    mean_s: f64,
    deviation_s: f64,
    observed: u64,
}

impl Detector {
    /// Creates a detector without observations.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, mean_s: 0.0, deviation_s: 0.0, observed: 0 }
    }

    /// Records the gap between two signs of life.
    pub fn observe(&mut self, gap: Duration) {
        let gap_s = gap.as_secs_f64();
        if self.observed == 0 {
            self.mean_s = gap_s;
            self.deviation_s = gap_s / 2.0;
        } else {
            let error = gap_s - self.mean_s;
            self.mean_s += MEAN_GAIN * error;
            self.deviation_s += DEVIATION_GAIN * (error.abs() - self.deviation_s);
        }
        self.observed += 1;
    }

    /// Whether at least one gap was observed.
    pub fn has_observed(&self) -> bool {
        self.observed > 0
    }

    /// Duration of silence from which the source is suspicious.
    pub fn threshold(&self) -> Duration {
        if self.observed == 0 {
            return self.bounds.max;
        }
        let raw = Duration::from_secs_f64(self.mean_s + DEVIATION_FACTOR * self.deviation_s);
        raw.clamp(self.bounds.min, self.bounds.max)
    }
}
