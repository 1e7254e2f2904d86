//! Detects that an entry VM's upstreams lag behind those of other zones.
//!
//! This happens when the entry VMs that watch the store for a zone are cut off from it without an
//! error. The others of the zone then learn of leaving upstreams from far members. Bytes between
//! zones are expensive, so they pull only after the time in which their own zone would have
//! delivered the update.

use crate::control::Version;
use std::time::Duration;

/// Maximum time in which the own zone delivers an update: the batching of its relay (200 ms), a
/// heartbeat (400 ms) and the delay before a pull (250 ms).
const ZONE_RELAY_LIMIT: Duration = Duration::from_millis(900);

/// Newer version of another zone that this entry VM waits for, and since when.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    awaited: Option<(Version, Duration)>,
}

impl Lag {
    /// Records at `now` the version of a far member and that of this entry VM; returns whether to
    /// pull from the member.
    pub fn record_version(&mut self, now: Duration, remote: Version, own: Version) -> bool {
        if remote <= own {
            return false;
        }
        match self.awaited {
            Some((version, since)) if own < version => now >= since + ZONE_RELAY_LIMIT,
            _ => {
                self.awaited = Some((remote, now));
                false
            }
        }
    }
}
