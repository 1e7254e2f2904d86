//! Trouble of the connections that carry the watches of one kind.

use super::ControlStore;
use std::time::Duration;
use tokio::time::Instant;

/// Kind of objects that a watch follows.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// The configuration.
    Configuration,
    /// The upstreams.
    Upstreams,
    /// The quarantine records.
    Quarantine,
}

/// Trouble of the connections that carry the watches of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    /// Time until which watches that begin are never answered, as are those that wait.
    pub silent_until: Instant,
    /// Whether the watches that wait fail instead.
    pub resets: bool,
    /// Number of troubles of the kind so far.
    pub number: u64,
}

impl ControlStore {
    /// Lets all watches of a kind that wait now go unanswered, although the store answers all other
    /// calls: their connections have fallen silent for good.
    pub fn silence_watches(&self, kind: Kind) {
        self.trouble(kind, Duration::ZERO, false);
    }

    /// Resets the connections of all watches of a kind that wait now. Watches of the kind that begin
    /// within `lasts` are never answered.
    pub fn reset_watches(&self, kind: Kind, lasts: Duration) {
        self.trouble(kind, lasts, true);
    }

    fn trouble(&self, kind: Kind, lasts: Duration, resets: bool) {
        let silent_until = Instant::now() + lasts;
        let mut state = self.lock();
        let number = state.troubles.get(&kind).map_or(0, |trouble| trouble.number) + 1;
        state.troubles.insert(kind, Trouble { silent_until, resets, number });
        drop(state);
        self.revision.send_modify(|_| {});
    }

    pub(super) fn trouble_of(&self, kind: Kind) -> Option<Trouble> {
        self.lock().troubles.get(&kind).copied()
    }
}
