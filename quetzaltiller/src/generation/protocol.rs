//! What goes into a [`Machine`](super::Machine) and what comes out of it.

use crate::engine::{Chunk, Error};
use crate::refusal::Code;
use coordination::detector::Bounds;
use coordination::wait_policy::WaitPolicy;
use std::time::Duration;

/// What a pool and a caller decide.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Price of waiting.
    pub wait_policy: WaitPolicy,
    /// Prefill speed of the pool's engines.
    pub prefill_tokens_per_s: f64,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Time for an engine to answer a submission or a reattach.
    pub open_timeout: Duration,
    /// Time without a new token after which the caller gets an answer.
    pub deadline: Duration,
    /// Limits of the silence threshold.
    pub silence: Bounds,
    /// How a silent engine is asked whether it lives.
    pub probe: Probe,
    /// Longest pause that the caller accepts, where it is known.
    pub pause: Option<Duration>,
    /// Another run may go on with the answer.
    pub resumable: bool,
}

/// How a silent engine is asked whether it lives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// By reattaching to the run.
    Reattach,
    /// By connecting, as the engine drops a run with its connection.
    Connect,
}

/// How a connection is opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Opening {
    /// Submits the prompt and the tokens so far.
    Submit,
    /// Submits the prompt to go on from a copy of the memory.
    Restore,
    /// Goes on with the running stream.
    Reattach,
    /// Only connects.
    Check,
    /// Asks whether the engine has the run.
    Inspect,
}

/// A chosen upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Place {
    /// Upstream.
    pub upstream: String,
    /// Version that it serves.
    pub version: String,
    /// It holds a copy of the run's memory.
    pub has_copy: bool,
    /// Engine that will hold a copy of the new run's memory.
    pub backup: Option<String>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input<P = Chunk> {
    /// An upstream was chosen.
    Placed(Place),
    /// No upstream before the deadline, for this reason.
    Unplaced(Code),
    /// The engine accepted the connection's request.
    Opened(u32),
    /// A piece of the answer on a connection.
    Chunk(u32, P),
    /// A connection failed.
    Failed(u32, Error),
    /// An engine is gone, or takes no new work.
    EngineLost(String),
    /// The engine that holds a copy of the current run's memory; none where it could not be made.
    Copied(Option<String>),
    /// The caller cancelled, or nobody came back.
    Cancel,
    /// Another entry VM owns the generation now.
    Fenced,
    /// This entry VM stops; another may go on.
    HandOver,
    /// Time has passed.
    Tick,
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Choose an upstream, none of `avoid`, for new or resumed work.
    Place {
        /// Upstreams that failed this generation.
        avoid: Vec<String>,
        /// Engine that holds a copy of the run's memory.
        copy: Option<String>,
        /// Engine that has read the prompt and probably still has it cached.
        cached: Option<String>,
        /// Tokens or work are at stake already.
        resumed: bool,
    },
    /// Open a connection.
    Open {
        /// Number that inputs refer to.
        conn: u32,
        /// How.
        opening: Opening,
        /// Upstream.
        upstream: String,
    },
    /// Close a connection.
    Close(u32),
    /// Copy the memory of the run to some engine.
    Copy,
    /// Tell an upstream to stop an attempt.
    Cancel {
        /// Upstream.
        upstream: String,
        /// Attempt.
        attempt: u32,
    },
    /// Nothing more will happen.
    Finish(Outcome),
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Whole.
    Whole,
    /// Unfinished, for this reason.
    Failed(Code),
    /// Cancelled.
    Cancelled,
    /// Another entry VM owns it.
    Superseded,
    /// To be taken over by another entry VM.
    HandedOver,
}

/// Where a machine begins.
#[derive(Clone, Debug)]
pub enum Start {
    /// A new request.
    Fresh,
    /// An answer taken over, with its upstream and version.
    TakenOver(String, String),
    /// An answer whose engine is unknown, with its version.
    Returned(String),
}

/// What happened to a generation, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Stats {
    /// Streams continued on a new connection to the same engine.
    pub reattached: u32,
    /// Attempts after the first.
    pub redispatched: u32,
    /// Suspicions that the engine itself disproved.
    pub false_suspicions: u32,
}
