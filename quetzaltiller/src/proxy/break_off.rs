//! Answers that broke off before their upstream had shown that it survives the request.
//!
//! Such an upstream is checked: only one whose process has ended may have been crashed by the
//! request. A path that is cut is no evidence.

use super::exit_check::ExitCheck;
use super::{Context, Request};
use crate::control::Subject;
use crate::fleet::Upstream;
use crate::prelude::*;

/// Maximum number of subjects in a log line.
const MAX_LOGGED: usize = 4;

/// An answer that broke off early.
pub struct BreakOff {
    /// Request that was answered.
    pub request: Arc<Request>,
    /// What a crash may be attributed to.
    pub subjects: Vec<Subject>,
    /// Upstream that answered.
    pub upstream: Arc<Upstream>,
    /// Whether the answer's head had come.
    pub has_head: bool,
    /// Time since the answer's head, or since the request was sent where none had come or the answer
    /// is read whole.
    pub age: Duration,
    /// Number of events that came.
    pub events: u32,
}

impl BreakOff {
    /// Checks the upstream in the background.
    pub fn investigate(self, context: &Context) {
        let context = context.clone();
        context.scope.clone().spawn(async move {
            let is_engine = self.request.prompt.is_some();
            let check = ExitCheck { context: &context, upstream: &self.upstream, is_engine };
            let upstream_ended = check.has_ended().await;
            self.log(upstream_ended);
            if upstream_ended {
                let start = format!("{}/{}", self.upstream.id, self.upstream.incarnation);
                // An answer that is read whole has no other sign of its beginning.
                let begun = self.has_head || !is_engine;
                context.quarantine.record_crash(self.subjects, start, begun);
            }
        });
    }

    fn log(&self, upstream_ended: bool) {
        // The request and the most specific parts of its prompt come last.
        let logged = self.subjects.iter().rev().take(MAX_LOGGED);
        let subjects: Vec<_> = logged.map(Subject::to_string).collect();
        info!("run_broke_early", kv: {
            request = self.request.id, upstream = self.upstream.id,
            has_head = self.has_head, age_ms = self.age.as_millis() as u64, events = self.events,
            upstream_ended,
            subjects = subjects.join(",")
        });
    }
}
