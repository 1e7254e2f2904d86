//! What peers are told besides revisions.

use crate::placement::Successor;

/// What peers are told besides revisions.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Revision of the upstreams as the store lists them.
    pub revision: u64,
    /// Successors that the store does not list yet.
    pub successors: Vec<Successor>,
    /// The store can't be reached.
    pub away: bool,
}
