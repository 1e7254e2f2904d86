//! A caller's request for a generation.

use crate::digest::sha256_hex;
use crate::engine::Sampling;
use crate::objects::Fault;
use serde::{Deserialize, Serialize};

/// Maximum value of `max_tokens` in a request.
const MAX_TOKENS_LIMIT: u32 = 131_072;

/// Body of `POST /v1/generations`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Request {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter on the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Sampling parameters.
    #[serde(default)]
    pub sampling: Sampling,
    /// Tokens that the caller has received, to resume when no entry VM keeps them any more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub emitted: Option<Vec<String>>,
    /// Version that generated `emitted`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
}

impl Request {
    /// SHA-256, in hexadecimal, of the fields that determine the answer.
    pub fn digest(&self) -> String {
        let sampling = serde_json::to_string(&self.sampling).unwrap_or_default();
        sha256_hex(&[
            self.model.as_bytes(),
            self.adapter.as_deref().unwrap_or_default().as_bytes(),
            self.prompt.as_bytes(),
            &self.max_tokens.to_le_bytes(),
            sampling.as_bytes(),
        ])
    }

    /// Faults of fields that are out of range.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.prompt.trim().is_empty() {
            faults.push(Fault::new("prompt", &self.prompt, "some text"));
        }
        if !(1..=MAX_TOKENS_LIMIT).contains(&self.max_tokens) {
            let allowed = format!("1 to {MAX_TOKENS_LIMIT}");
            faults.push(Fault::new("max_tokens", self.max_tokens, allowed));
        }
        if !(0.0..=2.0).contains(&self.sampling.temperature) {
            faults.push(Fault::new("sampling.temperature", self.sampling.temperature, "0 to 2"));
        }
        if !(0.0..=1.0).contains(&self.sampling.top_p) {
            faults.push(Fault::new("sampling.top_p", self.sampling.top_p, "0 to 1"));
        }
        if self.emitted.is_some() != self.version.is_some() {
            faults.push(Fault::new("version", "(one of two)", "emitted and version together"));
        }
        faults
    }
}
