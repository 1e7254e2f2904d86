//! Routes: which requests go to which service, and how they may be retried.

use serde::{Deserialize, Serialize};

/// Kind of a route's requests, which decides how they may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Kind {
    /// The request may run any number of times.
    Lookup,
    /// The request runs at most once for each request of a caller.
    Action,
    /// The request is answered with a sequence of events.
    Generation {
        /// Whether the generation may resume at another upstream.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a second run of the request has no harmful effect.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Action | Self::Generation { resumable: false })
    }
}

/// One of the services that share a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// Route of requests to services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the requests name.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub path_prefix: String,
    /// Kind of the requests.
    pub kind: Kind,
    /// Services, of which one is drawn for each request.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts: u32,
    /// Maximum time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// The callers' objective for the time to the first byte, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between events that the callers accept, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no account.
    pub public: bool,
}

impl Route {
    /// Service for a request, chosen by weight; `draw` is random over the whole range of `u64`.
    /// `None` if the weights add up to 0.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut remaining = draw.checked_rem(total)?;
        for target in &self.targets {
            match remaining.checked_sub(u64::from(target.weight)) {
                Some(next) => remaining = next,
                None => return Some(&target.service),
            }
        }
        None
    }
}
