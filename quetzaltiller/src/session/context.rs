//! What a session is given.

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

/// What sessions share.
#[derive(Clone)]
pub struct Context {
    /// Clock.
    pub clock: Clock,
    /// Times.
    pub timing: Timing,
    /// Engines.
    pub engines: Arc<dyn engine::Client>,
    /// Other entry VMs.
    pub link: Arc<dyn Link>,
    /// Choice of upstreams.
    pub dispatch: Dispatch,
    /// Other entry VMs that are alive.
    pub members: Members,
    /// Generations served here.
    pub registry: Registry,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Tasks of this process.
    pub scope: Scope,
    /// This entry VM.
    pub vm: Arc<Vm>,
}

/// Name and zone of an entry VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// Where a session begins.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Generation.
    pub generation: String,
    /// Attempt at the engine.
    pub attempt: u32,
    /// Lowest number of attempts that this owner begins.
    pub floor: u32,
    /// Term of this owner.
    pub term: u32,
    /// Tokens so far.
    pub tokens: Vec<String>,
    /// The answer is whole with them.
    pub whole: bool,
    /// How the machine starts.
    pub start: Start,
    /// Address of the upstream that is at work.
    pub address: Option<String>,
}

/// A generation to serve.
pub struct Work {
    /// What sessions share.
    pub context: Context,
    /// Account, with the caller's patience.
    pub account: Account,
    /// Labels that the caller set.
    pub labels: Labels,
    /// Request.
    pub request: Request,
    /// Where it begins.
    pub origin: Origin,
    /// Index of the next token for the caller.
    pub next: u32,
    /// Keeps the request counted as open.
    pub entered: OpenRequest,
}
