//! Result of a choice among upstreams.

use super::assignment::Assignment;
use std::time::Duration;

/// Result of a choice among upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// The request can be served by these upstreams.
    Found(Assignment),
    /// All upstreams of the service are full, or would serve the request too late.
    Full {
        /// Time until there is room.
        retry_after: Duration,
    },
    /// No upstream of the service is available.
    NoUpstream,
}
