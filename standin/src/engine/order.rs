//! Orders to an engine to load another model, with a fencing number that engines may check.

use serde::{Deserialize, Serialize};

/// Phases of generation that an engine performs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Both prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// An order to load a model, version and adapter and to take a role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Order {
    /// Model to load.
    pub model: String,
    /// Version to load.
    pub version: String,
    /// Adapter to load; none if absent.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Role to take.
    #[serde(default)]
    pub role: Role,
    /// Fencing number of the sender.
    pub fence: u64,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderError {
    /// The engine has seen this higher fencing number.
    Fenced(u64),
}
