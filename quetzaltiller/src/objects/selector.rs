//! Selectors: which requests may reach which upstreams.

use super::matcher::Matcher;
use super::object::Fault;
use serde::{Deserialize, Serialize};

/// Allows matching requests to reach matching upstreams; a request that no selector allows is
/// refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Selector {
    /// Name of the selector.
    pub name: String,
    /// Matcher on the labels of requests: `account`, `model`, `service` and those that callers set.
    pub requests: Matcher,
    /// Matcher on the labels of upstreams: `pool`, `zone`, `upstream` and those set on the pool and
    /// the upstream.
    pub upstreams: Matcher,
}

impl Selector {
    /// Faults of this selector alone, without regard to other objects.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (path, matcher) in [("requests", &self.requests), ("upstreams", &self.upstreams)] {
            if matcher.is_empty() {
                faults.push(Fault::new(path, "{}", "at least one label or expression"));
            }
        }
        faults
    }
}
