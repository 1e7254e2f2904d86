//! Heartbeat of a member.

use super::{Departure, Limit, Load, Member, Successor, Usage};
use crate::control::Version;
use prost::Message;

/// State of a member, sent periodically to its peers.
#[derive(Clone, Message, PartialEq)]
pub struct Heartbeat {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub caller_address: String,
    #[prost(string, tag = "5")]
    pub peer_address: String,
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    #[prost(uint64, tag = "7")]
    pub number: u64,
    #[prost(uint64, tag = "8")]
    pub open: u64,
    /// Upstreams that the member knows to be leaving.
    #[prost(string, repeated, tag = "9")]
    pub leaving_upstreams: Vec<String>,
    /// The member's share of the use of accounts' limits.
    #[prost(message, repeated, tag = "10")]
    pub usage: Vec<Usage>,
    /// Whether the member accepts callers' requests.
    #[prost(bool, tag = "11")]
    pub ready: bool,
    /// Store's revision of the upstreams that the member knows.
    #[prost(uint64, tag = "12")]
    pub revision: u64,
    /// Upstreams that the member recently found to be gone.
    #[prost(string, repeated, tag = "13")]
    pub lost_upstreams: Vec<String>,
    /// Replacements of lost upstreams that the store does not list yet.
    #[prost(message, repeated, tag = "14")]
    pub successors: Vec<Successor>,
    /// Load that the member has placed on upstreams.
    #[prost(message, repeated, tag = "15")]
    pub loads: Vec<Load>,
    /// Members known to the sender, sent to a member that was new to it.
    #[prost(message, repeated, tag = "16")]
    pub members: Vec<Member>,
    /// Members that have not answered the sender recently.
    #[prost(string, repeated, tag = "17")]
    pub unreachable_members: Vec<String>,
    /// Number of other members that the sender regards as alive.
    #[prost(uint32, tag = "18")]
    pub alive: u32,
    /// Upstreams that have announced that they are leaving.
    #[prost(message, repeated, tag = "19")]
    pub departures: Vec<Departure>,
    /// Newest limits that upstreams stated for all members together.
    #[prost(message, repeated, tag = "20")]
    pub limits: Vec<Limit>,
    /// Store's era of the upstreams that the member knows; 0 from members that don't send it.
    #[prost(uint64, tag = "22")]
    pub era: u64,
    /// Number of silences of the store that the sender itself has noticed.
    #[prost(uint32, tag = "23")]
    pub silences: u32,
    /// Store's era and revision of the newest change of a quarantine record that the sender knows.
    #[prost(uint64, tag = "24")]
    pub quarantine_era: u64,
    #[prost(uint64, tag = "25")]
    pub quarantine_revision: u64,
}

impl Heartbeat {
    /// Version of the store that lists the upstreams that the member knows.
    pub fn store_version(&self) -> Version {
        Version { era: self.era, revision: self.revision }
    }

    /// Sets the version of the store that lists the upstreams that the member knows.
    pub fn set_store_version(&mut self, Version { era, revision }: Version) {
        (self.era, self.revision) = (era, revision);
    }

    /// Version of the newest change of a quarantine record that the member knows.
    pub fn quarantine_version(&self) -> Version {
        Version { era: self.quarantine_era, revision: self.quarantine_revision }
    }

    /// Sets the version of the newest change of a quarantine record that the member knows.
    pub fn set_quarantine_version(&mut self, Version { era, revision }: Version) {
        (self.quarantine_era, self.quarantine_revision) = (era, revision);
    }
}
