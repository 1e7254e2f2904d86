//! The task of one generation: performs its machine's effects and sends events to its caller.

use super::context::{Context, Work};
use super::handle::{Command, Status};
use super::reader::Reader;
use super::replicator::{Acknowledgement, OutgoingAppend, Replicator};
use super::settings::{demand, initial_settings, pool_settings};
use crate::dispatch::{Demand, Permit, Placement};
use crate::engine::{self, Attempt, Submission, blocks};
use crate::generation::{
    Answer as _, Effect, Input, Machine, Opening, Outcome, Place, Request, Splice,
};
use crate::local_member::OpenRequest;
use crate::metrics::Counter;
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Maximum number of notices queued for the task.
const NOTICE_QUEUE: usize = 64;
/// Maximum number of tries to cancel a run at an engine.
const MAX_CANCEL_TRIES: u32 = 8;
/// Pause after the first failed try to cancel; it grows linearly with the number of tries.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);
/// Number of a generation's first attempt.
const FIRST_ATTEMPT: u32 = 1;
/// Priority of new runs at the engine.
const NORMAL_PRIORITY: u8 = 1;
/// Priority of resumed runs at the engine.
const RESUMED_PRIORITY: u8 = 2;

/// The task's ends of the channels to its handle and its caller.
pub struct Channels {
    /// Commands from the handle.
    pub commands: mpsc::Receiver<Command>,
    /// Events for the first caller.
    pub events: mpsc::Sender<Event>,
    /// State for the handle.
    pub status: watch::Sender<Status>,
}

/// The connected caller.
struct Subscriber {
    sender: mpsc::Sender<Event>,
    sent: u32,
    started: bool,
}

impl Subscriber {
    fn new(sender: mpsc::Sender<Event>, next: u32) -> Self {
        Self { sender, sent: next, started: false }
    }
}

/// Next event for the caller.
#[derive(Clone, Copy)]
enum Due {
    Start { next: u32 },
    Tokens { from: u32, to: u32 },
    Last { outcome: Outcome, sent: u32 },
}

/// Result of work that the task started.
pub enum Notice {
    /// The chosen upstream, or the reason why there is none.
    Placed(Result<Box<Placement>, Code>),
    /// Permit at the upstream of a generation taken over.
    Adopted(Option<Permit>),
    /// A connection was opened.
    Opened(u32),
    /// A chunk was received on a connection.
    Chunk(u32, engine::Chunk),
    /// A connection failed.
    Failed(u32, engine::Error),
    /// An append ended.
    Journaled {
        /// Keeper's answer.
        acknowledgement: Acknowledgement,
        /// Whether the append marked the answer as whole.
        whole: bool,
    },
}

/// Serves one generation.
pub struct Task {
    context: Context,
    scope: Scope,
    machine: Machine,
    request: Request,
    digest: String,
    demand: Demand,
    patience: Duration,
    term: u32,
    address: Option<String>,
    permit: Option<Permit>,
    connections: BTreeMap<u32, CancellationToken>,
    replicator: Replicator,
    append_deadline: Duration,
    subscriber: Option<Subscriber>,
    orphaned_at: Option<Duration>,
    outcome: Option<Outcome>,
    handover_entries: Vec<String>,
    notices: mpsc::Sender<Notice>,
    status: watch::Sender<Status>,
    _open_request: OpenRequest,
}

impl Task {
    /// Starts the task in the process's scope.
    pub fn start(work: Work, digest: String, channels: Channels) {
        let Work { context, account, labels, request, origin, next, entered } = work;
        let (notices_sender, notices) = mpsc::channel(NOTICE_QUEUE);
        let patience = Duration::from_millis(account.patience_ms);
        let splice = Splice::new(origin.generation, origin.attempt, origin.floor, origin.tokens);
        let settings = initial_settings(&context.timing, &request, patience);
        let now = context.clock.now();
        let (machine, effects) = Machine::new(now, splice, settings, origin.start);
        let task = Self {
            demand: demand(&account.name, labels, &request),
            digest,
            scope: context.scope.child(),
            context,
            machine,
            request,
            patience,
            term: origin.term,
            address: origin.address,
            permit: None,
            connections: BTreeMap::new(),
            replicator: Replicator::default(),
            append_deadline: Duration::ZERO,
            subscriber: Some(Subscriber::new(channels.events, next)),
            orphaned_at: None,
            outcome: origin.whole.then_some(Outcome::Whole),
            handover_entries: Vec::new(),
            notices: notices_sender,
            status: channels.status,
            _open_request: entered,
        };
        let scope = task.context.scope.clone();
        scope.spawn(task.run(effects, notices, channels.commands));
    }

    async fn run(
        mut self,
        effects: Vec<Effect>,
        mut notices: mpsc::Receiver<Notice>,
        mut commands: mpsc::Receiver<Command>,
    ) {
        if self.outcome.is_none() {
            self.perform(effects);
            self.adopt();
        }
        while !self.is_over() {
            self.send_append();
            self.publish_status();
            let wake = self.wake_at();
            let due = self.next_due().is_some();
            let sender = self.subscriber.as_ref().map(|subscriber| subscriber.sender.clone());
            tokio::select! {
                biased;
                Some(command) = commands.recv() => self.handle_command(command),
                slot = reserve(sender.as_ref()), if due => match slot {
                    Some(slot) => self.send_due(slot),
                    None => self.drop_subscriber(),
                },
                Some(notice) = notices.recv() => {
                    self.handle_notice(notice);
                    while let Ok(notice) = notices.try_recv() {
                        self.handle_notice(notice);
                    }
                }
                () = disconnected(sender.as_ref()) => self.drop_subscriber(),
                () = self.context.clock.sleep_until(wake) => self.handle_timers(),
            }
        }
        self.end();
    }

    fn publish_status(&self) {
        let splice = self.machine.splice();
        self.status.send_if_modified(|status| {
            let upstream = self.machine.upstream();
            let moved = status.upstream.as_deref() != upstream || status.account.is_empty();
            if moved {
                status.upstream = upstream.map(str::to_owned);
                status.account.clone_from(&self.demand.account);
            }
            status.attempt = splice.attempt();
            status.term = self.term;
            status.next = splice.next();
            status.suspected = self.machine.is_suspected();
            status.has_caller = self.subscriber.is_some();
            moved
        });
    }

    fn is_over(&self) -> bool {
        let delivered = self.subscriber.is_none() && self.orphaned_at.is_none();
        let is_abandoned = matches!(self.outcome, Some(Outcome::Superseded | Outcome::Cancelled));
        self.outcome.is_some() && (delivered || is_abandoned && self.subscriber.is_none())
    }

    fn wake_at(&self) -> Duration {
        let grace_end = self.orphaned_at.map(|at| at + self.context.timing.orphan_grace);
        let append_deadline = self.replicator.is_waiting().then_some(self.append_deadline);
        let latest = self.context.clock.now() + Duration::from_secs(1);
        [self.machine.wake_at(), grace_end, append_deadline]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(latest)
            .min(latest)
    }

    fn handle_timers(&mut self) {
        let now = self.context.clock.now();
        if self.replicator.is_waiting() && now >= self.append_deadline {
            self.context.metrics.count(Counter::JournalDegraded);
            self.replicator.stop_waiting();
        }
        let grace = self.context.timing.orphan_grace;
        if self.orphaned_at.is_some_and(|at| now >= at + grace) {
            info!("generation_orphaned", kv: { generation = self.generation() });
            self.orphaned_at = None;
            self.advance(Input::Cancel);
        }
        if self.outcome.is_none() {
            self.advance(Input::Tick);
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Attach { next, sender } if next > self.machine.splice().next() => {
                let message = "the event id names a token that does not exist yet";
                let refusal = Refusal::new(Code::BadEventId, Ran::Yes, message);
                let _ = sender.try_send(Event::Error(refusal));
            }
            Command::Attach { next, sender } => {
                self.orphaned_at = None;
                self.subscriber = Some(Subscriber::new(sender, next));
            }
            Command::Cancel => self.advance(Input::Cancel),
            Command::HandOver { entries } => {
                self.handover_entries = entries;
                self.advance(Input::HandOver);
            }
        }
    }

    fn handle_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Placed(Ok(placement)) => self.handle_placement(*placement),
            Notice::Placed(Err(code)) => self.advance(Input::Unplaced(code)),
            Notice::Adopted(permit) => {
                if self.permit.is_none() {
                    self.permit = permit;
                }
            }
            Notice::Opened(conn) => self.advance(Input::Opened(conn)),
            Notice::Chunk(conn, chunk) => self.advance(Input::Chunk(conn, chunk)),
            Notice::Failed(conn, error) => {
                debug!("engine_connection_failed", kv: {
                    generation = self.generation(), conn, reason:? = error.to_string()
                });
                self.advance(Input::Failed(conn, error));
            }
            Notice::Journaled { acknowledgement, whole } => {
                if let Some(term) = self.replicator.receive(acknowledgement, whole) {
                    info!("generation_fenced", kv: { generation = self.generation(), term });
                    self.handle_fencing();
                }
            }
        }
    }

    /// Ends the generation because another entry VM owns it. An attempt that the journal does not
    /// have is cancelled here, as the new owner can't know of it.
    fn handle_fencing(&mut self) {
        let attempt = self.machine.splice().attempt();
        if let Some(upstream) = self.machine.upstream()
            && !self.replicator.has_confirmed(attempt)
        {
            self.cancel(upstream, attempt);
        }
        self.advance(Input::Fenced);
    }

    fn handle_placement(&mut self, placement: Placement) {
        let version = placement.pool.version.clone().unwrap_or_default();
        let upstream = placement.upstream.name.clone();
        let settings =
            pool_settings(&self.context.timing, &self.request, &placement, self.patience);
        self.machine.configure(settings);
        self.address = Some(placement.upstream.address);
        self.permit = Some(placement.permit);
        self.advance(Input::Placed(Place { upstream, version, ..Place::default() }));
    }

    fn advance(&mut self, input: Input) {
        let before = self.machine.stats();
        let effects = self.machine.advance(self.context.clock.now(), input);
        let after = self.machine.stats();
        let metrics = &self.context.metrics;
        metrics.add(Counter::Reattached, u64::from(after.reattached - before.reattached));
        metrics.add(Counter::Redispatched, u64::from(after.redispatched - before.redispatched));
        let false_suspicions = after.false_suspicions - before.false_suspicions;
        metrics.add(Counter::FalseSuspicion, u64::from(false_suspicions));
        self.perform(effects);
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Place { avoid, resumed, .. } => self.place(avoid, resumed),
                Effect::Open { conn, opening, upstream } => self.open(conn, opening, &upstream),
                Effect::Close(conn) => {
                    if let Some(token) = self.connections.remove(&conn) {
                        token.cancel();
                    }
                }
                // Runs are reattached to at their engine, so their memory is not copied.
                Effect::Copy => {}
                Effect::Cancel { upstream, attempt } => self.cancel(&upstream, attempt),
                Effect::Finish(outcome) => self.finish(outcome),
            }
        }
    }

    fn place(&mut self, avoid: Vec<String>, resumed: bool) {
        if let Some(failed) = avoid.last().map(String::as_str) {
            info!("generation_redispatched", kv: {
                generation = self.generation(), failed, next = self.machine.splice().next()
            });
            self.context.dispatch.record_failure(failed);
        }
        self.permit = None;
        let version = self.machine.version().map(str::to_owned);
        let emitted = self.machine.splice().tokens().iter().map(String::as_str);
        let blocks = blocks(self.request.prompt.split_whitespace().chain(emitted));
        let mut demand = Demand { avoid, resumed, version, blocks, ..self.demand.clone() };
        if resumed {
            demand.affinity = self.generation().to_owned();
        }
        let deadline = self.context.clock.now() + self.patience;
        let (dispatch, notices) = (self.context.dispatch.clone(), self.notices.clone());
        self.scope.spawn(async move {
            let placed = dispatch.place(demand, deadline).await.map(Box::new);
            let _ = notices.send(Notice::Placed(placed)).await;
        });
    }

    /// Acquires a permit for a generation taken over, at the upstream that runs it.
    fn adopt(&self) {
        let Some(upstream) = self.machine.upstream().map(str::to_owned) else {
            return;
        };
        let (dispatch, notices) = (self.context.dispatch.clone(), self.notices.clone());
        let account = self.demand.account.clone();
        self.scope.spawn(async move {
            let permit = dispatch.adopt(upstream, account).await;
            let _ = notices.send(Notice::Adopted(permit)).await;
        });
    }

    fn open(&mut self, conn: u32, opening: Opening, upstream: &str) {
        let token = CancellationToken::new();
        self.connections.insert(conn, token.clone());
        let address = self.address.clone().unwrap_or_default();
        debug!("engine_connection_opened", kv: {
            generation = self.generation(), conn, upstream, opening:?
        });
        let reader = Reader {
            conn,
            engines: self.context.engines.clone(),
            submission: (opening == Opening::Submit).then(|| self.submission()),
            attempt: self.attempt(address, self.machine.splice().attempt()),
            from: self.machine.splice().next(),
            notices: self.notices.clone(),
        };
        self.scope.spawn(async move {
            tokio::select! {
                biased;
                () = token.cancelled() => {}
                () = reader.run() => {}
            }
        });
    }

    fn submission(&self) -> Submission {
        let splice = self.machine.splice();
        let resumed = splice.next() > 0;
        Submission {
            generation: splice.generation().to_owned(),
            attempt: splice.attempt(),
            model: self.request.model.clone(),
            version: self.machine.version().unwrap_or_default().to_owned(),
            adapter: self.request.adapter.clone(),
            prompt: self.request.prompt.clone(),
            emitted: splice.tokens().to_vec(),
            max_tokens: self.request.max_tokens,
            sampling: self.request.sampling.clone(),
            priority: if resumed { RESUMED_PRIORITY } else { NORMAL_PRIORITY },
        }
    }

    fn attempt(&self, address: String, number: u32) -> Attempt {
        Attempt { address, generation: self.generation().to_owned(), number }
    }

    fn cancel(&self, upstream: &str, number: u32) {
        let Some(address) = self.address.clone() else {
            return;
        };
        debug!("engine_cancelled", kv: { generation = self.generation(), upstream, number });
        let attempt = self.attempt(address, number);
        let engines = self.context.engines.clone();
        self.context.scope.spawn(async move {
            for try_number in 1..=MAX_CANCEL_TRIES {
                match engines.cancel(&attempt).await {
                    Ok(()) | Err(engine::Error::Refused) => return,
                    Err(_) => tokio::time::sleep(CANCEL_PAUSE * try_number).await,
                }
            }
        });
    }

    fn finish(&mut self, outcome: Outcome) {
        let counter = match outcome {
            Outcome::Whole => Counter::GenerationWhole,
            _ => Counter::GenerationFailed,
        };
        self.context.metrics.count(counter);
        info!("generation_ended", kv: {
            generation = self.generation(), outcome:?, tokens = self.machine.splice().next()
        });
        self.outcome = Some(outcome);
        self.permit = None;
    }

    fn send_append(&mut self) {
        let whole = self.outcome == Some(Outcome::Whole);
        let now = self.context.clock.now();
        let origin = self.journal_origin();
        let view = self.context.members.view();
        let zone = &self.context.vm.zone;
        let splice = self.machine.splice();
        let outgoing =
            self.replicator.next_append(now, &view, zone, splice, (self.term, whole), &origin);
        if let Some(outgoing) = outgoing {
            self.append_deadline = now + self.context.timing.journal_timeout;
            let bytes = outgoing.append.tokens.iter().map(String::len).sum::<usize>();
            self.context.metrics.add(Counter::JournalBytes, bytes as u64);
            self.spawn_append(outgoing);
        }
    }

    fn spawn_append(&self, outgoing: OutgoingAppend) {
        let (link, notices) = (self.context.link.clone(), self.notices.clone());
        let limit = self.context.timing.journal_timeout * 2;
        let whole = outgoing.append.whole;
        self.context.metrics.count(Counter::PeerCall);
        self.context.scope.spawn(async move {
            let call = link.call(&outgoing.address, wire::Ask::Append(outgoing.append));
            let acknowledgement = match timeout(limit, call).await {
                Ok(Ok(wire::Reply::Appended(appended))) => Acknowledgement::Answered(appended),
                _ => Acknowledgement::Unanswered,
            };
            let _ = notices.send(Notice::Journaled { acknowledgement, whole }).await;
        });
    }

    fn journal_origin(&self) -> coordination::journal::Origin {
        coordination::journal::Origin {
            account: self.demand.account.clone(),
            digest: self.digest.clone(),
            owner: self.context.vm.name.clone(),
            upstream: self.machine.upstream().unwrap_or_default().to_owned(),
            attempt: self.machine.splice().attempt(),
            version: self.machine.version().unwrap_or_default().to_owned(),
        }
    }

    /// Next event for the caller, if it can be sent now.
    fn next_due(&self) -> Option<Due> {
        let subscriber = self.subscriber.as_ref()?;
        let splice = self.machine.splice();
        if !subscriber.started && self.machine.version().is_some() {
            return Some(Due::Start { next: subscriber.sent });
        }
        let superseded = self.outcome == Some(Outcome::Superseded);
        let emittable = self.replicator.emittable(splice.next());
        if subscriber.sent < emittable && !superseded {
            return Some(Due::Tokens { from: subscriber.sent, to: emittable });
        }
        if subscriber.sent < splice.next() && !superseded {
            return None;
        }
        self.outcome.map(|outcome| Due::Last { outcome, sent: subscriber.sent })
    }

    fn event(&self, due: Due) -> Event {
        let splice = self.machine.splice();
        match due {
            Due::Start { next } => Event::Start {
                attempt: splice.attempt(),
                generation: self.generation().to_owned(),
                next,
                version: self.machine.version().unwrap_or_default().to_owned(),
            },
            Due::Tokens { from, to } => Event::Tokens {
                attempt: splice.attempt(),
                index: from,
                tokens: splice.tokens()[from as usize..to as usize].to_vec(),
            },
            Due::Last { outcome, sent } => self.last_event(outcome, sent),
        }
    }

    fn last_event(&self, outcome: Outcome, sent: u32) -> Event {
        let splice = self.machine.splice();
        let refusal = match outcome {
            Outcome::Whole => {
                return Event::End { total: splice.next(), checksum: splice.checksum() };
            }
            Outcome::HandedOver => return Event::Move { entries: self.handover_entries.clone() },
            Outcome::Cancelled => {
                Refusal::new(Code::Cancelled, Ran::Yes, "the generation was cancelled")
            }
            Outcome::Superseded => {
                Refusal::new(Code::Superseded, Ran::Yes, "another entry VM serves this generation")
            }
            Outcome::Failed(code) => self.failure(code),
        };
        let attempt = splice.attempt();
        let id = EventId { generation: self.generation().to_owned(), attempt, next: sent };
        Event::Error(Refusal { ticket: Some(id.to_string()), ..refusal })
    }

    fn failure(&self, code: Code) -> Refusal {
        let ran = match self.machine.splice() {
            _ if code == Code::EngineRejected => Ran::No,
            splice if splice.next() > 0 => Ran::Yes,
            splice if splice.attempt() > FIRST_ATTEMPT || self.machine.upstream().is_some() => {
                Ran::Unknown
            }
            _ => Ran::No,
        };
        let message = match code {
            Code::NotAllowed => "no selector lets this request reach an upstream",
            Code::AccountLimit => "the account runs as many requests as it may",
            Code::Overloaded => "the expected wait is longer than the caller accepts",
            Code::NoConfiguration => "no configuration is in force yet",
            Code::EngineRejected => "the engine refuses this request",
            Code::EngineInconsistent => "the engine contradicted itself",
            _ => "no upstream could go on before the deadline",
        };
        Refusal::new(code, ran, message)
    }

    fn send_due(&mut self, slot: mpsc::Permit<'_, Event>) {
        let Some(due) = self.next_due() else {
            return;
        };
        slot.send(self.event(due));
        let Some(subscriber) = &mut self.subscriber else {
            return;
        };
        match due {
            Due::Start { .. } => subscriber.started = true,
            Due::Tokens { from, to } => {
                subscriber.sent = to;
                self.context.metrics.add(Counter::Tokens, u64::from(to - from));
            }
            Due::Last { .. } => self.subscriber = None,
        }
    }

    fn drop_subscriber(&mut self) {
        self.subscriber = None;
        self.orphaned_at = Some(self.context.clock.now());
    }

    fn end(&mut self) {
        self.context.registry.remove(self.machine.splice().generation());
        self.send_append();
        self.scope.stop();
    }

    fn generation(&self) -> &str {
        self.machine.splice().generation()
    }
}

/// Waits for a free place in the caller's queue; `None` when the caller has disconnected.
async fn reserve(sender: Option<&mpsc::Sender<Event>>) -> Option<mpsc::Permit<'_, Event>> {
    match sender {
        Some(sender) => sender.reserve().await.ok(),
        None => std::future::pending().await,
    }
}

/// Completes when the caller has disconnected; never without a caller.
async fn disconnected(sender: Option<&mpsc::Sender<Event>>) {
    match sender {
        Some(sender) => sender.closed().await,
        None => std::future::pending().await,
    }
}
