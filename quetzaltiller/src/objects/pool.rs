//! Pools: upstreams that serve the same model or service.

use super::matcher::Labels;
use super::object::{Fault, check_range};
use serde::{Deserialize, Serialize};

/// Upper bound of `max_silence_ms`: output must continue within 5 s of an engine's silence.
const MAX_SILENCE_MS: u64 = 4_000;

/// Upstreams that serve the same model or service and share settings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// Labels of every upstream in the pool.
    #[serde(default)]
    pub labels: Labels,
    /// Model of the pool's engines; absent for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Version of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapter that the engines apply to the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Cost of one second of a caller's wait, in seconds of engine time.
    #[serde(default = "default_resume_weight")]
    pub resume_weight: f64,
    /// Longest wait for a silent engine before it is replaced, in milliseconds.
    #[serde(default = "default_max_silence_ms")]
    pub max_silence_ms: u64,
    /// Prompt tokens that an engine prefills per second, to estimate the cost of a replacement.
    #[serde(default = "default_prefill_tokens_per_s")]
    pub prefill_tokens_per_s: u64,
}

fn default_resume_weight() -> f64 {
    1.0
}

fn default_max_silence_ms() -> u64 {
    3_000
}

fn default_prefill_tokens_per_s() -> u64 {
    8_000
}

impl Pool {
    /// Faults of this pool alone, without regard to other objects.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if !(self.resume_weight.is_finite() && (0.0..=1_000.0).contains(&self.resume_weight)) {
            faults.push(Fault::new("resume_weight", self.resume_weight, "0 to 1000"));
        }
        if self.model.is_some() != self.version.is_some() {
            let found = self.version.as_deref().unwrap_or("absent");
            faults.push(Fault::new(
                "version",
                found,
                "a version where a model is named, only there",
            ));
        }
        check_range(&mut faults, "max_silence_ms", self.max_silence_ms, 50, MAX_SILENCE_MS);
        let rate = self.prefill_tokens_per_s;
        check_range(&mut faults, "prefill_tokens_per_s", rate, 1, 10_000_000);
        faults
    }
}
