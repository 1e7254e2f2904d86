//! Times of a generation: first event, pauses, and how long it took to go on after a loss.

use crate::routes::Route;
use std::time::Duration;

/// Times of one generation.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    began: Duration,
    sent_at: Duration,
    first_at: Option<Duration>,
    last_at: Duration,
    longest: Duration,
    lost_at: Option<Duration>,
}

impl Pauses {
    /// A generation that began at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            began: now,
            sent_at: now,
            first_at: None,
            last_at: now,
            longest: Duration::ZERO,
            lost_at: None,
        }
    }

    /// Notes that the request was sent to an engine.
    pub fn send(&mut self, now: Duration) {
        self.sent_at = now;
    }

    /// Time since the request was sent to an engine.
    pub fn since_sent(&self, now: Duration) -> Duration {
        now.saturating_sub(self.sent_at)
    }

    /// Notes that the run was lost after its last event.
    pub fn lose(&mut self) {
        self.lost_at.get_or_insert(self.last_at);
    }

    /// Notes an event; returns the time since the last event before a loss, if it was the first after.
    pub fn event(&mut self, now: Duration) -> Option<Duration> {
        if self.first_at.is_some() {
            self.longest = self.longest.max(now.saturating_sub(self.last_at));
        }
        self.first_at.get_or_insert(now);
        self.last_at = now;
        self.lost_at.take().map(|lost_at| now.saturating_sub(lost_at))
    }

    /// Time from the beginning to the first event.
    pub fn first(&self) -> Option<Duration> {
        self.first_at.map(|at| at.saturating_sub(self.began))
    }

    /// Time from the first event to the last.
    pub fn generating(&self) -> Option<Duration> {
        self.first_at.map(|at| self.last_at.saturating_sub(at))
    }

    /// Longest time between two events.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Time since the beginning.
    pub fn took(&self, now: Duration) -> Duration {
        now.saturating_sub(self.began)
    }

    /// Whether the first event or a pause took longer than the route wants.
    pub fn is_late(&self, route: &Route) -> bool {
        let objective = Duration::from_millis(route.objective_ms);
        let pause = route.pause_ms.map(Duration::from_millis);
        self.first().is_some_and(|first| !objective.is_zero() && first > objective)
            || pause.is_some_and(|pause| self.longest > pause)
    }
}
