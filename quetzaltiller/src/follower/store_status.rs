//! State of the store as it is reported to peers.

use super::configuration_age::ConfigurationTimes;
use crate::control::Version;
use crate::fleet::Upstream;
use crate::placement::Successor;
use crate::prelude::*;

/// State of the store as known to this entry VM.
#[derive(Clone, Debug, Default)]
pub struct StoreStatus {
    /// Version of the listed upstreams; its revision is 0 before any listing.
    pub version: Version,
    /// When the configuration came into force, and what the store last said of it.
    pub configuration: ConfigurationTimes,
    /// Successors of lost upstreams that the store does not list yet.
    pub successors: Vec<Successor>,
    /// Upstreams that a newer era lists although they had left.
    pub disputed: Vec<Arc<Upstream>>,
    /// Whether the store can't be reached.
    pub unreachable: bool,
    /// Number of outages that ended and in which calls of this entry VM were not answered.
    pub silences: u32,
    /// Number of such outages that entry VMs reported which watch the store for this one.
    pub reported_silences: u32,
}
