//! Inputs, effects and settings of a [`Machine`](super::Machine).

use crate::engine::{Chunk, Error};
use crate::refusal::Code;
use coordination::detector::Bounds;
use coordination::wait_policy::WaitPolicy;
use std::time::Duration;

/// Settings of one generation, from its pool and its caller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Limit on the wait for a silent engine, relative to the cost of a prefill.
    pub wait_policy: WaitPolicy,
    /// Prefill speed of the pool's engines, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum time for an engine to answer a submission or a reattach.
    pub open_timeout: Duration,
    /// Maximum time without a new token; after it the generation fails.
    pub deadline: Duration,
    /// Bounds of the silence after which an engine is suspected.
    pub silence: Bounds,
    /// How a silent engine is probed.
    pub probe: Probe,
    /// Longest pause that the caller accepts, if known.
    pub pause: Option<Duration>,
    /// Whether another run may continue the answer.
    pub resumable: bool,
}

/// How a silent engine is probed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// Reattaches to the run.
    Reattach,
    /// Only connects, as the engine drops a run with its connection.
    Connect,
}

/// Purpose of a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Opening {
    /// Submits the prompt and the tokens so far.
    Submit,
    /// Submits the prompt to an engine that holds a copy of the run's memory.
    Restore,
    /// Reattaches to the running stream.
    Reattach,
    /// Connects, to see whether the engine accepts connections.
    Check,
    /// Queries whether the engine has the run.
    Inspect,
}

/// A chosen upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Place {
    /// Identifier of the upstream.
    pub upstream: String,
    /// Version of the model that the upstream serves.
    pub version: String,
    /// Whether the upstream holds a copy of the run's memory.
    pub has_copy: bool,
    /// Engine that will hold a copy of the new run's memory.
    pub backup: Option<String>,
}

/// Event that a machine reacts to; connections are named by the numbers in [`Effect::Open`].
#[derive(Clone, Debug)]
pub enum Input<P = Chunk> {
    /// An upstream was chosen.
    Placed(Place),
    /// No upstream takes the run now; holds the reason. With [`Probe::Reattach`], none did before
    /// the deadline.
    Unplaced(Code),
    /// No further run is allowed; holds the reason.
    Exhausted(Code),
    /// The engine accepted the request on a connection.
    Opened(u32),
    /// A piece of the answer arrived on a connection.
    Chunk(u32, P),
    /// A connection failed.
    Failed(u32, Error),
    /// An engine was lost or takes no new work.
    EngineLost(String),
    /// A requested copy of the current run's memory ended; holds its engine, or none if the copy
    /// failed.
    Copied(Option<String>),
    /// The caller cancelled, or did not return in time.
    Cancel,
    /// Another entry VM owns the generation now.
    Fenced,
    /// This entry VM stops; another may continue the generation.
    HandOver,
    /// The time of [`Machine::wake_at`](super::Machine::wake_at) has come.
    Tick,
}

/// Action that a machine requests from the task that runs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Choose an upstream, none of `avoid`, for new or resumed work.
    Place {
        /// Upstreams that failed this generation.
        avoid: Vec<String>,
        /// Engine that holds a copy of the run's memory.
        copy: Option<String>,
        /// Engine that has read the prompt and probably still has it in its cache.
        cached: Option<String>,
        /// Whether an earlier attempt or admitted tokens exist.
        resumed: bool,
    },
    /// Open a connection.
    Open {
        /// Number of the connection, to which inputs refer.
        conn: u32,
        /// Purpose of the connection.
        opening: Opening,
        /// Identifier of the upstream.
        upstream: String,
    },
    /// Close a connection.
    Close(u32),
    /// Copy the memory of the run to another engine.
    Copy,
    /// Cancel an attempt at an upstream.
    Cancel {
        /// Identifier of the upstream.
        upstream: String,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The generation has ended; no effect follows.
    Finish(Outcome),
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is complete.
    Whole,
    /// The answer is incomplete; holds the reason.
    Failed(Code),
    /// The caller cancelled the generation or did not return.
    Cancelled,
    /// Another entry VM owns the generation.
    Superseded,
    /// Another entry VM is to take the generation over.
    HandedOver,
}

/// Starting point of a machine.
#[derive(Clone, Debug)]
pub enum Start {
    /// A new request.
    Fresh,
    /// An answer taken over from another entry VM; holds its upstream and version.
    TakenOver(String, String),
    /// An answer whose engine is unknown; holds its version.
    Returned(String),
}

/// Counts of a generation's recoveries, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Reattaches to the same engine on a new connection.
    pub reattached: u32,
    /// Attempts started after an engine or its connection was lost.
    pub redispatched: u32,
    /// Suspicions that ended because the engine showed activity.
    pub false_suspicions: u32,
}
