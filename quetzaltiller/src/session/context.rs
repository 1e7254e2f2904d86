//! What sessions share, and what one starts with.

use crate::clock::Clock;
use crate::config::Timing;
use crate::dispatch::Dispatch;
use crate::engine;
use crate::generation::{Request, Start};
use crate::local_member::OpenRequest;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::objects::Labels;
use crate::peer::Link;
use crate::prelude::*;
use crate::registry::Registry;
use crate::scope::Scope;

/// Services and state shared by all sessions.
#[derive(Clone)]
pub struct Context {
    /// Clock of this process.
    pub clock: Clock,
    /// Timeouts and limits from the configuration.
    pub timing: Timing,
    /// Client of engines.
    pub engines: Arc<dyn engine::Client>,
    /// Link to other entry VMs.
    pub link: Arc<dyn Link>,
    /// Handle to the choice of upstreams.
    pub dispatch: Dispatch,
    /// Other entry VMs that are alive.
    pub members: Members,
    /// Sessions of this process, by generation.
    pub registry: Registry,
    /// Counters and latencies of this process.
    pub metrics: Arc<Metrics>,
    /// Tasks of this process.
    pub scope: Scope,
    /// This entry VM.
    pub vm: Arc<Vm>,
}

/// Name and zone of an entry VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Name of the entry VM.
    pub name: String,
    /// Availability zone of the entry VM.
    pub zone: String,
}

/// State of the generation at which a session starts.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Id of the generation.
    pub generation: String,
    /// Number of the attempt at the engine.
    pub attempt: u32,
    /// Lowest number for attempts that this owner starts.
    pub floor: u32,
    /// Term of this owner.
    pub term: u32,
    /// Tokens generated before the session starts.
    pub tokens: Vec<String>,
    /// Whether the answer is whole with these tokens.
    pub whole: bool,
    /// How the machine starts.
    pub start: Start,
    /// Address of the upstream that runs the generation, if there is one.
    pub address: Option<String>,
}

/// A generation to serve.
pub struct Work {
    /// Services and state shared by all sessions.
    pub context: Context,
    /// Account, with the caller's patience.
    pub account: Account,
    /// Labels that the caller set.
    pub labels: Labels,
    /// The caller's request.
    pub request: Request,
    /// State to start from.
    pub origin: Origin,
    /// Index of the next token for the caller.
    pub next: u32,
    /// Guard that counts the request as open until dropped.
    pub entered: OpenRequest,
}
