//! Generations: carries a stream of events from one engine to the next.
//!
//! The task owns the generation's [`Machine`], performs its effects and passes on each event that
//! the machine admits, with its bytes unchanged. The head is that of the engine which sent the
//! first event. A stream that can't go on is cut, so that it does not look whole.

use super::caller::Caller;
use super::copies::{Copies, Ordered};
use super::event::Event;
use super::pauses::Pauses;
use super::placing::{Need, Placed, Placing};
use super::reader::{Notice, Reader};
use super::reply::{Chunk, Reply};
use super::{Answer, Context, Plan, Request};
use crate::engine;
use crate::fleet::Upstream;
use crate::generation::{
    Answer as _, Effect, Input, Machine, Opening, Outcome, Piece, Place, Probe, Sequence, Settings,
    Start,
};
use crate::local_member::OpenRequest;
use crate::metrics::{Counter, Latency};
use crate::placement::{Placement, Speed};
use crate::prelude::*;
use crate::routes::Kind;
use coordination::detector::Bounds;
use coordination::wait_policy::WaitPolicy;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

/// Notices that wait for the task.
const NOTICE_QUEUE: usize = 32;
/// Silence that is worth a check: an event takes 30 ms alone and 180 ms beside one prefill (users'
/// sheet of engines).
const SILENCE: Bounds = Bounds { min: Duration::from_millis(120), max: Duration::from_millis(300) };
/// Weight of waiting: a run that can't go on from a copy is given four times its prefill, as
/// others' prefills may go before.
const WAIT_WEIGHT: f64 = 0.25;
/// Longest wait for an engine that accepts connections and sends nothing, unless the prefill alone
/// takes half of it.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// Wait that a refused caller is told where nothing better is known: about half the prefill of a
/// prompt.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Limit of a check; a round trip between zones many times over.
const CHECK_LIMIT: Duration = Duration::from_millis(100);
/// How often a stream tells that its engine lives.
const LIFE_PERIOD: Duration = Duration::from_millis(100);
/// Urgency of work at stake, and of new work of the highest rank.
const RESUMED_URGENCY: u8 = 1;
const NEW_URGENCY: u8 = 4;
const LAST_URGENCY: u8 = 9;

/// Serves a generation.
pub async fn run(
    context: Context,
    request: Arc<Request>,
    plan: Plan,
    entered: OpenRequest,
) -> Reply {
    let (reply, answer) = oneshot::channel();
    let scope = context.scope.clone();
    let (task, effects, inbox) = Task::new(context, request, plan, entered, reply);
    scope.spawn(task.run(effects, inbox));
    answer.await.unwrap_or_else(|_| {
        Reply::Refused(Refusal::new(Code::UpstreamFailed, Ran::Unknown, "the process is ending"))
    })
}

/// What comes to the task.
struct Inbox {
    notices: mpsc::Receiver<Notice>,
    placements: mpsc::UnboundedReceiver<Placed>,
    ordered: mpsc::UnboundedReceiver<Ordered>,
}

/// How a generation goes on, at engines of such a speed.
fn settings(request: &Request, plan: &Plan, deadline: Duration, speed: Speed) -> Settings {
    let prompt_tokens = request.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    let longest = MAX_WAIT.max(speed.prefill(prompt_tokens) * 2);
    Settings {
        wait_policy: WaitPolicy { weight: WAIT_WEIGHT, max: longest },
        prefill_tokens_per_s: speed.tokens_per_s(),
        prompt_tokens,
        open_timeout: MAX_WAIT,
        deadline,
        silence: SILENCE,
        probe: Probe::Connect,
        pause: plan.route.pause_ms.map(Duration::from_millis),
        resumable: plan.route.kind == Kind::Generation { resumable: true },
    }
}

struct Task {
    context: Context,
    request: Arc<Request>,
    plan: Arc<Plan>,
    machine: Machine<Sequence>,
    /// Time that the request had when it came.
    limit: Duration,
    caller: Caller,
    failure: Option<Answer>,
    placed: BTreeMap<String, Placement>,
    copies: Copies,
    connections: BTreeMap<u32, AbortHandle>,
    /// Requests that engines got or may have got.
    sent: u32,
    /// Connection of the newest of these; checks are none.
    run: Option<u32>,
    events: u32,
    pauses: Pauses,
    life_told: Duration,
    retry_after: Duration,
    outcome: Option<Outcome>,
    placing: Placing,
    notices: mpsc::Sender<Notice>,
    _entered: OpenRequest,
}

impl Task {
    fn new(
        context: Context,
        request: Arc<Request>,
        plan: Plan,
        entered: OpenRequest,
        reply: oneshot::Sender<Reply>,
    ) -> (Self, Vec<Effect>, Inbox) {
        let now = context.clock.now();
        let limit = plan.until.saturating_sub(now);
        let settings = settings(&request, &plan, limit, Speed::default());
        let next = request.last_event.map(|last| last as u32 + 1);
        let (machine, effects) = Machine::new(now, Sequence::new(next), settings, Start::Fresh);
        let plan = Arc::new(plan);
        let (placing, placements) = Placing::new(context.clone(), request.clone(), plan.clone());
        let (copies, ordered) = Copies::new(&request.id);
        let (notices, received) = mpsc::channel(NOTICE_QUEUE);
        let inbox = Inbox { notices: received, placements, ordered };
        let task = Self {
            context,
            request,
            plan,
            machine,
            limit,
            caller: Caller::new(reply),
            failure: None,
            placed: BTreeMap::new(),
            copies,
            connections: BTreeMap::new(),
            sent: 0,
            run: None,
            events: 0,
            pauses: Pauses::new(now),
            life_told: Duration::ZERO,
            retry_after: RETRY_AFTER,
            outcome: None,
            placing,
            notices,
            _entered: entered,
        };
        (task, effects, inbox)
    }

    async fn run(mut self, effects: Vec<Effect>, mut inbox: Inbox) {
        let mut withdrawn = self.context.placer.withdrawn();
        withdrawn.mark_unchanged();
        self.perform(effects);
        while self.outcome.is_none() {
            let clock = self.context.clock;
            let wake = self.machine.wake_at();
            let until = self.plan.until;
            let renewal = self.copies.renew_at();
            tokio::select! {
                biased;
                Some(placed) = inbox.placements.recv() => self.placed(placed),
                Some(notice) = inbox.notices.recv() => self.notice(notice).await,
                Some(ordered) = inbox.ordered.recv() => self.take_copy(ordered),
                Ok(()) = withdrawn.changed() => {
                    let withdrawn = withdrawn.borrow_and_update().clone();
                    withdrawn.iter().for_each(|id| self.input(Input::EngineLost(id.clone())));
                }
                () = self.caller.gone() => self.leave(),
                () = clock.sleep_until(until) => self.time_out(),
                () = clock.sleep_until(renewal.unwrap_or_default()), if renewal.is_some() => {
                    self.renew_copy();
                }
                () = clock.sleep_until(wake.unwrap_or_default()), if wake.is_some() => {
                    self.input(Input::Tick);
                }
            }
        }
        self.end().await;
    }

    fn input(&mut self, input: Input<Piece>) {
        let before = self.machine.stats();
        let effects = self.machine.advance(self.context.clock.now(), input);
        let after = self.machine.stats();
        let metrics = &self.context.metrics;
        metrics.add(Counter::Redispatched, u64::from(after.redispatched - before.redispatched));
        let false_suspicions = after.false_suspicions - before.false_suspicions;
        metrics.add(Counter::FalseSuspicion, u64::from(false_suspicions));
        self.perform(effects);
        self.free_copies();
    }

    /// Frees copies that can't be gone on from any more.
    fn free_copies(&mut self) {
        let machine = &self.machine;
        self.copies.keep(&self.context, |engine| machine.uses_engine(engine));
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Place { avoid, copy, cached, resumed } => {
                    self.place(avoid, copy, cached, resumed);
                }
                Effect::Open { conn, opening, upstream } => self.open(conn, opening, &upstream),
                Effect::Close(conn) => {
                    if let Some(reader) = self.connections.remove(&conn) {
                        reader.abort();
                    }
                }
                Effect::Copy => self.copy(),
                // The engine drops a run with its connection.
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
        if resumed {
            self.pauses.lose();
            info!("generation_moves", kv: {
                request = self.request.id, copy:? = copy, cached:? = cached,
                next = self.machine.splice().next(), sent = self.sent
            });
        }
        self.placed.clear();
        self.placing.ask(Need { avoid, copy, cached, resumed }, self.sent);
    }

    fn copy(&mut self) {
        if let Some(primary) = self.primary() {
            let demand = self.placing.demand(Need { resumed: true, ..Need::default() });
            self.copies.order(&self.context, demand, primary);
        }
    }

    fn renew_copy(&mut self) {
        let primary = self.primary();
        self.copies.renew(&self.context, primary.as_deref(), self.machine.copy());
    }

    /// Engine at work.
    fn primary(&self) -> Option<Arc<Upstream>> {
        let placement = self.placed.get(self.machine.upstream()?)?;
        Some(placement.upstream.clone())
    }

    fn take_copy(&mut self, ordered: Ordered) {
        if self.machine.upstream() == Some(&ordered.of) {
            let holder = self.copies.take(&self.context, ordered);
            self.input(Input::Copied(holder));
        } else {
            ordered.discard(&self.context);
        }
    }

    fn placed(&mut self, placed: Placed) {
        match placed {
            Err(unplaced) => {
                self.retry_after = unplaced.retry_after();
                self.input(Input::Unplaced(unplaced.code()));
            }
            Ok(placement) if self.is_too_late_for_leaving(&placement) => {
                self.retry_after = Duration::from_millis(Code::Leaving.retry_after_ms());
                self.input(Input::Unplaced(Code::Leaving));
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
                if let Some(backup) = &placement.backup {
                    self.copies.back_up(backup);
                }
                let settings = settings(&self.request, &self.plan, self.limit, placement.speed);
                self.machine.configure(settings);
                self.placed.insert(id, placement);
                self.input(Input::Placed(place));
            }
        }
    }

    /// Whether a run that has not begun would outlive this process, which is leaving.
    fn is_too_late_for_leaving(&self, placement: &Placement) -> bool {
        let is_new = self.sent == 0 && self.events == 0;
        is_new && !self.context.drain.admits(placement.wait + placement.speed.run())
    }

    fn open(&mut self, conn: u32, opening: Opening, upstream: &str) {
        let Some(placement) = self.placed.get(upstream) else {
            return;
        };
        let asks = matches!(opening, Opening::Check | Opening::Inspect);
        let reader = Reader {
            conn,
            client: self.context.client.clone(),
            upstream: placement.upstream.clone(),
            backup: placement.backup.clone(),
            copy: if opening == Opening::Restore { self.copies.spend(upstream) } else { None },
            last_event: self.last_event(),
            heard: self.machine.is_streaming(),
            urgency: self.urgency(),
            deadline: self.plan.until.saturating_sub(self.context.clock.now()),
            request: self.request.clone(),
            plan: self.plan.clone(),
            notices: self.notices.clone(),
        };
        if !asks {
            self.sent += 1;
            self.run = Some(conn);
            self.pauses.send(self.context.clock.now());
        }
        let task = async move {
            match opening {
                Opening::Check => reader.check(CHECK_LIMIT).await,
                Opening::Inspect => reader.inspect(CHECK_LIMIT).await,
                _ => reader.run().await,
            }
        };
        self.connections.insert(conn, tokio::spawn(task).abort_handle());
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
        NEW_URGENCY.saturating_add(self.plan.priority).min(LAST_URGENCY)
    }

    async fn notice(&mut self, notice: Notice) {
        match notice {
            Notice::Opened(conn, head) => {
                if self.events == 0 {
                    self.caller.set_head(head);
                }
                self.input(Input::Opened(conn));
            }
            Notice::Alive(conn) => self.input(Input::Opened(conn)),
            Notice::Event(conn, event) => self.event(conn, event).await,
            Notice::Ended(conn) => self.input(Input::Chunk(conn, Piece::End)),
            Notice::Answered(conn, answer) => {
                let final_answer = answer.status.is_client_error();
                self.failure = Some(answer);
                let error = if final_answer {
                    engine::Error::Rejected(String::new())
                } else {
                    engine::Error::Reset
                };
                self.failed(conn, error);
            }
            Notice::Failed(conn, error) => self.failed(conn, error),
        }
    }

    fn failed(&mut self, conn: u32, error: engine::Error) {
        let Some(upstream) = self.machine.upstream().map(str::to_owned) else {
            return;
        };
        if !self.connections.contains_key(&conn) {
            return;
        }
        info!("engine_failed", kv: {
            request = self.request.id, upstream, conn, reason:? = error.to_string(),
            silent_ms = self.machine.silence(self.context.clock.now()).as_millis() as u64
        });
        match error {
            // A copy that does not exist, or no room.
            engine::Error::Busy => {}
            engine::Error::Refused => self.context.placer.record_unreachable(&upstream),
            _ => self.context.placer.record_disconnect(&upstream),
        }
        if error == engine::Error::Refused && self.run == Some(conn) {
            self.run = None;
            self.sent = self.sent.saturating_sub(1);
        }
        self.input(Input::Failed(conn, error));
    }

    async fn event(&mut self, conn: u32, event: Event) {
        let before = self.machine.splice().next();
        let Some(number) = event.number else {
            self.failed(conn, engine::Error::Protocol("event without a number".into()));
            return;
        };
        let known = self.events > 0;
        self.input(Input::Chunk(conn, Piece::Numbered(number)));
        let admitted = self.machine.splice().next() > before || !known && number == 0;
        if !admitted || !self.connections.contains_key(&conn) {
            return;
        }
        self.events += 1;
        self.measure_pause();
        if !known {
            self.first_event();
        }
        self.pass(Chunk::Events(event.bytes)).await;
    }

    fn first_event(&self) {
        let Some(upstream) = self.machine.upstream() else {
            return;
        };
        self.context.placer.record_success(upstream);
        let alone = self.placed.get(upstream).is_some_and(|p| p.uncontended && !p.has_copy);
        if alone && let Some(prompt) = &self.request.prompt {
            let took = self.pauses.since_sent(self.context.clock.now());
            self.context.placer.record_prefill(prompt.tokens, took);
        }
    }

    fn measure_pause(&mut self) {
        let now = self.context.clock.now();
        if let Some(resumed) = self.pauses.event(now) {
            self.context.metrics.record(Latency::Resume, resumed);
        }
        if now >= self.life_told + LIFE_PERIOD
            && let Some(upstream) = self.machine.upstream()
        {
            self.life_told = now;
            self.context.placer.record_activity(upstream);
        }
    }

    async fn pass(&mut self, chunk: Chunk) {
        let left = self.plan.until.saturating_sub(self.context.clock.now());
        self.caller.pass(chunk, left).await;
    }

    fn leave(&mut self) {
        info!("caller_left", kv: {
            request = self.request.id, events = self.events,
            upstream:? = self.machine.upstream()
        });
        self.caller.leave();
        self.input(Input::Cancel);
    }

    fn time_out(&mut self) {
        self.perform_end();
        self.outcome = Some(Outcome::Failed(Code::OutcomeUnknown));
    }

    fn perform_end(&mut self) {
        for reader in std::mem::take(&mut self.connections).into_values() {
            reader.abort();
        }
    }

    async fn end(&mut self) {
        self.perform_end();
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
            took_ms = pauses.took(self.context.clock.now()).as_millis() as u64,
            first_ms:? = first.map(|first| first.as_millis() as u64),
            longest_pause_ms = pauses.longest().as_millis() as u64
        });
        if outcome == Outcome::Whole {
            if let (Some(took), None) = (pauses.generating(), self.request.last_event) {
                self.context.placer.record_run(took);
            }
            self.pass(Chunk::End).await;
        }
        let mut caller = std::mem::replace(&mut self.caller, Caller::served());
        caller.end(|| self.refusal(outcome));
    }

    fn refusal(&mut self, outcome: Outcome) -> Reply {
        if let Some(answer) = self.failure.take() {
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
