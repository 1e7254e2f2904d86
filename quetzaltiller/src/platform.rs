//! Port to the platform's object API and list of VMs.

use async_trait::async_trait;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Key of the accepted configuration.
pub const ACCEPTED_KEY: &str = "accepted";
/// Prefix of operators' objects.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the status of operators' objects.
pub const STATUS_PREFIX: &str = "status/";
/// Prefix of actions' records.
pub const ACTION_PREFIX: &str = "actions/";

quick_error! {
    /// Why a call of the platform failed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The object exists already or has another version; nothing was written.
        Conflict {
            display("version conflict")
        }
        /// The call was certainly not performed.
        Unreachable {
            display("platform unreachable")
        }
        /// No answer; a write may have taken effect or may do so later.
        Lost {
            display("no answer from the platform")
        }
        /// The value exceeds what the platform holds.
        TooLarge {
            display("value too large")
        }
        /// The platform sent something that is not understood.
        Protocol(reason: String) {
            display("protocol: {reason}")
        }
    }
}

/// A stored object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Stored {
    /// Key.
    pub key: String,
    /// Version, which rises with each write of any object.
    pub version: u64,
    /// JSON text.
    pub value: String,
}

/// One VM as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Address for peers, of entry VMs; otherwise the upstream's address.
    pub address: String,
    /// Entry VM of the system.
    pub entry: bool,
    /// About to go away.
    pub leaving: bool,
}

/// Objects with versions, conditional updates and watches.
#[async_trait]
pub trait Store: Send + Sync {
    /// Creates an object that does not exist; returns its version.
    async fn create(&self, key: &str, value: &str) -> Result<u64, Error>;

    /// Replaces the object at `version`; returns the new version.
    async fn replace(&self, key: &str, version: u64, value: &str) -> Result<u64, Error>;

    /// Removes the object at `version`.
    async fn remove(&self, key: &str, version: u64) -> Result<(), Error>;

    /// Reads an object.
    async fn read(&self, key: &str) -> Result<Option<Stored>, Error>;

    /// Reads all objects whose key begins with `prefix`, by key.
    async fn list(&self, prefix: &str) -> Result<Vec<Stored>, Error>;

    /// Waits until an object under `prefix` has changed since version `after`, or for a while;
    /// returns the newest version under the prefix.
    async fn watch(&self, prefix: &str, after: u64) -> Result<u64, Error>;

    /// VMs, with a lag.
    async fn vms(&self) -> Result<Vec<Vm>, Error>;
}
