//! The upstreams chosen for one request.

use crate::fleet::Upstream;
use std::sync::Arc;
use std::time::Duration;

/// Upstreams chosen for one request, not reserved yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Upstream that the request is sent to.
    pub upstream: Arc<Upstream>,
    /// Engine that copies of the run's memory are sent to.
    pub backup: Option<Arc<Upstream>>,
    /// Whether the upstream holds a copy of the run's memory.
    pub has_copy: bool,
    /// Expected time until the run generates.
    pub wait: Duration,
    /// Whether the prompt is read without waiting for others.
    pub uncontended: bool,
}
