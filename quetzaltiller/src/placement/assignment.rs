//! Chosen upstreams.

use crate::fleet::Upstream;
use std::sync::Arc;
use std::time::Duration;

/// Chosen upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Where the request goes.
    pub upstream: Arc<Upstream>,
    /// Where copies of its memory go.
    pub backup: Option<Arc<Upstream>>,
    /// The upstream holds a copy of the run's memory.
    pub has_copy: bool,
    /// Expected time until the run generates.
    pub wait: Duration,
    /// Its prompt need not wait for others.
    pub uncontended: bool,
}
