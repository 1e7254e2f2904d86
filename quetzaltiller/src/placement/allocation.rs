//! Capacity of one upstream that is reserved for one request.

use crate::fleet::Upstream;
use std::sync::Arc;

/// Capacity of one upstream that is reserved for one request.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Upstream on which the capacity is reserved.
    pub upstream: Arc<Upstream>,
    /// Reserved tokens in the upstream's memory.
    pub tokens: u32,
    /// Whether the request runs on the upstream; otherwise the upstream holds a copy of its memory.
    pub runs: bool,
}
