//! Orders to an engine, and the fencing number that some check.

use serde::{Deserialize, Serialize};

/// What an engine does.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// An order to serve something else.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Order {
    /// Model to load.
    pub model: String,
    /// Version to load.
    pub version: String,
    /// Adapter to load.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Role to take.
    #[serde(default)]
    pub role: Role,
    /// Fencing number of the one who orders.
    pub fence: u64,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderError {
    /// A newer fencing number was seen.
    Fenced(u64),
}
