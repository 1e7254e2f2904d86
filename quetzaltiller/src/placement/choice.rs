//! Result of a choice.

use super::assignment::Assignment;
use std::time::Duration;

/// Result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// These upstreams.
    Found(Assignment),
    /// All that could serve it are full, or would be too late; some won't be after this time.
    Full {
        /// Time until there is room.
        retry_after: Duration,
    },
    /// There is none.
    NoUpstream,
}
