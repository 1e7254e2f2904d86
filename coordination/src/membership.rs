//! Peers, their incarnations and whether they are alive.
//!
//! Facts come from heartbeats and from a lagging directory. A heartbeat of an older incarnation
//! is ignored; either source may say that a member is leaving, and a member does not come back
//! from leaving within one incarnation. Incarnations come from clocks, which may jump back between
//! two starts: an older one is believed where the newer one has been silent.
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

/// Nothing that a process sent arrives later than this after its end: the limit of a call between peers.
const OUTDATED: Duration = Duration::from_secs(1);

/// What a member says of itself.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Heartbeat {
    /// Name, unique among members.
    pub name: String,
    /// Grows with each start of the member's process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Takes no new work.
    pub leaving: bool,
    /// Takes callers' requests.
    pub ready: bool,
    /// Number of the configuration in force.
    pub number: u64,
    /// Open streams and calls.
    pub open: u64,
}

impl Heartbeat {
    /// Whether another heartbeat says the same but for numbers that change all the time.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let Self { name, incarnation, zone, caller_address, peer_address, leaving, ready, .. } =
            self;
        let known = (name, incarnation, zone, caller_address, peer_address, leaving, ready);
        let Self { name, incarnation, zone, caller_address, peer_address, leaving, ready, .. } =
            other;
        known == (name, incarnation, zone, caller_address, peer_address, leaving, ready)
    }
}

/// One member as last heard.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Member {
    /// Last heartbeat.
    pub beat: Heartbeat,
    /// When it was heard.
    pub heard: Duration,
    /// It is alive for so long after that.
    pub timeout: Duration,
}

impl Member {
    /// Whether it was heard within its timeout.
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
    /// A member is alive for `timeout` after its last heartbeat.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, members: BTreeMap::new() }
    }

    /// Takes a heartbeat; false when a newer incarnation is known.
    pub fn record_heartbeat(&mut self, now: Duration, beat: Heartbeat) -> bool {
        self.record_heartbeat_with_timeout(now, beat, self.timeout)
    }

    /// Takes a heartbeat of a member whose next one is due within `timeout`.
    pub fn record_heartbeat_with_timeout(
        &mut self,
        now: Duration,
        beat: Heartbeat,
        timeout: Duration,
    ) -> bool {
        if let Some(known) = self.members.get_mut(&beat.name) {
            if beat.incarnation < known.beat.incarnation && now < known.heard + OUTDATED {
                return false;
            }
            let same = beat.incarnation == known.beat.incarnation;
            let leaving = beat.leaving || (same && known.beat.leaving);
            known.beat = Heartbeat { leaving, ..beat };
            known.heard = now;
            known.timeout = timeout;
            return true;
        }
        self.members.insert(beat.name.clone(), Member { beat, heard: now, timeout });
        true
    }

    /// Notes that the directory calls `name` leaving.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.beat.leaving = true;
        }
    }

    /// Takes a member as not alive until it is heard again.
    pub fn mark_dead(&mut self, name: &str) {
        if let Some(member) = self.members.get_mut(name) {
            member.timeout = Duration::ZERO;
        }
    }

    /// Forgets members that have not been alive for `retention`.
    pub fn expire(&mut self, now: Duration, retention: Duration) {
        self.members.retain(|_, member| member.heard + member.timeout + retention >= now);
    }

    /// Members heard within the timeout, leaving or not, by name.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |member| member.is_alive(now))
    }

    /// Whether a member is known, alive or not.
    pub fn contains(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// Member by name, alive or not.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All members known, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
}
