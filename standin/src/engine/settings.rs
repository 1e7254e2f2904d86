//! What an engine is like.

use std::time::Duration;

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Party on the network.
    pub name: String,
    /// Model loaded at the start.
    pub model: String,
    /// Version loaded at the start.
    pub version: String,
    /// Adapter loaded at the start.
    pub adapter: Option<String>,
    /// Streams in a batch.
    pub max_batch: usize,
    /// Time of a step with an empty batch.
    pub step: Duration,
    /// Further time for each stream in the batch.
    pub step_per_stream: Duration,
    /// Prefill speed.
    pub prefill_tokens_per_s: f64,
    /// Prefix cache.
    pub cache_tokens: usize,
    /// Age of load reports.
    pub report_lag: Duration,
    /// Time to load another model or version.
    pub load_time: Duration,
    /// Orders with an old fencing number are refused.
    pub checks_fence: bool,
}

impl Settings {
    /// An engine of ordinary speed.
    pub fn new(name: &str, model: &str, version: &str) -> Self {
        Self {
            name: name.to_owned(),
            model: model.to_owned(),
            version: version.to_owned(),
            adapter: None,
            max_batch: 32,
            step: Duration::from_millis(22),
            step_per_stream: Duration::from_micros(400),
            prefill_tokens_per_s: 8_000.0,
            cache_tokens: 200_000,
            report_lag: Duration::from_millis(500),
            load_time: Duration::from_secs(20),
            checks_fence: true,
        }
    }
}
