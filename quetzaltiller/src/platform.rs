//! Port to the platform's object API and list of VMs.

use async_trait::async_trait;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// Key of the accepted configuration in the store.
pub const ACCEPTED_KEY: &str = "accepted";
/// Prefix of the keys of operators' objects.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the keys of operators' objects' status.
pub const STATUS_PREFIX: &str = "status/";
/// Prefix of the keys of actions' records.
pub const ACTION_PREFIX: &str = "actions/";

quick_error! {
    /// Reasons why a call of the platform failed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The object already exists or has another version; nothing was written.
        Conflict {
            display("version conflict")
        }
        /// The platform is unreachable; the call was certainly not performed.
        Unreachable {
            display("platform unreachable")
        }
        /// The platform did not answer; a write may have taken effect or may do so later.
        Lost {
            display("no answer from the platform")
        }
        /// The value exceeds the platform's size limit.
        TooLarge {
            display("value too large")
        }
        /// The platform sent a malformed or unexpected answer.
        Protocol(reason: String) {
            display("protocol: {reason}")
        }
    }
}

/// Object in the platform's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Stored {
    /// Key of the object.
    pub key: String,
    /// Version of the object; each write of any object takes a higher one.
    pub version: u64,
    /// Value as JSON text.
    pub value: String,
}

/// VM as listed by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Peer address of an entry VM; of any other VM, the upstream's address.
    pub address: String,
    /// Whether the VM is an entry VM of this system.
    pub entry: bool,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// Client for the platform: versioned objects with conditional updates and watches, and the list
/// of VMs.
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

    /// Reads all objects whose key starts with `prefix`, in order of their keys.
    async fn list(&self, prefix: &str) -> Result<Vec<Stored>, Error>;

    /// Waits until an object under `prefix` has changed since version `after`, up to a time limit
    /// of the implementation; returns the newest version under the prefix.
    async fn watch(&self, prefix: &str, after: u64) -> Result<u64, Error>;

    /// Lists the VMs; the list lags behind.
    async fn vms(&self) -> Result<Vec<Vm>, Error>;
}
