//! A route: which requests go to which service, and what may be done with them.

use serde::{Deserialize, Serialize};

/// What may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Kind {
    /// May run any number of times.
    Lookup,
    /// Runs at most once for each request of a caller.
    Action,
    /// Answers with a sequence of events.
    Generation {
        /// May go on at another upstream.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a second run harms nobody.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, Self::Action | Self::Generation { resumable: false })
    }
}

/// One of the services that share a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Target {
    /// Service.
    pub service: String,
    /// Share of the requests, relative to the other targets.
    pub weight: u32,
}

/// Route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Beginning of the path, from slash to slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Services; one of them for each request.
    pub targets: Vec<Target>,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time to the first byte that the callers aim at, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between events that the callers accept, in milliseconds.
    pub pause_ms: Option<u64>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Needs no account.
    pub public: bool,
}

impl Route {
    /// Service for a request, drawn by weight with `draw` from the whole range of u64.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw.checked_rem(total)?;
        for target in &self.targets {
            match left.checked_sub(u64::from(target.weight)) {
                Some(rest) => left = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}
