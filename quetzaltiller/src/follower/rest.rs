//! How long an entry VM rests between watches of the store's upstreams.
//!
//! Load: a fleet of over a hundred entry VMs before hundreds of engines that restart. Each change ends
//! every watch that waits, and each watch is a call that is paid for. So one VM of a zone watches
//! closely and one more a little less; the others learn from them and watch only where neither is
//! heard. Configurations are watched by all: one that grew by a thousand routes would crowd the links
//! of those that tell it.

use std::time::Duration;

/// Changes are gathered for so long before the next watch. A tenth of the time in which a leaving
/// upstream must get no more requests (2 s at the least, users' settings).
const GATHER: Duration = Duration::from_millis(200);
/// The same for a deputy, whom the relay tells; below that time by itself.
const DEPUTY_GATHER: Duration = Duration::from_millis(1_500);
/// A relay that was not heard for two and a half heartbeats may be gone.
const RELAY_SILENCE: Duration = Duration::from_millis(1_000);
/// Longest rest: less than the 20 s of changes that the store keeps (users' settings).
const LONGEST: Duration = Duration::from_secs(15);

/// Who watches the store for whom.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// For the others of its zone.
    Relay,
    /// For the case that the relay fails unseen.
    Deputy,
    /// Learns from both.
    Relayed,
}

/// What the next watch waits for.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    /// Part of this entry VM.
    pub role: Role,
    /// When one that watches for this one was last heard.
    pub heard_at: Duration,
}

impl Default for Rest {
    fn default() -> Self {
        Self { role: Role::Relay, heard_at: Duration::ZERO }
    }
}

impl Rest {
    /// When a rest that began at `began` ends.
    pub fn due(&self, began: Duration) -> Duration {
        match self.role {
            Role::Relay => began + GATHER,
            Role::Deputy => began + DEPUTY_GATHER,
            Role::Relayed => {
                let silent = self.heard_at + RELAY_SILENCE;
                silent.max(began + GATHER).min(began + LONGEST)
            }
        }
    }
}
