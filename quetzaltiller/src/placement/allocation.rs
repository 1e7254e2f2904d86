//! What one request takes of one upstream.

use crate::fleet::Upstream;
use std::sync::Arc;

/// What one request takes of one upstream.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Upstream.
    pub upstream: Arc<Upstream>,
    /// Tokens in its memory.
    pub tokens: u32,
    /// The request runs there; otherwise a copy of its memory lies there.
    pub runs: bool,
}
