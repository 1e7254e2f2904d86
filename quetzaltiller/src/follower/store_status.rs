//! State of the store as it is reported to peers.

use crate::placement::Successor;

/// State of the store as known to this entry VM.
#[derive(Clone, Debug, Default)]
pub struct StoreStatus {
    /// Revision of the listed upstreams; 0 before any listing.
    pub revision: u64,
    /// Successors of lost upstreams that the store does not list yet.
    pub successors: Vec<Successor>,
    /// Whether the store can't be reached.
    pub unreachable: bool,
}
