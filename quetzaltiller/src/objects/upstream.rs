//! Upstreams: model engines and replicas of plain services.

use super::matcher::Labels;
use super::object::{Fault, check_range};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A model engine or a replica of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Upstream {
    /// Name of the upstream.
    pub name: String,
    /// IP address and port of the upstream.
    pub address: String,
    /// Availability zone of the upstream.
    pub zone: String,
    /// Name of the upstream's pool.
    pub pool: String,
    /// Labels of the upstream; on the same key they replace the pool's.
    #[serde(default)]
    pub labels: Labels,
    /// Maximum number of concurrent requests, over all entry VMs.
    pub slots: u32,
    /// Whether the upstream is leaving; a leaving upstream gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl Upstream {
    /// Faults of this upstream alone, without regard to other objects.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.address.parse::<SocketAddr>().is_err() {
            faults.push(Fault::new("address", &self.address, "an IP address and port"));
        }
        if self.zone.is_empty() {
            faults.push(Fault::new("zone", &self.zone, "an availability zone's name"));
        }
        check_range(&mut faults, "slots", self.slots.into(), 1, 100_000);
        faults
    }
}
