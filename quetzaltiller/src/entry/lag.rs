//! Whether an entry VM's upstreams lag behind those of other zones.
//!
//! Load: those that watch the store for a zone are cut off from it without a sign. The zone's others
//! then learn of leaving upstreams from far members, whose bytes are dear, so only after the time in which
//! their own zone would have told them.

use std::time::Duration;

/// Time in which the own zone tells what is new: the gathering of its relay (200 ms), a heartbeat (400 ms) and
/// the pause before a pull (250 ms).
const ZONE_TELLS: Duration = Duration::from_millis(900);

/// A revision that others have.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    awaited: Option<(u64, Duration)>,
}

impl Lag {
    /// Takes that a far member has the revision `told` where this VM has `known`; true when it should
    /// be asked.
    pub fn note(&mut self, now: Duration, told: u64, known: u64) -> bool {
        if told <= known {
            return false;
        }
        match self.awaited {
            Some((revision, since)) if known < revision => now >= since + ZONE_TELLS,
            _ => {
                self.awaited = Some((told, now));
                false
            }
        }
    }
}
