//! What the task of the follower is told.

use crate::control::{Changes, Configuration};
use crate::fleet::{Listing, Update};
use crate::placement::Successor;
use crate::routes::Table;
use tokio::sync::oneshot;

/// What the task is told.
#[derive(Debug)]
pub enum Message {
    /// The store has this configuration.
    Configured(Configuration),
    /// A peer has this configuration.
    Offered(Table),
    /// All upstreams.
    Listed(Listing),
    /// Changed upstreams.
    Changed(Changes),
    /// A process took the address of a lost upstream.
    Succeeded(Successor),
    /// A peer that knows a revision asks for what is newer.
    Asked {
        /// Revision.
        known: u64,
        /// What is newer.
        reply: oneshot::Sender<Option<Update>>,
    },
    /// The store can't be reached.
    Lost,
    /// The store is back.
    Regained,
}
