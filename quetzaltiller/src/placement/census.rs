//! Summary of the engines when a run is refused because they are full, for the log.

use super::demand::Run;
use super::engines::memory_limit;
use super::state::State;
use crate::routes;
use std::fmt;
use std::time::Duration;

/// Numbers of a service's engines by the reason why they can't take a run, and the age of the
/// reports.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Census {
    /// Engines that are listed and not leaving.
    pub listed: usize,
    /// Engines that accept no requests from this entry VM.
    pub closed: usize,
    /// Engines that failed recently or are lost, and are not counted as closed.
    pub suspect: usize,
    /// Engines without a free slot, of the remaining ones.
    pub without_slot: usize,
    /// Engines without room in memory for the run, of the remaining ones.
    pub without_room: usize,
    /// Requests at all listed engines.
    pub runs: u32,
    /// Age of the oldest report among the last ones of the engines.
    pub oldest_report: Duration,
}

impl Census {
    /// Counts `engines` by the reason why they can't take `run`; `engine` has their configured
    /// properties.
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
