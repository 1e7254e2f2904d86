//! Generations: carries a stream of events from one engine to the next.
//!
//! The task owns the generation's [`Machine`], performs its effects and passes on each event that
//! the machine admits, with its bytes unchanged. The head is that of the engine which sent the
//! first event. A stream that can't go on is cut, so that it does not look whole.

use super::event::Event;
use super::reader::{Head, Notice, Reader};
use super::reply::{Chunk, Reply, Stream};
use super::{Answer, Context, Plan, Request};
use crate::engine;
use crate::generation::{
    Answer as _, Effect, Input, Machine, Opening, Outcome, Piece, Place, Probe, Sequence, Settings,
    Start,
};
use crate::metrics::{Counter, Latency};
use crate::own::Entered;
use crate::placement::{self, Demand, Placement, Run, Unplaced};
use crate::prelude::*;
use crate::routes::Kind;
use crate::upstream;
use coordination::detector::Bounds;
use coordination::patience::Patience;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// Events that wait for a slow caller; the engine is not read meanwhile.
const EVENT_QUEUE: usize = 32;
/// Notices that wait for the task.
const NOTICE_QUEUE: usize = 32;
/// Silence that is worth a check: an event takes 30 ms alone and 180 ms beside one prefill (users'
/// sheet of engines).
const SILENCE: Bounds = Bounds { min: Duration::from_millis(120), max: Duration::from_millis(300) };
/// Prompt tokens that an engine reads in a second (users' sheet of engines).
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Weight of waiting: a run that can't go on from a copy is given four times its prefill, as
/// others' prefills may go before.
const WAIT_WEIGHT: f64 = 0.25;
/// Longest wait for an engine that accepts connections and sends nothing, unless the prefill alone
/// takes half of it.
const MAX_WAIT: Duration = Duration::from_millis(2_500);
/// Wait that a refused caller is told where nothing better is known: about half the prefill of a
/// prompt.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// How often a stream tells that its engine lives.
const LIFE_PERIOD: Duration = Duration::from_millis(100);
/// Urgency of work at stake, and of new work of the highest rank.
const RESUMED_URGENCY: u8 = 1;
const NEW_URGENCY: u8 = 4;
const LAST_URGENCY: u8 = 9;

/// A copy of a run's memory, and the place held for it.
struct Held {
    place: Option<placement::Copy>,
    copy: upstream::Copy,
}

/// What became of an order to copy the run at an engine.
struct Ordered {
    /// Engine that runs it.
    of: String,
    /// Place of the copy, and its name there.
    made: Option<(placement::Copy, upstream::Copy)>,
}

/// Serves a generation.
pub async fn run(context: Context, request: Arc<Request>, plan: Plan, entered: Entered) -> Reply {
    let (reply, answer) = oneshot::channel();
    let (notices, received) = mpsc::channel(NOTICE_QUEUE);
    let scope = context.scope.clone();
    let (task, effects) = Task::new(context, request, plan, entered, reply, notices);
    scope.spawn(task.run(effects, received));
    answer.await.unwrap_or_else(|_| {
        Reply::Refused(Refusal::new(Code::UpstreamFailed, Ran::Unknown, "the process is ending"))
    })
}

/// The caller's side: a reply that is due, or events that are.
enum Caller {
    Waiting(oneshot::Sender<Reply>),
    Reading(mpsc::Sender<Chunk>),
    Served,
}

struct Task {
    context: Context,
    request: Arc<Request>,
    plan: Arc<Plan>,
    machine: Machine<Sequence>,
    caller: Caller,
    head: Option<Head>,
    failure: Option<Answer>,
    placed: BTreeMap<String, Placement>,
    copies: BTreeMap<String, Held>,
    copied_at: Option<Duration>,
    copied: mpsc::UnboundedSender<Ordered>,
    made: Option<mpsc::UnboundedReceiver<Ordered>>,
    connections: BTreeMap<u32, AbortHandle>,
    sent: u32,
    events: u32,
    began: Duration,
    opened_at: Duration,
    first_at: Option<Duration>,
    last_at: Duration,
    longest_pause: Duration,
    life_told: Duration,
    lost_at: Option<Duration>,
    retry_after: Duration,
    outcome: Option<Outcome>,
    placing: mpsc::UnboundedSender<Result<Placement, Unplaced>>,
    placements: Option<mpsc::UnboundedReceiver<Result<Placement, Unplaced>>>,
    notices: mpsc::Sender<Notice>,
    _entered: Entered,
}

impl Task {
    fn new(
        context: Context,
        request: Arc<Request>,
        plan: Plan,
        entered: Entered,
        reply: oneshot::Sender<Reply>,
        notices: mpsc::Sender<Notice>,
    ) -> (Self, Vec<Effect>) {
        let now = context.clock.now();
        let prompt_tokens = request.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
        let prefill = Duration::from_secs_f64(f64::from(prompt_tokens) / PREFILL_TOKENS_PER_S);
        let settings = Settings {
            patience: Patience { weight: WAIT_WEIGHT, max: MAX_WAIT.max(prefill * 2) },
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            prompt_tokens,
            open_timeout: MAX_WAIT,
            deadline: plan.until.saturating_sub(now),
            silence: SILENCE,
            probe: Probe::Connect,
            pause: plan.route.pause_ms.map(Duration::from_millis),
            resumable: plan.route.kind == Kind::Generation { resumable: true },
        };
        let next = request.last_event.map(|last| last as u32 + 1);
        let (machine, effects) = Machine::new(now, Sequence::new(next), settings, Start::Fresh);
        let (placing, placements) = mpsc::unbounded_channel();
        let (copied, made) = mpsc::unbounded_channel();
        let task = Self {
            context,
            request,
            plan: Arc::new(plan),
            machine,
            caller: Caller::Waiting(reply),
            head: None,
            failure: None,
            placed: BTreeMap::new(),
            copies: BTreeMap::new(),
            copied_at: None,
            copied,
            made: Some(made),
            connections: BTreeMap::new(),
            sent: 0,
            events: 0,
            began: now,
            opened_at: now,
            first_at: None,
            last_at: now,
            longest_pause: Duration::ZERO,
            life_told: Duration::ZERO,
            lost_at: None,
            retry_after: RETRY_AFTER,
            outcome: None,
            placing,
            placements: Some(placements),
            notices,
            _entered: entered,
        };
        (task, effects)
    }

    async fn run(mut self, effects: Vec<Effect>, mut notices: mpsc::Receiver<Notice>) {
        let (Some(mut placements), Some(mut made)) = (self.placements.take(), self.made.take())
        else {
            return;
        };
        let mut withdrawn = self.context.placer.withdrawn();
        withdrawn.mark_unchanged();
        self.perform(effects);
        while self.outcome.is_none() {
            let clock = self.context.clock;
            let wake = self.machine.wake_at();
            let until = self.plan.until;
            let renewal = self.copied_at.map(|at| at + COPY_PERIOD);
            tokio::select! {
                biased;
                Some(placed) = placements.recv() => self.placed(placed),
                Some(notice) = notices.recv() => self.notice(notice).await,
                Some(ordered) = made.recv() => self.take_copy(ordered),
                Ok(()) = withdrawn.changed() => {
                    let withdrawn = withdrawn.borrow_and_update().clone();
                    withdrawn.iter().for_each(|id| self.input(Input::Gone(id.clone())));
                }
                () = gone(&mut self.caller) => self.leave(),
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
        let effects = self.machine.on(self.context.clock.now(), input);
        let after = self.machine.stats();
        let metrics = &self.context.metrics;
        metrics.add(Counter::Redispatched, u64::from(after.redispatched - before.redispatched));
        let false_suspicions = after.false_suspicions - before.false_suspicions;
        metrics.add(Counter::FalseSuspicion, u64::from(false_suspicions));
        self.perform(effects);
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
            self.lost_at.get_or_insert(self.last_at);
            info!("generation_moves", kv: {
                request = self.request.id, copy:? = copy, cached:? = cached,
                next = self.machine.splice().next(), sent = self.sent
            });
        }
        self.placed.clear();
        let demand = self.demand(avoid, copy, cached, resumed);
        let (context, placing) = (self.context.clone(), self.placing.clone());
        let service = self.plan.service.clone();
        let repeats = self.sent > 0;
        let spent = self.sent >= self.plan.route.attempts;
        let returned = self.request.last_event.is_some() && !repeats;
        let request = self.request.clone();
        self.context.scope.spawn(async move {
            let allowed = !spent && (!repeats || context.pacer.may_repeat(&service).await);
            let mut demand = demand;
            if let (true, Some(run), Some(prompt)) = (returned, &mut demand.run, &request.prompt) {
                run.cached = context.finder.find(&service, &prompt.model, run.affinity).await;
                info!("prompt_located", kv: { request = request.id, engine:? = run.cached });
            }
            let placed =
                if allowed { context.placer.place(demand).await } else { Err(Unplaced::Nowhere) };
            let _ = placing.send(placed);
        });
    }

    fn demand(
        &self,
        avoid: Vec<String>,
        copy: Option<String>,
        cached: Option<String>,
        resumed: bool,
    ) -> Demand {
        let prompt = self.request.prompt.as_ref();
        let run = Run {
            copy,
            cached,
            prompt_tokens: prompt.map_or(0, |prompt| prompt.tokens),
            footprint: prompt.map_or(0, |prompt| prompt.footprint()),
            affinity: prompt.map_or(0, |prompt| prompt.own_part()),
            objective: (!resumed && self.request.last_event.is_none())
                .then(|| Duration::from_millis(self.plan.route.objective_ms)),
            wants_backup: self.plan.route.kind == Kind::Generation { resumable: true },
        };
        Demand {
            service: self.plan.service.clone(),
            account: self.plan.account.clone().unwrap_or_default(),
            avoid,
            run: Some(run),
        }
    }

    /// Copies the run's memory to an engine of the placer's choice.
    fn copy(&mut self) {
        let Some(primary) = self.machine.upstream().and_then(|id| self.placed.get(id)) else {
            return;
        };
        let primary = primary.upstream.clone();
        let demand = self.demand(Vec::new(), None, None, true);
        let (placer, client) = (self.context.placer.clone(), self.context.client.clone());
        let (request, copied) = (self.request.clone(), self.copied.clone());
        self.context.scope.spawn(async move {
            let made = match placer.place_copy(demand, primary.clone()).await {
                Some(place) => {
                    let (from, to) = (primary.address, place.upstream.address);
                    let copy = client.copy_run(from, &request.id, to, COPY_LIMIT).await;
                    copy.map(|copy| (place, copy))
                }
                None => None,
            };
            let _ = copied.send(Ordered { of: primary.id.clone(), made });
        });
    }

    /// Brings a copy up to date that the engine does not by itself, before it is forgotten.
    fn renew_copy(&mut self) {
        self.copied_at = None;
        let primary = self.machine.upstream().and_then(|id| self.placed.get(id));
        let holder = self.machine.copy().and_then(|id| self.copies.get_mut(id));
        let (Some(primary), Some(Held { place: Some(place), .. })) = (primary, holder) else {
            return;
        };
        let (from, to) = (primary.upstream.address, place.upstream.address);
        let (client, request) = (self.context.client.clone(), self.request.clone());
        self.context.scope.spawn(async move {
            let _ = client.copy_run(from, &request.id, to, COPY_LIMIT).await;
        });
        self.copied_at = Some(self.context.clock.now());
    }

    fn take_copy(&mut self, Ordered { of, made }: Ordered) {
        if self.machine.upstream() != Some(&of) {
            return;
        }
        let Some((place, copy)) = made else {
            return self.input(Input::Copied(None));
        };
        let holder = place.upstream.id.clone();
        self.context.metrics.count(Counter::RunCopied);
        info!("run_copied", kv: { request = self.request.id, of, holder });
        self.copies.insert(holder.clone(), Held { place: Some(place), copy });
        self.copied_at = Some(self.context.clock.now());
        self.input(Input::Copied(Some(holder)));
    }

    fn placed(&mut self, placed: Result<Placement, Unplaced>) {
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
                    restores: placement.restores,
                    backup: placement.backup.as_ref().map(|backup| backup.id.clone()),
                };
                info!("generation_placed", kv: {
                    request = self.request.id, upstream = id, zone = placement.upstream.zone,
                    backup:? = place.backup, restores = place.restores,
                    expected_ms = placement.wait.as_millis() as u64
                });
                if let Some(backup) = &placement.backup {
                    let name = self.request.id.clone();
                    let copy = upstream::Copy { origin: backup.address, name };
                    self.copies.insert(backup.id.clone(), Held { place: None, copy });
                }
                self.placed.insert(id, placement);
                self.input(Input::Placed(place));
            }
        }
    }

    /// Whether a run that has not begun would outlive this process, which is leaving.
    fn is_too_late_for_leaving(&self, placement: &Placement) -> bool {
        self.sent == 0 && !self.context.drain.admits(placement.wait + super::RUN)
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
            copy: (opening == Opening::Restore)
                .then(|| self.copies.get(upstream).map(|held| held.copy.clone()))
                .flatten(),
            last_event: self.last_event(),
            urgency: self.urgency(),
            deadline: self.plan.until.saturating_sub(self.context.clock.now()),
            request: self.request.clone(),
            plan: self.plan.clone(),
            notices: self.notices.clone(),
        };
        if !asks {
            self.sent += 1;
            self.opened_at = self.context.clock.now();
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
                    self.head = Some(head);
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
            engine::Error::Refused => self.context.placer.gone(&upstream),
            _ => self.context.placer.broken(&upstream),
        }
        if error == engine::Error::Refused {
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
        self.context.placer.answered(upstream);
        let alone = self.placed.get(upstream).is_some_and(|p| p.alone && !p.restores);
        if alone && let Some(prompt) = &self.request.prompt {
            let took = self.context.clock.now().saturating_sub(self.opened_at);
            self.context.placer.read(prompt.tokens, took);
        }
    }

    fn measure_pause(&mut self) {
        let now = self.context.clock.now();
        if self.first_at.is_some() {
            self.longest_pause = self.longest_pause.max(now.saturating_sub(self.last_at));
        }
        if let Some(lost_at) = self.lost_at.take() {
            self.context.metrics.record(Latency::Resume, now.saturating_sub(lost_at));
        }
        self.first_at.get_or_insert(now);
        self.last_at = now;
        if now >= self.life_told + LIFE_PERIOD
            && let Some(upstream) = self.machine.upstream()
        {
            self.life_told = now;
            self.context.placer.alive(upstream);
        }
    }

    /// Passes on a part of the stream, after the head if that is still due.
    async fn pass(&mut self, chunk: Chunk) {
        self.send_head();
        let Caller::Reading(sender) = &self.caller else {
            return;
        };
        let left = self.plan.until.saturating_sub(self.context.clock.now());
        if !matches!(timeout(left, sender.send(chunk)).await, Ok(Ok(()))) {
            self.caller = Caller::Served;
        }
    }

    fn send_head(&mut self) {
        if !matches!(self.caller, Caller::Waiting(_)) {
            return;
        }
        let Some(Head { status, headers }) = self.head.take() else {
            return;
        };
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let waiting = std::mem::replace(&mut self.caller, Caller::Reading(sender));
        if let Caller::Waiting(reply) = waiting {
            let _ = reply.send(Reply::Streaming(Stream { status, headers, events }));
        }
    }

    fn leave(&mut self) {
        info!("caller_left", kv: {
            request = self.request.id, events = self.events,
            upstream:? = self.machine.upstream()
        });
        self.caller = Caller::Served;
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
        let counter = match outcome {
            Outcome::Whole => Counter::GenerationWhole,
            _ => Counter::GenerationFailed,
        };
        self.context.metrics.count(counter);
        let took = self.context.clock.now().saturating_sub(self.began);
        let first = self.first_at.map(|at| at.saturating_sub(self.began));
        if let Some(first) = first {
            self.context.metrics.record(Latency::FirstEvent, first);
            self.context.metrics.record(Latency::Pause, self.longest_pause);
        }
        info!("generation_ended", kv: {
            request = self.request.id, route = self.plan.route.name, outcome:? = outcome,
            events = self.events, sent = self.sent, late = self.is_late(first), took_ms = took.as_millis() as u64,
            first_ms:? = first.map(|first| first.as_millis() as u64),
            longest_pause_ms = self.longest_pause.as_millis() as u64
        });
        if outcome == Outcome::Whole {
            self.pass(Chunk::End).await;
        }
        let caller = std::mem::replace(&mut self.caller, Caller::Served);
        if let Caller::Waiting(reply) = caller {
            let _ = reply.send(self.refusal(outcome));
        }
    }

    /// Whether the first event or a pause took longer than the route wants.
    fn is_late(&self, first: Option<Duration>) -> bool {
        let route = &self.plan.route;
        let objective = Duration::from_millis(route.objective_ms);
        let pause = route.pause_ms.map(Duration::from_millis);
        first.is_some_and(|first| !objective.is_zero() && first > objective)
            || pause.is_some_and(|pause| self.longest_pause > pause)
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

/// Limit of a copy of a run's memory, which takes 10 ms and waits for others on the links.
const COPY_LIMIT: Duration = Duration::from_millis(1_000);
/// How often a copy is brought up to date; engines forget copies after 4 s (users' configuration).
const COPY_PERIOD: Duration = Duration::from_millis(2_500);
/// Limit of a check; a round trip between zones many times over.
const CHECK_LIMIT: Duration = Duration::from_millis(100);

/// Completes when the caller has gone away.
async fn gone(caller: &mut Caller) {
    match caller {
        Caller::Waiting(reply) => reply.closed().await,
        Caller::Reading(events) => events.closed().await,
        Caller::Served => std::future::pending().await,
    }
}
