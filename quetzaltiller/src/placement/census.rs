//! What a refusal for want of room was decided on, for the log.

use super::demand::Run;
use super::engines::memory_limit;
use super::state::State;
use crate::routes;
use std::fmt;
use std::time::Duration;

/// Engines of a service by why they can't take a run, and how old the knowledge is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Census {
    /// Engines that are listed and not leaving.
    pub listed: usize,
    /// Those that turned this VM away.
    pub closed: usize,
    /// Those that failed lately or are lost.
    pub suspect: usize,
    /// Those whose places are all taken.
    pub without_slot: usize,
    /// Those whose memory has no room.
    pub without_room: usize,
    /// Runs there.
    pub runs: u32,
    /// Age of the oldest report that was used.
    pub oldest_report: Duration,
}

impl Census {
    /// Counts `engines` for `run`.
    pub fn new<'a>(
        now: Duration,
        engines: impl Iterator<Item = &'a State>,
        run: &Run,
        engine: Option<&routes::Engine>,
    ) -> Self {
        let limit = memory_limit(engine);
        let mut census = Self::default();
        for state in engines {
            census.listed += 1;
            census.runs += state.total_in_flight(now);
            if state.is_closed(now) {
                census.closed += 1;
            } else if state.is_suspect(now) {
                census.suspect += 1;
            } else if !state.has_slot(now) {
                census.without_slot += 1;
            } else if !state.has_room(now, run.footprint, limit) {
                census.without_room += 1;
            }
            let age = state.report_age(now).unwrap_or_default();
            census.oldest_report = census.oldest_report.max(age);
        }
        census
    }
}

impl fmt::Display for Census {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { listed, closed, suspect, without_slot, without_room, runs, oldest_report } =
            self;
        write!(
            f,
            "listed={listed} closed={closed} suspect={suspect} without_slot={without_slot} \
             without_room={without_room} runs={runs} oldest_report_ms={}",
            oldest_report.as_millis()
        )
    }
}
