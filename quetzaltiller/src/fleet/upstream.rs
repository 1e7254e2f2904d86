//! One upstream.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Upstream {
    /// Identity; a request that names it is run by no other.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Takes no new work.
    pub leaving: bool,
    /// Start of the process, in milliseconds since 1970; 0 where it is not told.
    pub incarnation: u64,
}
