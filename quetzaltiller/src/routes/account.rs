//! A client account.

use serde::{Deserialize, Serialize};

/// Account, with the digests of its keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Account {
    /// Name that upstreams see.
    pub name: String,
    /// Rank before that of the route; 0 goes first.
    pub priority: Option<u8>,
    /// Keys, as [`crate::digest::sha256_hex`] makes them.
    pub key_digests: Vec<String>,
}
