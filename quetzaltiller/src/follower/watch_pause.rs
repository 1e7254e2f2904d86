//! Pauses of an entry VM between two watches of the store's upstreams.
//!
//! Each change ends all open watches, and each watch is a call that is paid for. With over a
//! hundred entry VMs and hundreds of engines that restart, this would cost too many calls.
//! Therefore one VM of a zone (the relay) watches with short pauses and another (the deputy) with
//! longer ones. The others learn changes from them and watch only if they hear from neither.
//! Configurations are watched by all VMs: a configuration that grew by a thousand routes would
//! overload the links of the VMs that forward it.

use std::time::Duration;

/// Pause of a relay, in which changes are gathered for one watch. A tenth of the time after which a
/// leaving upstream must get no more requests (at least 2 s by the users' settings).
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Pause of a deputy, which normally learns changes from the relay. Less than the 2 s above, so
/// that a deputy meets that limit without the relay.
const DEPUTY_PAUSE: Duration = Duration::from_millis(1_500);
/// Time without contact to the relay or the deputy after which the others watch the store: two and
/// a half heartbeat periods.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum pause. Less than the 20 s for which the store keeps changes (users' settings).
const MAX_PAUSE: Duration = Duration::from_secs(15);

/// Role of an entry VM in watching the store's upstreams for its zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Watches the store with short pauses for the other entry VMs of its zone.
    Relay,
    /// Watches the store with longer pauses, in case the relay fails undetected.
    Deputy,
    /// Learns changes from the relay and the deputy; watches the store if it hears from neither.
    Relayed,
}

impl Role {
    /// Time to wait for a listing through the entry VMs that watch for the zone, after the history
    /// that this one followed has ended. Covers a heartbeat (400 ms), the delay before a pull
    /// (250 ms) and the transfer.
    pub fn listing_delay(self) -> Duration {
        match self {
            Self::Relay => Duration::ZERO,
            Self::Deputy => Duration::from_millis(900),
            Self::Relayed => Duration::from_millis(1_300),
        }
    }
}

/// Conditions that end the pause before the next watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchPause {
    /// Role of this entry VM.
    pub role: Role,
    /// Time of the last contact with a relay or deputy.
    pub relay_heard_at: Duration,
}

impl Default for WatchPause {
    fn default() -> Self {
        Self { role: Role::Relay, relay_heard_at: Duration::ZERO }
    }
}

impl WatchPause {
    /// Time at which a pause that started at `started_at` ends.
    pub fn ends_at(&self, started_at: Duration) -> Duration {
        match self.role {
            Role::Relay => started_at + MIN_PAUSE,
            Role::Deputy => started_at + DEPUTY_PAUSE,
            Role::Relayed => {
                let relay_times_out_at = self.relay_heard_at + RELAY_TIMEOUT;
                relay_times_out_at.max(started_at + MIN_PAUSE).min(started_at + MAX_PAUSE)
            }
        }
    }
}
