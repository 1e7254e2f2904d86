//! Requirements of a request on its upstream.

use std::time::Duration;

/// Requirements of a request on its upstream.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Name of the requested service.
    pub service: String,
    /// Client account, for fairness among queued requests.
    pub account: String,
    /// Ids of upstreams that failed this request.
    pub avoid: Vec<String>,
    /// Requirements of a generation's run; none for other requests.
    pub run: Option<Run>,
}

/// Requirements of a generation's run on its engine.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Id of the engine that holds a copy of the run's memory.
    pub copy: Option<String>,
    /// Id of the engine that has read the prompt and probably still has it cached.
    pub cached: Option<String>,
    /// Tokens to read before the run generates its next token.
    pub prompt_tokens: u32,
    /// Tokens that the run holds in memory at its end.
    pub footprint: u32,
    /// Hash that is equal for requests that share a prompt.
    pub affinity: u64,
    /// Maximum time until the first event for the run to be on time; none for a run that resumes
    /// earlier work, which is placed also if it is late.
    pub objective: Option<Duration>,
    /// Time after which the answer is of no use to the caller; none if unknown.
    pub deadline: Option<Duration>,
    /// Whether to choose a second engine for copies of the run's memory.
    pub wants_backup: bool,
}
