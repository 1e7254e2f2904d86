//! Settings of an entry VM.

use std::time::Duration;

/// Settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the entry VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Peers to begin with.
    pub peer_seeds: Vec<String>,
    /// Number of this start of the process; must rise with each.
    pub incarnation: u64,
    /// What may change while the process runs.
    pub tunables: Tunables,
    /// An address stays with its service for so long after an upstream has ended.
    pub reuse_after: Duration,
    /// Retries for each request, over all entry VMs.
    pub retry_ratio: f64,
    /// Retries beyond the ratio, over all entry VMs.
    pub retry_slack: f64,
}

/// Settings that may change while the process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tunables {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Longest time that callers keep an answer of which entry VMs to use.
    pub entries_lifetime: Duration,
}
