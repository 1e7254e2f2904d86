//! Observes whether engines survive the beginning of a generation's runs.
//!
//! An engine that a prompt crashes ends right before or after the head of its answer. A run has
//! settled once more events than it can send until then have arrived, some time after the head: a
//! delayed connection may deliver the first ones long after the engine's end. Where a run breaks
//! before, its engine is checked: only one that has ended may have been crashed by the run. A run
//! without a head may also have waited for its turn; the quarantine tells such runs apart by what
//! their crashes have in common.

use super::break_off::BreakOff;
use super::{Context, Plan, Request};
use crate::engine;
use crate::fleet::Upstream;
use crate::prelude::*;

/// Time after the head of an answer from which an event shows that the engine survives the run.
const SETTLING_TIME: Duration = Duration::from_millis(300);
/// Number of events from which a run has settled: more than an engine sends in a tenth of a second.
const SETTLING_EVENTS: u32 = 8;

/// A run that has not settled.
struct Unsettled {
    conn: u32,
    upstream: Arc<Upstream>,
    sent_at: Duration,
    head_at: Option<Duration>,
    events: u32,
}

/// Observer of the runs of one generation.
pub struct Beginning {
    context: Context,
    request: Arc<Request>,
    plan: Arc<Plan>,
    unsettled: Option<Unsettled>,
}

impl Beginning {
    /// Creates the observer of the runs of `request`.
    pub fn new(context: Context, request: Arc<Request>, plan: Arc<Plan>) -> Self {
        Self { context, request, plan, unsettled: None }
    }

    /// Records that a run was sent to `upstream` on the connection `conn`.
    pub fn record_send(&mut self, conn: u32, upstream: Arc<Upstream>) {
        let sent_at = self.context.clock.now();
        self.unsettled = Some(Unsettled { conn, upstream, sent_at, head_at: None, events: 0 });
    }

    /// Records the head of an answer on the connection `conn`.
    pub fn record_head(&mut self, conn: u32) {
        let now = self.context.clock.now();
        if let Some(run) = self.unsettled.as_mut().filter(|run| run.conn == conn) {
            run.head_at = Some(now);
        }
    }

    /// Records an event on the connection `conn`.
    pub fn record_event(&mut self, conn: u32) {
        let now = self.context.clock.now();
        let Some(run) = self.unsettled.as_mut().filter(|run| run.conn == conn) else {
            return;
        };
        run.events += 1;
        let head_at = run.head_at.unwrap_or(now);
        if run.events >= SETTLING_EVENTS && now >= head_at + SETTLING_TIME {
            self.unsettled = None;
            self.context.quarantine.record_settled(self.plan.parts(&self.request));
        }
    }

    /// Records the regular end of the connection `conn`; without any event the answer was cut off.
    pub fn record_end(&mut self, conn: u32) {
        if self.unsettled.as_ref().is_some_and(|run| run.events == 0) {
            self.record_break(conn);
        }
    }

    /// Records that the connection `conn` failed.
    pub fn record_failure(&mut self, conn: u32, error: &engine::Error) {
        match error {
            engine::Error::Busy | engine::Error::Refused => self.record_rejection(conn),
            _ => self.record_break(conn),
        }
    }

    /// Records that the run on the connection `conn` was not begun or was answered with an error.
    pub fn record_rejection(&mut self, conn: u32) {
        self.unsettled.take_if(|run| run.conn == conn);
    }

    /// Records that the engine `id` is given up, which may close a connection that has broken before
    /// the break is noticed.
    pub fn record_loss(&mut self, id: &str) {
        if let Some(run) = self.unsettled.as_ref().filter(|run| run.upstream.id == id) {
            self.record_break(run.conn);
        }
    }

    /// Checks the engine of a run that had not settled when its connection `conn` broke.
    fn record_break(&mut self, conn: u32) {
        let Some(run) = self.unsettled.take_if(|run| run.conn == conn) else {
            return;
        };
        let began_at = run.head_at.unwrap_or(run.sent_at);
        let age = self.context.clock.now().saturating_sub(began_at);
        let break_off = BreakOff {
            request: self.request.clone(),
            subjects: self.plan.subjects(&self.request),
            upstream: run.upstream,
            has_head: run.head_at.is_some(),
            age,
            events: run.events,
        };
        break_off.investigate(&self.context);
    }
}
