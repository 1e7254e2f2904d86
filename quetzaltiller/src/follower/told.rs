//! What peers are told besides revisions.

use crate::fleet::Directory;
use crate::placement::Successor;
use crate::prelude::*;

/// What peers are told besides revisions.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Upstreams as the store lists them.
    pub listed: Arc<Directory>,
    /// Successors that the store does not list yet.
    pub successors: Vec<Successor>,
    /// The store can't be reached.
    pub away: bool,
}
