//! Graceful shutdown of an entry VM.
//!
//! Callers keep the address of an entry VM for a while, and their connections for longer. So the VM
//! first announces that it is leaving and continues to serve, then refuses new connections and
//! closes idle ones, and ends when no request and no connection is open. From the start it refuses
//! requests that can't finish before the process is killed; those that are open shortly before get a
//! final answer, as a connection that is cut tells a caller nothing.

use crate::clock::Clock;
use crate::local_member::LocalMember;
use crate::prelude::*;
use serde::Serialize;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Phases of the shutdown, in order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Normal operation.
    #[default]
    Serving,
    /// Reported as not ready and announced to other members; still serves, with answers that
    /// request callers to close their connections.
    Leaving,
    /// Accepts no new connections; open requests continue.
    Closing,
    /// The grace period is nearly over: requests whose answer has not begun get a refusal.
    Finishing,
    /// No request and no connection is open, or the grace period is over but for the exit.
    Ended,
}

/// Interval between checks for open requests.
const OPEN_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time reserved before the process is killed, so that it can exit by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(150);
/// Time reserved before the process exits, in which the last answers are written to callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Durations of the shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time from the signal until the process is killed.
    pub grace: Duration,
    /// Time from the signal until connections are refused; callers and peers stop using the address
    /// meanwhile.
    pub announce: Duration,
}

/// Shutdown state of the process, and which requests it still admits.
#[derive(Clone, Debug)]
pub struct Drain {
    clock: Clock,
    timing: watch::Sender<Timing>,
    phase: watch::Sender<Phase>,
    leaving_since: watch::Sender<Option<Duration>>,
    /// Callers' connections, on which a request may be read or an answer written.
    connections: TaskTracker,
}

impl Drain {
    /// Creates the state of an entry VM that is serving.
    pub fn new(clock: Clock, timing: Timing) -> Self {
        let (phase, leaving_since) = (watch::Sender::default(), watch::Sender::default());
        let (timing, connections) = (watch::Sender::new(timing), TaskTracker::new());
        Self { clock, timing, phase, leaving_since, connections }
    }

    /// Changes the time from the signal until the process is killed.
    pub fn set_grace(&self, grace: Duration) {
        self.timing.send_modify(|timing| timing.grace = grace);
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the shutdown has reached the phase `wanted` or a later one.
    pub async fn wait_for_phase(&self, wanted: Phase) {
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= wanted).await;
    }

    /// Registers a caller's connection as open until the result is dropped.
    pub fn open_connection(&self) -> TaskTrackerToken {
        self.connections.token()
    }

    /// Whether a request that is expected to take `expected` can end before the process is killed.
    /// None can once the process ends.
    pub fn admits(&self, expected: Duration) -> bool {
        let leaving_since = *self.leaving_since.borrow();
        leaving_since.is_none_or(|leaving_since| {
            let end = leaving_since + self.timing.borrow().grace;
            self.phase() < Phase::Finishing
                && self.clock.now() + expected + ANSWER_MARGIN + EXIT_MARGIN <= end
        })
    }

    /// Shuts down; returns when no request and no connection is open or the grace period is nearly
    /// over.
    pub async fn run(&self, local: &LocalMember) {
        let leaving_since = self.clock.now();
        let timing = *self.timing.borrow();
        self.leaving_since.send_replace(Some(leaving_since));
        local.leave();
        self.enter(Phase::Leaving, local);
        let end = (leaving_since + timing.grace).saturating_sub(EXIT_MARGIN);
        let finish_at = end.saturating_sub(ANSWER_MARGIN);
        self.clock.sleep_until((leaving_since + timing.announce).min(finish_at)).await;
        self.enter(Phase::Closing, local);
        if !self.all_end_by(finish_at, local).await {
            self.enter(Phase::Finishing, local);
            self.all_end_by(end, local).await;
        }
        for request in local.open_requests() {
            warn!("request_cut", kv: { request, reason = "the process ends" });
        }
        self.enter(Phase::Ended, local);
    }

    /// Waits until no request and no connection is open, at most until `end`; returns whether none
    /// is.
    async fn all_end_by(&self, end: Duration, local: &LocalMember) -> bool {
        let is_idle = || local.open() == 0 && self.connections.is_empty();
        while !is_idle() && self.clock.now() < end {
            tokio::time::sleep(OPEN_CHECK_INTERVAL).await;
        }
        is_idle()
    }

    fn enter(&self, phase: Phase, local: &LocalMember) {
        let connections = self.connections.len();
        info!("leaving", kv: { phase:? = phase, open = local.open(), connections });
        self.phase.send_replace(phase);
    }
}
