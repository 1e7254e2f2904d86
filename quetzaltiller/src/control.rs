//! Port to the platform's store, in the product's types.

use crate::fleet::{Change, Listing};
use crate::routes::Table;
use async_trait::async_trait;
use quick_error::quick_error;

quick_error! {
    /// Why a call of the store failed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The history from the given revision on is gone: list again.
        Expired {
            display("history is gone")
        }
        /// The store can't be reached, or turned the call away; nothing was done.
        Unavailable(reason: String) {
            display("unavailable: {reason}")
        }
        /// No answer; a write may have taken effect or may do so later.
        Lost {
            display("no answer")
        }
        /// The object exists already or has another revision.
        Conflict {
            display("revision conflict")
        }
        /// The store sent something that is not understood.
        Protocol(reason: String) {
            display("protocol: {reason}")
        }
    }
}

/// A configuration and the revision up to which it is the newest.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Revision of the store.
    pub revision: u64,
    /// Configuration; none where there is none, or none since.
    pub table: Option<Table>,
}

/// Changes up to a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// Revision of the store.
    pub revision: u64,
    /// Changes in order.
    pub changes: Vec<Change>,
}

/// An entry VM that has announced itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Member {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for peers.
    pub peer_address: String,
}

/// What the store holds for entry VMs.
#[async_trait]
pub trait Store: Send + Sync {
    /// Newest configuration.
    async fn configuration(&self) -> Result<Configuration, Error>;

    /// Waits until the configuration has changed since `revision`, or for a while.
    async fn next_configuration(&self, revision: u64) -> Result<Configuration, Error>;

    /// All upstreams.
    async fn upstreams(&self) -> Result<Listing, Error>;

    /// Waits until an upstream has changed since `revision`, or for a while.
    async fn next_upstreams(&self, revision: u64) -> Result<Changes, Error>;

    /// Changes of upstreams since `revision`, without waiting for any.
    async fn upstreams_since(&self, revision: u64) -> Result<Changes, Error>;

    /// Entry VMs that have announced themselves, gone ones among them.
    async fn members(&self) -> Result<Vec<Member>, Error>;

    /// Announces an entry VM.
    async fn announce(&self, member: &Member) -> Result<(), Error>;
}
