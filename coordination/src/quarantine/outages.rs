//! Engines that ended lately while a run began, under whatever part.
//!
//! Where many engines end of another cause, each part was present at few of these ends.

use super::Record;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which the end of an engine counts.
const LIFETIME: Duration = Duration::from_secs(2);
/// Engines that are remembered.
const MAX_ENGINES: usize = 1_024;

/// Engines that ended lately while a run began, under whatever part.
#[derive(Clone, Debug, Default)]
pub(super) struct Outages {
    /// Times at which this VM learned of them.
    learned_at: BTreeMap<String, Duration>,
}

impl Outages {
    /// Adds an engine, if there is room.
    pub(super) fn record(&mut self, now: Duration, engine: &str) {
        if self.learned_at.contains_key(engine) {
            return;
        }
        if self.learned_at.len() >= MAX_ENGINES {
            self.learned_at.retain(|_, at| is_recent(now, *at));
        }
        if self.learned_at.len() < MAX_ENGINES {
            self.learned_at.insert(engine.to_owned(), now);
        }
    }

    /// Whether two thirds of these engines ended under the part of a record.
    pub(super) fn are_focused(&self, now: Duration, record: &Record) -> bool {
        let recent = self.learned_at.iter().filter(|(_, at)| is_recent(now, **at));
        let (own, all) = recent.fold((0, 0), |(own, all), (engine, _)| {
            (own + usize::from(record.has_crash(engine)), all + 1)
        });
        3 * own >= 2 * all
    }
}

fn is_recent(now: Duration, at: Duration) -> bool {
    now.saturating_sub(at) < LIFETIME
}
