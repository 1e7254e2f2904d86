//! Speed, capacity and loaded model of a stand-in engine.

use std::time::Duration;

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the engine on the network.
    pub name: String,
    /// Model that the engine starts with.
    pub model: String,
    /// Version that the engine starts with.
    pub version: String,
    /// Adapter that the engine starts with.
    pub adapter: Option<String>,
    /// Most streams in a batch.
    pub max_batch: usize,
    /// Base time of a step, before `step_per_stream` is added.
    pub step: Duration,
    /// Time that each stream in the batch adds to a step.
    pub step_per_stream: Duration,
    /// Prefill speed in tokens per second, shared by all streams of a batch.
    pub prefill_tokens_per_s: f64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: usize,
    /// Age of load reports.
    pub report_lag: Duration,
    /// Time to load another model, version or adapter.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
}

impl Settings {
    /// Settings of an engine of ordinary speed that checks fencing numbers.
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
