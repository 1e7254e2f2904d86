//! Settings of an entry VM.

use crate::admission::Resources;
use coordination::memory::Budget;
use std::time::Duration;

/// Settings of an entry VM.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the entry VM.
    pub name: String,
    /// Availability zone of the entry VM.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Peer addresses to which the first heartbeats go.
    pub peer_seeds: Vec<String>,
    /// Number of this start of the process; has to be higher than at every earlier start.
    pub incarnation: u64,
    /// Memory and descriptors of the VM.
    pub resources: Resources,
    /// Budget of the process, of which the store and upstreams have shares.
    pub memory: Budget,
    /// Settings that may change while the process runs.
    pub tunables: Tunables,
    /// Time after an upstream's end during which its address counts as its service's.
    pub reuse_after: Duration,
    /// Time after an outage of the store in which this entry VM has to follow it again.
    pub recovery: Duration,
    /// Maximum ratio of retries to requests, over all entry VMs.
    pub retry_ratio: f64,
    /// Number of retries allowed beyond the ratio, over all entry VMs.
    pub retry_slack: f64,
}

/// Settings that may change while the process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tunables {
    /// Grace period of the shutdown: time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Longest time for which callers may keep a list of entry VMs.
    pub entries_lifetime: Duration,
}
