//! Messages to the task of the follower.

use crate::control::{Changes, Configuration};
use crate::fleet::{Listing, Update};
use crate::placement::Successor;
use crate::routes::Table;
use tokio::sync::oneshot;

/// Message to the task of the follower.
#[derive(Debug)]
pub enum Message {
    /// Configuration read from the store.
    StoreConfiguration(Configuration),
    /// Configuration offered by a peer.
    PeerConfiguration(Table),
    /// List of all upstreams from the store or a peer.
    Listed(Listing),
    /// Changes of upstreams from the store or a peer.
    Changed(Changes),
    /// A new process serves the address of a lost upstream.
    SuccessorFound(Successor),
    /// Request for the changes since a revision, to be sent to a peer.
    UpdateRequested {
        /// Revision that the peer knows.
        known_revision: u64,
        /// Receiver of the changes; none if the peer knows all.
        reply: oneshot::Sender<Option<Update>>,
    },
    /// The store can't be reached.
    StoreLost,
    /// The store can be reached again.
    StoreRegained,
}
