//! How an entry VM leaves.
//!
//! Callers keep its address for a while and their connections longer. So it first tells everyone
//! that it is leaving and serves on, then refuses connections and closes idle ones, and ends when
//! nothing is open. What can't be finished before it is killed is refused from the start.

use crate::clock::Clock;
use crate::local_member::LocalMember;
use crate::prelude::*;
use serde::Serialize;
use tokio::sync::watch;

/// Steps of leaving, in order.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Serves.
    #[default]
    Serving,
    /// Not ready, told to others; serves on and asks callers to close connections.
    Leaving,
    /// Accepts no connections; open requests go on.
    Closing,
    /// Nothing is open, or the time is over.
    Ended,
}

/// Time between looks at what is open.
const CHECK: Duration = Duration::from_millis(25);
/// Kept back before the process is killed, to end by itself.
const MARGIN: Duration = Duration::from_millis(150);

/// Times of leaving.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// From the signal until the process is killed.
    pub grace: Duration,
    /// From the signal until connections are refused: others stop using the address meanwhile.
    pub announce: Duration,
}

/// What may still be begun.
#[derive(Clone, Debug)]
pub struct Drain {
    clock: Clock,
    timing: watch::Sender<Timing>,
    phase: watch::Sender<Phase>,
    began: watch::Sender<Option<Duration>>,
}

impl Drain {
    /// An entry VM that serves.
    pub fn new(clock: Clock, timing: Timing) -> Self {
        let (phase, began) = (watch::Sender::default(), watch::Sender::default());
        Self { clock, timing: watch::Sender::new(timing), phase, began }
    }

    /// Changes the time from the signal until the process is killed.
    pub fn set_grace(&self, grace: Duration) {
        self.timing.send_modify(|timing| timing.grace = grace);
    }

    /// Step.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits for a step.
    pub async fn wait_for_phase(&self, wanted: Phase) {
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= wanted).await;
    }

    /// Whether a request that lasts so long can end before the process is killed.
    pub fn admits(&self, expected: Duration) -> bool {
        let began = *self.began.borrow();
        began.is_none_or(|began| {
            self.clock.now() + expected + MARGIN < began + self.timing.borrow().grace
        })
    }

    /// Leaves; returns when nothing is open or the time is over.
    pub async fn run(&self, local: &LocalMember) {
        let began = self.clock.now();
        let timing = *self.timing.borrow();
        self.began.send_replace(Some(began));
        local.leave();
        self.enter(Phase::Leaving, local);
        self.clock.sleep_until(began + timing.announce).await;
        self.enter(Phase::Closing, local);
        let end = (began + timing.grace).saturating_sub(MARGIN);
        while local.open() > 0 && self.clock.now() < end {
            tokio::time::sleep(CHECK).await;
        }
        for request in local.open_requests() {
            warn!("request_cut", kv: { request, reason = "the process ends" });
        }
        self.enter(Phase::Ended, local);
    }

    fn enter(&self, phase: Phase, local: &LocalMember) {
        info!("leaving", kv: { phase:? = phase, open = local.open() });
        self.phase.send_replace(phase);
    }
}
