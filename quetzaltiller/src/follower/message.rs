//! Messages to the task of the follower.

use crate::control::{Changes, Configuration, Version};
use crate::fleet::{Listing, Update, Upstream};
use crate::placement::Successor;
use crate::prelude::*;
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
    /// The process of a disputed upstream has answered its health check.
    Confirmed(Arc<Upstream>),
    /// Request for the changes since a version, to be sent to a peer.
    UpdateRequested {
        /// Version that the peer knows.
        known: Version,
        /// Receiver of the changes; none if the peer knows all.
        reply: oneshot::Sender<Option<Update>>,
    },
    /// The store can't be reached.
    StoreLost,
    /// The store can be reached again; it may have received calls that it did not answer.
    StoreRegained { was_silent: bool },
    /// An entry VM that watches the store for this one has noticed that it was silent.
    SilenceReported,
}
