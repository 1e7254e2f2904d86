//! What a request needs of an upstream.

use std::time::Duration;

/// Demand.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Service.
    pub service: String,
    /// Account, for fairness among those who wait.
    pub account: String,
    /// Upstreams that failed this request.
    pub avoid: Vec<String>,
    /// Set for generations.
    pub run: Option<Run>,
}

/// What a run asks of an engine.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Engine that holds a copy of the run's memory.
    pub copy: Option<String>,
    /// Engine that has read the prompt and probably still has it cached.
    pub cached: Option<String>,
    /// Tokens to read before the next one is generated.
    pub prompt_tokens: u32,
    /// Tokens held at the end.
    pub footprint: u32,
    /// Equal for requests that share a prompt.
    pub affinity: u64,
    /// Time until the first event after which the run is late; none for work at stake.
    pub objective: Option<Duration>,
    /// Time until the answer is of no use at all; none where that is not known.
    pub deadline: Option<Duration>,
    /// Choose a second engine for copies of the memory.
    pub wants_backup: bool,
}
