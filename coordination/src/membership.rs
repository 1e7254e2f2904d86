//! Table of peers, their incarnations and their liveness.
//!
//! The table is updated from heartbeats and from a directory that may lag. Either may report that a
//! member is leaving, and a leaving member stays so until its next incarnation. A heartbeat of an
//! older incarnation is ignored while the newer one was heard recently. Incarnations come from
//! clocks, which may jump back between two starts, so an older one is accepted once the newer one
//! has been silent for the longest delay of a message.
//!
//! ```
//! use coordination::membership::{Heartbeat, Table};
//! use std::time::Duration;
//!
//! let mut table = Table::new(Duration::from_secs(2));
//! let beat = Heartbeat { name: "vm-1".into(), incarnation: 7, ..Heartbeat::default() };
//! assert!(table.record_heartbeat(Duration::ZERO, beat.clone()));
//! assert!(!table.record_heartbeat(Duration::ZERO, Heartbeat { incarnation: 6, ..beat }));
//! assert_eq!(table.alive(Duration::from_secs(1)).count(), 1);
//! assert_eq!(table.alive(Duration::from_secs(3)).count(), 0);
//! ```

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time after the end of a process at which a message of it can arrive: the time limit of a
/// call between peers.
const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(1);

/// State of a member as it reports it itself.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Heartbeat {
    /// Name of the member, unique among members.
    pub name: String,
    /// Start of the member's process; a later start has a higher value unless its clock jumped
    /// back.
    pub incarnation: u64,
    /// Availability zone of the member.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Whether the member is leaving and accepts no new work.
    pub leaving: bool,
    /// Whether the member accepts callers' requests.
    pub ready: bool,
    /// Number of the configuration in force.
    pub number: u64,
    /// Number of open streams and calls.
    pub open: u64,
}

impl Heartbeat {
    /// Whether two heartbeats are equal except for `number` and `open`, which change often.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let Self { name, incarnation, zone, caller_address, peer_address, leaving, ready, .. } =
            self;
        let known = (name, incarnation, zone, caller_address, peer_address, leaving, ready);
        let Self { name, incarnation, zone, caller_address, peer_address, leaving, ready, .. } =
            other;
        known == (name, incarnation, zone, caller_address, peer_address, leaving, ready)
    }
}

/// State of one member at its last heartbeat.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Member {
    /// Last heartbeat of the member.
    pub beat: Heartbeat,
    /// Time at which the last heartbeat was received.
    pub heard: Duration,
    /// Time after the last heartbeat for which the member counts as alive.
    pub timeout: Duration,
}

impl Member {
    /// Whether the last heartbeat is no older than the member's timeout.
    pub fn is_alive(&self, now: Duration) -> bool {
        self.heard + self.timeout >= now
    }
}

/// Members known to one process.
#[derive(Clone, Debug)]
pub struct Table {
    timeout: Duration,
    members: BTreeMap<String, Member>,
}

impl Table {
    /// Creates a table in which a member counts as alive for `timeout` after its last heartbeat.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, members: BTreeMap::new() }
    }

    /// Records a heartbeat; returns false if it is of an outdated incarnation and was ignored.
    pub fn record_heartbeat(&mut self, now: Duration, beat: Heartbeat) -> bool {
        self.record_heartbeat_with_timeout(now, beat, self.timeout)
    }

    /// Records a heartbeat after which the member counts as alive for `timeout`; returns false if
    /// it is of an outdated incarnation and was ignored.
    pub fn record_heartbeat_with_timeout(
        &mut self,
        now: Duration,
        beat: Heartbeat,
        timeout: Duration,
    ) -> bool {
        if let Some(known) = self.members.get_mut(&beat.name) {
            if beat.incarnation < known.beat.incarnation && now < known.heard + MAX_MESSAGE_DELAY {
                return false;
            }
            let same_incarnation = beat.incarnation == known.beat.incarnation;
            let leaving = beat.leaving || (same_incarnation && known.beat.leaving);
            known.beat = Heartbeat { leaving, ..beat };
            known.heard = now;
            known.timeout = timeout;
            return true;
        }
        self.members.insert(beat.name.clone(), Member { beat, heard: now, timeout });
        true
    }

    /// Marks a member as leaving, as listed in the directory.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.beat.leaving = true;
        }
    }

    /// Marks a member as dead until its next heartbeat.
    pub fn mark_dead(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.timeout = Duration::ZERO;
        }
    }

    /// Removes members that have not been alive for `retention`.
    pub fn expire(&mut self, now: Duration, retention: Duration) {
        self.members.retain(|_, member| member.heard + member.timeout + retention >= now);
    }

    /// Members that are alive, leaving ones included, ordered by name.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.is_alive(now))
    }

    /// Whether a member is known, alive or not.
    pub fn contains(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// Member with this name, alive or not.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All known members, ordered by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
}
