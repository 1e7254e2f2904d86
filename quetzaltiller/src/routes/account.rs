//! Client accounts of a configuration.

use serde::{Deserialize, Serialize};

/// Client account with the digests of its keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Account {
    /// Name of the account; upstreams see it.
    pub name: String,
    /// Priority that replaces the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// Digests of the account's keys, made by [`crate::digest::sha256_hex`].
    pub key_digests: Vec<String>,
}
