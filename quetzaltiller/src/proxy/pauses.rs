//! Times of a generation: first event, pauses between events, and the time to resume after a loss.

use crate::routes::Route;
use std::time::Duration;

/// Times of one generation.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    began_at: Duration,
    sent_at: Duration,
    first_at: Option<Duration>,
    last_at: Duration,
    longest: Duration,
    lost_at: Option<Duration>,
}

impl Pauses {
    /// Starts the measurement of a generation that began at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            began_at: now,
            sent_at: now,
            first_at: None,
            last_at: now,
            longest: Duration::ZERO,
            lost_at: None,
        }
    }

    /// Records the time at which the request was last sent to an engine.
    pub fn record_send(&mut self, now: Duration) {
        self.sent_at = now;
    }

    /// Time since the request was last sent to an engine.
    pub fn since_sent(&self, now: Duration) -> Duration {
        now.saturating_sub(self.sent_at)
    }

    /// Records the loss of the run, dated at its last event.
    pub fn record_loss(&mut self) {
        self.lost_at.get_or_insert(self.last_at);
    }

    /// Records an event. For the first event after a loss, returns the time since the last event
    /// before that loss.
    pub fn record_event(&mut self, now: Duration) -> Option<Duration> {
        if self.first_at.is_some() {
            self.longest = self.longest.max(now.saturating_sub(self.last_at));
        }
        self.first_at.get_or_insert(now);
        self.last_at = now;
        self.lost_at.take().map(|lost_at| now.saturating_sub(lost_at))
    }

    /// Time from the start of the generation to its first event.
    pub fn first(&self) -> Option<Duration> {
        self.first_at.map(|at| at.saturating_sub(self.began_at))
    }

    /// Time from the first event to the last.
    pub fn generating(&self) -> Option<Duration> {
        self.first_at.map(|at| self.last_at.saturating_sub(at))
    }

    /// Longest time between two events.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Time since the start of the generation.
    pub fn elapsed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began_at)
    }

    /// Whether the first event or a pause took longer than the route's objectives.
    pub fn is_late(&self, route: &Route) -> bool {
        let objective = Duration::from_millis(route.objective_ms);
        let pause = route.pause_ms.map(Duration::from_millis);
        self.first().is_some_and(|first| !objective.is_zero() && first > objective)
            || pause.is_some_and(|pause| self.longest > pause)
    }
}
