//! Pools of upstreams.

use super::matcher::Labels;
use super::object::{Fault, check_range};
use serde::{Deserialize, Serialize};

/// Longest wait before a silent engine is replaced, so that output goes on within 5 s.
const MAX_SILENCE_MS: u64 = 4_000;

/// Upstreams that serve one thing and share settings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Labels that each upstream of the pool has.
    #[serde(default)]
    pub labels: Labels,
    /// Model of the pool's engines; absent for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Version of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapter on the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Engine seconds that one second of a caller's wait is worth.
    #[serde(default = "default_resume_weight")]
    pub resume_weight: f64,
    /// Longest silence of an engine that is waited out, in milliseconds.
    #[serde(default = "default_max_silence_ms")]
    pub max_silence_ms: u64,
    /// Prompt tokens an engine prefills in a second, to price a replacement.
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
    /// Faults of this object alone.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if !(self.resume_weight.is_finite() && (0.0..=1_000.0).contains(&self.resume_weight)) {
            faults.push(Fault::new("resume_weight", self.resume_weight, "0 to 1000"));
        }
        if self.model.is_some() != self.version.is_some() {
            let seen = self.version.as_deref().unwrap_or("absent");
            faults.push(Fault::new(
                "version",
                seen,
                "a version where a model is named, only there",
            ));
        }
        check_range(&mut faults, "max_silence_ms", self.max_silence_ms, 50, MAX_SILENCE_MS);
        let rate = self.prefill_tokens_per_s;
        check_range(&mut faults, "prefill_tokens_per_s", rate, 1, 10_000_000);
        faults
    }
}
