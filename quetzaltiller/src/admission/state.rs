//! State of the admission, for operators.

use serde::Serialize;
use std::collections::BTreeMap;

/// Memory that clients hold, and their connections.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct State {
    /// Bytes that are held for clients, upstreams and the store.
    pub memory_bytes: usize,
    /// Maximum of these.
    pub memory_limit_bytes: usize,
    /// Bytes that bodies of callers' requests hold.
    pub body_bytes: usize,
    /// Number of bodies that have not arrived whole.
    pub arriving_bodies: usize,
    /// Number of open connections by port.
    pub connections: BTreeMap<&'static str, usize>,
}
