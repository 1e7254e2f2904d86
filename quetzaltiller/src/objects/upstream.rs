//! Upstreams: model engines and replicas of plain services.

use super::matcher::Labels;
use super::object::{Fault, check_range};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One engine or service replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Upstream {
    /// Name.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Pool it belongs to.
    pub pool: String,
    /// Labels of its own, beside the pool's.
    #[serde(default)]
    pub labels: Labels,
    /// Requests it takes at once, from all entry VMs.
    pub slots: u32,
    /// Takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

impl Upstream {
    /// Faults of this object alone.
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
