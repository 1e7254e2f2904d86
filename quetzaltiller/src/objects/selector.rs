//! Selectors: which requests may reach which upstreams.

use super::matcher::Matcher;
use super::object::Fault;
use serde::{Deserialize, Serialize};

/// Lets matching requests reach matching upstreams; what no selector lets through is refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Selector {
    /// Name.
    pub name: String,
    /// Labels of requests: `account`, `model`, `service` and those that callers set.
    pub requests: Matcher,
    /// Labels of upstreams: `pool`, `zone`, `upstream` and those of pool and upstream.
    pub upstreams: Matcher,
}

impl Selector {
    /// Faults of this object alone.
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
