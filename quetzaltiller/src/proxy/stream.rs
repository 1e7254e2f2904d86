//! Serves generations and resumes them on another engine when one is lost.
//!
//! The task owns the generation's [`Machine`], performs its effects and forwards each event that
//! the machine admits, with its bytes unchanged. The caller gets the status and headers of the
//! engine that sent the first event. A stream that can't be resumed is cut off, so that it does not
//! look complete.

use super::beginning::Beginning;
use super::caller::Caller;
use super::copies::{Copies, CopyResult};
use super::event::Event;
use super::machine_settings::machine_settings;
use super::pauses::Pauses;
use super::placing::{Attempts, Failure, Need, PlacementResult, Placing};
use super::reader::{Notice, Reader};
use super::reply::{Chunk, Reply};
use super::{Answer, CHECK_LIMIT, Context, Plan, Request};
use crate::control::Subject;
use crate::drain::Phase;
use crate::engine;
use crate::fleet::Upstream;
use crate::generation::{
    Answer as _, Effect, Input, Machine, Opening, Outcome, Piece, Place, Sequence, Start,
};
use crate::local_member::OpenRequest;
use crate::metrics::{Counter, Latency};
use crate::placement::{Placement, Speed};
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// Maximum number of notices queued for the task; readers wait when the queue is full.
const NOTICE_QUEUE: usize = 32;
/// Default retry delay in refusals, where placement gives no estimate: about half the prefill of
/// a prompt.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Minimum interval between reports to the placer that a stream delivers events.
const ACTIVITY_PERIOD: Duration = Duration::from_millis(100);
/// Urgency of resumed runs; lower values go first.
const RESUMED_URGENCY: u8 = 1;
/// Urgency of new runs of priority 0; the priority is added to it.
const NEW_URGENCY: u8 = 4;
/// Highest urgency value that is sent.
const MAX_URGENCY: u8 = 9;

/// Starts the task of a generation and returns its reply once the reply or its stream begins.
pub async fn run(
    context: Context,
    request: Arc<Request>,
    plan: Plan,
    open_request: OpenRequest,
) -> Reply {
    let (reply, answer) = oneshot::channel();
    let scope = context.scope.clone();
    let (task, effects, inbox) = Task::new(context, request, plan, open_request, reply);
    scope.spawn(task.run(effects, inbox));
    answer.await.unwrap_or_else(|_| {
        Reply::Refused(Refusal::new(Code::UpstreamFailed, Ran::Unknown, "the process is ending"))
    })
}

/// Receivers of the results and notices that the task waits for.
struct Inbox {
    notices: mpsc::Receiver<Notice>,
    placements: mpsc::UnboundedReceiver<PlacementResult>,
    copy_results: mpsc::UnboundedReceiver<CopyResult>,
}

/// An open connection to an engine.
struct OpenReader {
    task: AbortHandle,
    /// Time before the request was sent, on the clock that includes suspensions.
    asked_at: Duration,
}

/// Serves one generation.
struct Task {
    context: Context,
    request: Arc<Request>,
    plan: Arc<Plan>,
    machine: Machine<Sequence>,
    /// Time between the start of the task and the request's deadline.
    time_limit: Duration,
    caller: Caller,
    /// Last error answer of an engine, for the caller if the generation fails.
    error_answer: Option<Answer>,
    /// Placements of the current run, by upstream.
    placements: BTreeMap<String, Placement>,
    copies: Copies,
    /// Open connections by number.
    readers: BTreeMap<u32, OpenReader>,
    /// Number of requests that engines received or may have received.
    sent: u32,
    /// Engines to which these requests were sent and that did not turn them away.
    tried: Vec<String>,
    /// Engines whose connections to a run broke, and those of them that have ended.
    broken: BTreeSet<String>,
    ended: BTreeSet<String>,
    /// Connection of the newest run; connections of checks don't count.
    run_conn: Option<u32>,
    beginning: Beginning,
    /// Number of events sent to the caller.
    events: u32,
    pauses: Pauses,
    activity_reported_at: Duration,
    retry_after: Duration,
    outcome: Option<Outcome>,
    placing: Placing,
    notices: mpsc::Sender<Notice>,
    _open_request: OpenRequest,
}

impl Task {
    fn new(
        context: Context,
        request: Arc<Request>,
        plan: Plan,
        open_request: OpenRequest,
        reply: oneshot::Sender<Reply>,
    ) -> (Self, Vec<Effect>, Inbox) {
        let now = context.clock.now();
        let time_limit = plan.deadline.saturating_sub(now);
        let settings = machine_settings(&request, &plan, time_limit, Speed::default());
        let next = request.last_event.map(|last| last as u32 + 1);
        let (machine, effects) = Machine::new(now, Sequence::new(next), settings, Start::Fresh);
        let plan = Arc::new(plan);
        let (placing, placements) = Placing::new(context.clone(), request.clone(), plan.clone());
        let (copies, copy_results) = Copies::new(&request.id);
        let (notices, received) = mpsc::channel(NOTICE_QUEUE);
        let inbox = Inbox { notices: received, placements, copy_results };
        let beginning = Beginning::new(context.clone(), request.clone(), plan.clone());
        let task = Self {
            context,
            request,
            plan,
            machine,
            time_limit,
            caller: Caller::new(reply),
            error_answer: None,
            placements: BTreeMap::new(),
            copies,
            readers: BTreeMap::new(),
            sent: 0,
            tried: Vec::new(),
            broken: BTreeSet::new(),
            ended: BTreeSet::new(),
            run_conn: None,
            beginning,
            events: 0,
            pauses: Pauses::new(now),
            activity_reported_at: Duration::ZERO,
            retry_after: RETRY_AFTER,
            outcome: None,
            placing,
            notices,
            _open_request: open_request,
        };
        (task, effects, inbox)
    }

    async fn run(mut self, effects: Vec<Effect>, mut inbox: Inbox) {
        let mut withdrawn = self.context.placer.withdrawn();
        withdrawn.mark_unchanged();
        let mut verdicts = self.context.quarantine.verdicts();
        verdicts.mark_unchanged();
        let drain = self.context.drain.clone();
        self.perform(effects);
        while self.outcome.is_none() {
            let clock = self.context.clock;
            let wake = self.machine.wake_at();
            let deadline = self.plan.deadline;
            let renewal = self.copies.renew_at();
            tokio::select! {
                biased;
                Some(result) = inbox.placements.recv() => self.handle_placement(result),
                Some(notice) = inbox.notices.recv() => self.handle_notice(notice).await,
                Some(result) = inbox.copy_results.recv() => self.handle_copy(result),
                Ok(()) = withdrawn.changed() => {
                    let withdrawn = withdrawn.borrow_and_update().clone();
                    for id in withdrawn.iter() {
                        self.beginning.record_loss(id);
                        self.advance(Input::EngineLost(id.clone()));
                    }
                }
                Ok(()) = verdicts.changed() => self.handle_verdicts(),
                () = self.caller.disconnected() => self.handle_disconnect(),
                () = clock.sleep_until(deadline) => self.handle_timeout(),
                () = drain.wait_for_phase(Phase::Finishing), if self.events == 0 => {
                    self.handle_exit();
                }
                () = clock.sleep_until(renewal.unwrap_or_default()), if renewal.is_some() => {
                    self.renew_copy();
                }
                () = clock.sleep_until(wake.unwrap_or_default()), if wake.is_some() => {
                    self.advance(Input::Tick);
                }
            }
        }
        self.end().await;
    }

    fn advance(&mut self, input: Input<Piece>) {
        let before = self.machine.stats();
        let effects = self.machine.advance(self.context.clock.now(), input);
        let after = self.machine.stats();
        let metrics = &self.context.metrics;
        metrics.add(Counter::Redispatched, u64::from(after.redispatched - before.redispatched));
        let false_suspicions = after.false_suspicions - before.false_suspicions;
        metrics.add(Counter::FalseSuspicion, u64::from(false_suspicions));
        self.perform(effects);
        self.release_unused_copies();
    }

    /// Releases copies that the run can't be resumed from any more.
    fn release_unused_copies(&mut self) {
        let machine = &self.machine;
        self.copies.retain(&self.context, |engine| machine.uses_engine(engine));
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Place { avoid, copy, cached, resumed } => {
                    self.place(avoid, copy, cached, resumed);
                }
                Effect::Open { conn, opening, upstream } => self.open(conn, opening, &upstream),
                Effect::Close(conn) => {
                    if let Some(reader) = self.readers.remove(&conn) {
                        reader.task.abort();
                    }
                }
                Effect::Copy => self.copy(),
                // An engine drops a run when its connection closes.
                Effect::Cancel { .. } => {}
                Effect::Finish(outcome) => self.outcome = Some(outcome),
            }
        }
    }

    fn place(
        &mut self,
        avoid: Vec<String>,
        copy: Option<String>,
        cached: Option<String>,
        resumed: bool,
    ) {
        if self.end_if_quarantined() {
            return;
        }
        if resumed {
            self.pauses.record_loss();
            info!("generation_moves", kv: {
                request = self.request.id, copy:? = copy, cached:? = cached,
                next = self.machine.splice().next(), sent = self.sent,
                silent_ms = self.machine.silence(self.context.clock.now()).as_millis() as u64
            });
        }
        self.drop_unused_placements();
        let connected = self.machine.upstream().is_some();
        let need = Need { avoid, copy, cached, resumed, connected };
        let attempts = self.attempts();
        self.placing.request(need, attempts);
    }

    /// Releases the placements of engines that don't run the generation.
    fn drop_unused_placements(&mut self) {
        let upstream = self.machine.upstream();
        self.placements.retain(|id, _| Some(id.as_str()) == upstream);
    }

    /// Runs so far. Once the answer has begun, those at engines that have ended don't count: the
    /// caller can't be refused any more.
    fn attempts(&mut self) -> Attempts {
        let lost = self.context.placer.lost().borrow().clone();
        self.ended.extend(self.broken.iter().filter(|id| lost.contains(id)).cloned());
        let remaining = self.tried.iter().filter(|id| !self.ended.contains(*id)).count() as u32;
        let counted = if self.events > 0 { remaining } else { self.sent };
        Attempts { sent: self.sent, counted }
    }

    fn copy(&mut self) {
        if let Some(primary) = self.primary() {
            let demand = self.placing.demand(Need { resumed: true, ..Need::default() });
            self.copies.request(&self.context, demand, primary);
        }
    }

    fn renew_copy(&mut self) {
        let primary = self.primary();
        self.copies.renew(&self.context, primary.as_deref(), self.machine.copy());
    }

    /// Engine that runs the generation.
    fn primary(&self) -> Option<Arc<Upstream>> {
        let placement = self.placements.get(self.machine.upstream()?)?;
        Some(placement.upstream.clone())
    }

    fn handle_copy(&mut self, result: CopyResult) {
        if self.machine.upstream() == Some(&result.primary) {
            let holder = self.copies.accept(&self.context, result);
            self.advance(Input::Copied(holder));
        } else {
            result.discard(&self.context);
        }
    }

    /// Ends a generation whose prompt has meanwhile been found to crash engines; returns whether
    /// it has.
    fn end_if_quarantined(&mut self) -> bool {
        let is_quarantined = self.context.is_quarantined(&self.request, &self.plan);
        if is_quarantined {
            self.retry_after = Duration::from_millis(Code::Quarantined.retry_after_ms());
            self.advance(Input::Exhausted(Code::Quarantined));
        }
        is_quarantined
    }

    /// Ends a run without an event once its request is condemned, before it crashes its engine.
    fn handle_verdicts(&mut self) {
        let may_crash = self.events == 0 && self.context.quarantine.has_condemned();
        let subjects = || self.plan.subjects(&self.request);
        if may_crash
            && self.context.quarantine.refused(&subjects()).is_some_and(Subject::is_request)
        {
            info!("run_quarantined", kv: { request = self.request.id, sent = self.sent });
            self.retry_after = Duration::from_millis(Code::Quarantined.retry_after_ms());
            self.abort_readers();
            self.outcome = Some(Outcome::Failed(Code::Quarantined));
        }
    }

    fn handle_placement(&mut self, result: PlacementResult) {
        if result.is_ok() && self.end_if_quarantined() {
            return;
        }
        match result {
            Err(failure) => {
                let now = self.context.clock.now();
                info!("generation_unplaced", kv: {
                    request = self.request.id, reason:? = failure, sent = self.sent,
                    attempts = self.plan.route.attempts, events = self.events,
                    silent_ms = self.machine.silence(now).as_millis() as u64,
                    left_ms = self.plan.deadline.saturating_sub(now).as_millis() as u64
                });
                self.retry_after = failure.retry_after();
                let code = failure.code();
                self.advance(match failure {
                    Failure::AttemptsUsedUp => Input::Exhausted(code),
                    Failure::BudgetUsedUp | Failure::Unplaced(_) => Input::Unplaced(code),
                });
            }
            Ok(placement) if self.would_outlive_process(&placement) => {
                self.retry_after = Duration::from_millis(Code::Leaving.retry_after_ms());
                self.advance(Input::Unplaced(Code::Leaving));
            }
            Ok(placement) => {
                let id = placement.upstream.id.clone();
                let place = Place {
                    upstream: id.clone(),
                    version: String::new(),
                    has_copy: placement.has_copy,
                    backup: placement.backup.as_ref().map(|backup| backup.id.clone()),
                };
                info!("generation_placed", kv: {
                    request = self.request.id, upstream = id, zone = placement.upstream.zone,
                    backup:? = place.backup, restores = place.has_copy,
                    expected_ms = placement.wait.as_millis() as u64
                });
                let backup = placement.backup.clone();
                let settings =
                    machine_settings(&self.request, &self.plan, self.time_limit, placement.speed);
                self.machine.configure(settings);
                self.placements.insert(id.clone(), placement);
                self.advance(Input::Placed(place));
                if self.machine.upstream() == Some(&id) {
                    backup.iter().for_each(|backup| self.copies.record_backup(backup));
                } else {
                    info!("placement_unused", kv: { request = self.request.id, upstream = id });
                    self.placing.refund();
                }
                self.drop_unused_placements();
            }
        }
    }

    /// Whether this process is leaving and would end before a run that has not begun.
    fn would_outlive_process(&self, placement: &Placement) -> bool {
        let is_new = self.sent == 0 && self.events == 0;
        is_new && !self.context.drain.admits(placement.wait + placement.speed.run())
    }

    fn open(&mut self, conn: u32, opening: Opening, upstream: &str) {
        let Some(placement) = self.placements.get(upstream) else {
            return;
        };
        let is_check = matches!(opening, Opening::Check | Opening::Inspect);
        let reader = Reader {
            conn,
            client: self.context.client.clone(),
            upstream: placement.upstream.clone(),
            backup: placement.backup.clone(),
            copy: if opening == Opening::Restore {
                self.copies.take_for_restore(upstream)
            } else {
                None
            },
            last_event: self.last_event(),
            streaming: self.machine.is_streaming(),
            urgency: self.urgency(),
            deadline: self.plan.deadline.saturating_sub(self.context.clock.now()),
            request: self.request.clone(),
            plan: self.plan.clone(),
            notices: self.notices.clone(),
        };
        if !is_check {
            self.sent += 1;
            self.tried.push(upstream.to_owned());
            self.run_conn = Some(conn);
            self.beginning.record_send(conn, placement.upstream.clone());
            self.pauses.record_send(self.context.clock.now());
        }
        let task = async move {
            match opening {
                Opening::Check => reader.check(CHECK_LIMIT).await,
                Opening::Inspect => reader.inspect(CHECK_LIMIT).await,
                _ => reader.run().await,
            }
        };
        let asked_at = self.context.clock.uptime();
        let task = tokio::spawn(task).abort_handle();
        self.readers.insert(conn, OpenReader { task, asked_at });
    }

    fn last_event(&self) -> Option<u64> {
        if self.events == 0 {
            return self.request.last_event;
        }
        Some(u64::from(self.machine.splice().next()) - 1)
    }

    fn urgency(&self) -> u8 {
        if self.sent > 0 || self.request.last_event.is_some() {
            return RESUMED_URGENCY;
        }
        NEW_URGENCY.saturating_add(self.plan.priority).min(MAX_URGENCY)
    }

    async fn handle_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Opened(conn, head) => {
                if self.events == 0 {
                    self.caller.set_head(head);
                }
                self.beginning.record_head(conn);
                self.advance(Input::Opened(conn));
            }
            Notice::Alive(conn) => self.advance(Input::Opened(conn)),
            Notice::Event(conn, event) => {
                self.beginning.record_event(conn);
                self.handle_event(conn, event).await;
            }
            Notice::Ended(conn) => {
                self.beginning.record_end(conn);
                self.advance(Input::Chunk(conn, Piece::End));
            }
            Notice::Answered(conn, answer) => {
                self.beginning.record_rejection(conn);
                // An engine that rejects the rest of a stream that another began is at fault itself.
                let is_final = answer.status.is_client_error() && self.events == 0;
                self.error_answer = Some(answer);
                let error = if is_final {
                    engine::Error::Rejected(String::new())
                } else {
                    engine::Error::Reset
                };
                self.handle_failure(conn, error);
            }
            // The request reached an upstream, so its repeat stays withdrawn from the budget.
            Notice::Misdirected(conn) => self.handle_failure(conn, engine::Error::Refused),
            Notice::Failed(conn, error) => {
                let unsent = error == engine::Error::Refused && self.run_conn == Some(conn);
                let is_repeat = self.sent > 1;
                self.handle_failure(conn, error);
                if unsent && is_repeat {
                    self.placing.refund();
                }
            }
        }
    }

    fn handle_failure(&mut self, conn: u32, error: engine::Error) {
        let Some(upstream) = self.machine.upstream().map(str::to_owned) else {
            return;
        };
        if !self.readers.contains_key(&conn) {
            return;
        }
        info!("engine_failed", kv: {
            request = self.request.id, upstream, conn, reason:? = error.to_string(),
            silent_ms = self.machine.silence(self.context.clock.now()).as_millis() as u64
        });
        self.beginning.record_failure(conn, &error);
        match error {
            // The engine has no such copy or no free slot; it did not fail.
            engine::Error::Busy => self.tried.retain(|tried| *tried != upstream),
            engine::Error::Refused => {
                if self.broken.contains(&upstream) {
                    self.ended.insert(upstream.clone());
                }
                self.context.placer.record_unreachable(&upstream);
            }
            _ => {
                self.broken.insert(upstream.clone());
                self.context.placer.record_disconnect(&upstream);
            }
        }
        if error == engine::Error::Refused && self.run_conn == Some(conn) {
            self.run_conn = None;
            self.sent = self.sent.saturating_sub(1);
            self.tried.pop();
        }
        self.advance(Input::Failed(conn, error));
    }

    async fn handle_event(&mut self, conn: u32, event: Event) {
        let before = self.machine.splice().next();
        let Some(number) = event.number else {
            self.handle_failure(conn, engine::Error::Protocol("event without a number".into()));
            return;
        };
        let has_begun = self.events > 0;
        self.advance(Input::Chunk(conn, Piece::Numbered(number)));
        let admitted = self.machine.splice().next() > before || !has_begun && number == 0;
        if !admitted || !self.readers.contains_key(&conn) {
            return;
        }
        self.events += 1;
        self.record_pause();
        if !has_begun {
            self.record_first_event(conn);
        }
        self.send(Chunk::Events(event.bytes)).await;
        if self.caller.is_closed() && self.outcome.is_none() {
            self.handle_disconnect();
        }
    }

    fn record_first_event(&self, conn: u32) {
        let (Some(upstream), Some(reader)) = (self.machine.upstream(), self.readers.get(&conn))
        else {
            return;
        };
        self.context.placer.record_success(upstream, reader.asked_at);
        let uncontended =
            self.placements.get(upstream).is_some_and(|p| p.uncontended && !p.has_copy);
        if uncontended && let Some(prompt) = &self.request.prompt {
            let took = self.pauses.since_sent(self.context.clock.now());
            self.context.placer.record_prefill(prompt.tokens, took);
        }
    }

    fn record_pause(&mut self) {
        let now = self.context.clock.now();
        if let Some(resumed) = self.pauses.record_event(now) {
            self.context.metrics.record(Latency::Resume, resumed);
        }
        if now >= self.activity_reported_at + ACTIVITY_PERIOD
            && let Some(upstream) = self.machine.upstream()
        {
            self.activity_reported_at = now;
            self.context.placer.record_event(upstream);
        }
    }

    async fn send(&mut self, chunk: Chunk) {
        let left = self.plan.deadline.saturating_sub(self.context.clock.now());
        self.caller.send(chunk, left).await;
    }

    fn handle_disconnect(&mut self) {
        info!("caller_left", kv: {
            request = self.request.id, events = self.events,
            upstream:? = self.machine.upstream()
        });
        self.caller.close();
        self.advance(Input::Cancel);
    }

    fn handle_timeout(&mut self) {
        self.abort_readers();
        self.outcome = Some(Outcome::Failed(Code::OutcomeUnknown));
    }

    /// Ends a generation that has not begun because the process ends.
    fn handle_exit(&mut self) {
        self.abort_readers();
        let code = if self.sent > 0 { Code::OutcomeUnknown } else { Code::Leaving };
        self.retry_after = Duration::from_millis(Code::Leaving.retry_after_ms());
        self.outcome = Some(Outcome::Failed(code));
    }

    fn abort_readers(&mut self) {
        for reader in std::mem::take(&mut self.readers).into_values() {
            reader.task.abort();
        }
    }

    async fn end(&mut self) {
        self.abort_readers();
        let outcome = self.outcome.unwrap_or(Outcome::Cancelled);
        self.copies.end(&self.context, outcome == Outcome::Whole);
        let counter = match outcome {
            Outcome::Whole => Counter::GenerationWhole,
            _ => Counter::GenerationFailed,
        };
        self.context.metrics.count(counter);
        let (pauses, first) = (self.pauses, self.pauses.first());
        if let Some(first) = first {
            self.context.metrics.record(Latency::FirstEvent, first);
            self.context.metrics.record(Latency::Pause, pauses.longest());
        }
        info!("generation_ended", kv: {
            request = self.request.id, route = self.plan.route.name, outcome:? = outcome,
            events = self.events, sent = self.sent, late = pauses.is_late(&self.plan.route),
            took_ms = pauses.elapsed(self.context.clock.now()).as_millis() as u64,
            first_ms:? = first.map(|first| first.as_millis() as u64),
            longest_pause_ms = pauses.longest().as_millis() as u64
        });
        if outcome == Outcome::Whole {
            self.context.record_answered(&self.request, &self.plan);
            if let (Some(took), None) = (pauses.generating(), self.request.last_event) {
                self.context.placer.record_run(took);
            }
            self.send(Chunk::End).await;
        }
        let mut caller = std::mem::replace(&mut self.caller, Caller::closed());
        caller.end(|| self.refusal(outcome));
    }

    fn refusal(&mut self, outcome: Outcome) -> Reply {
        if let Some(answer) = self.error_answer.take() {
            return Reply::Answered(answer);
        }
        self.context.metrics.count(Counter::Refused);
        let code = match outcome {
            Outcome::Failed(code) => code,
            _ => Code::UpstreamFailed,
        };
        let refusal = if self.sent > 0 {
            Refusal::new(code, Ran::Unknown, "no engine could complete the request")
        } else {
            Refusal::not_run(code, "no engine takes the request now")
        };
        let retry_after_ms = self.retry_after.as_millis() as u64;
        info!("request_refused", kv: {
            request = self.request.id, route = self.plan.route.name, code:? = refusal.code,
            ran:? = refusal.ran, sent = self.sent, retry_after_ms
        });
        Reply::Refused(Refusal { retry_after_ms, ..refusal })
    }
}
