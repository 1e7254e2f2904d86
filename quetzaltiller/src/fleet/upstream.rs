//! Upstreams: processes that serve requests.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One start of a process that serves requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Upstream {
    /// Id of this start of the process; a request that names it is run by no other upstream.
    pub id: String,
    /// Name of the service that the process belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Maximum number of requests that the process runs at once.
    pub slots: u32,
    /// Whether the process is leaving and accepts no new work.
    pub leaving: bool,
    /// Start of the process, in milliseconds since 1970; 0 if it is not known.
    pub incarnation: u64,
}
