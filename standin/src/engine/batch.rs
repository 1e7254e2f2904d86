//! The engine's streams and its step loop.

use super::cache::Cache;
use super::order::{Order, OrderError, Role};
use crate::gate::Gate;
use crate::text::Chain;
use quetzaltiller::digest::Checksum;
use quetzaltiller::engine::{Body, CacheEvent, Chunk, Error, Report, Submission, blocks};
use quetzaltiller::generation::Request;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

const KEPT_SAMPLES: usize = 256;
/// Ended streams are kept for reattaching this long.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Party at the gate.
    pub name: String,
    /// Model loaded at the start.
    pub model: String,
    /// Version loaded at the start.
    pub version: String,
    /// Adapter loaded at the start.
    pub adapter: Option<String>,
    /// Streams in a batch.
    pub max_batch: usize,
    /// Time of a step with an empty batch.
    pub step: Duration,
    /// Further time for each stream in the batch.
    pub step_per_stream: Duration,
    /// Prefill speed.
    pub prefill_tokens_per_s: f64,
    /// Prefix cache.
    pub cache_tokens: usize,
    /// Age of load reports.
    pub report_lag: Duration,
    /// Time to load another model or version.
    pub load_time: Duration,
    /// Orders with an old fencing number are refused.
    pub checks_fence: bool,
}

impl Settings {
    /// An engine of ordinary speed.
    pub fn new(name: &str, model: &str, version: &str) -> Self {
        Self {
            name: name.to_owned(),
            model: model.to_owned(),
            version: version.to_owned(),
            adapter: None,
            max_batch: 32,
            step: Duration::from_millis(22),
            step_per_stream: Duration::from_micros(400),
            prefill_tokens_per_s: 8_000.0,
            cache_tokens: 200_000,
            report_lag: Duration::from_millis(500),
            load_time: Duration::from_secs(20),
            checks_fence: true,
        }
    }
}

/// Engine work done so far, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Work {
    /// Prefilled.
    pub prefilled: u64,
    /// Found in the cache.
    pub cached: u64,
    /// Decoded.
    pub decoded: u64,
    /// Prefilled for streams that continue an earlier attempt.
    pub resumed: u64,
}

/// A stream taken on.
#[derive(Clone, Debug)]
pub struct Submitted {
    /// When.
    pub at: Instant,
    /// Generation.
    pub generation: String,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Continues an earlier attempt.
    pub resumed: bool,
}

/// A stream that runs, and what it would cost to lose it.
#[derive(Clone, Debug)]
pub struct Running {
    /// Generation.
    pub generation: String,
    /// Tokens of prompt and answer.
    pub tokens: usize,
    /// Digests of the blocks of prompt and answer.
    pub blocks: Vec<u64>,
}

type Key = (String, u32);

struct Stream {
    chain: Chain,
    total: u32,
    tokens: Vec<String>,
    prefill_left: f64,
    blocks: Vec<u64>,
    prompt: Arc<str>,
    resumed: bool,
    priority: u8,
    arrival: u64,
    ended_at: Option<Instant>,
    checksum: Checksum,
}

impl Stream {
    fn running(&self, generation: &str) -> Running {
        Running {
            generation: generation.to_owned(),
            tokens: text(&self.prompt, &self.tokens).count(),
            blocks: blocks(text(&self.prompt, &self.tokens)),
        }
    }
}

fn text<'a>(prompt: &'a str, tokens: &'a [String]) -> impl Iterator<Item = &'a str> {
    prompt.split_whitespace().chain(tokens.iter().map(String::as_str))
}

struct State {
    settings: Settings,
    role: Role,
    fence: u64,
    loading_until: Option<Instant>,
    incarnation: u64,
    connections: u64,
    streams: BTreeMap<Key, Stream>,
    arrivals: u64,
    cache: Cache,
    work: Work,
    samples: VecDeque<(Instant, u32, u32)>,
    submitted: Vec<Submitted>,
    rng: ChaCha12Rng,
}

/// One engine; clones are the same one.
#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    steps: Arc<Notify>,
    gate: Gate,
    name: Arc<str>,
}

/// A reader's place in a stream.
pub struct Cursor {
    key: Key,
    next: u32,
    started: bool,
    finished: bool,
    incarnation: u64,
    connection: u64,
}

impl Engine {
    /// Starts an engine; must be called in a tokio runtime.
    pub fn start(settings: Settings, gate: Gate, seed: u64) -> Self {
        let name: Arc<str> = settings.name.as_str().into();
        let state = State {
            cache: Cache::new(settings.cache_tokens),
            settings,
            role: Role::Both,
            fence: 0,
            loading_until: None,
            incarnation: 1,
            connections: 0,
            streams: BTreeMap::new(),
            arrivals: 0,
            work: Work::default(),
            samples: VecDeque::new(),
            submitted: Vec::new(),
            rng: ChaCha12Rng::seed_from_u64(seed),
        };
        let state = Arc::new(Mutex::new(state));
        let engine = Self { state, steps: Arc::default(), gate, name };
        tokio::spawn(engine.clone().run());
        engine
    }

    /// Loses all streams and the cache, as a process that starts again does.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.incarnation += 1;
        state.streams.clear();
        state.cache = Cache::new(state.settings.cache_tokens);
        state.samples.clear();
        drop(state);
        self.notify();
    }

    /// Ends at once: streams are lost and open connections break.
    pub fn kill(&self) {
        self.gate.set_dead(&self.name, true);
        self.restart();
    }

    /// Open connections go silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.lock().connections += 1;
    }

    /// Work done so far.
    pub fn work(&self) -> Work {
        self.lock().work
    }

    /// Streams that have not ended.
    pub fn running(&self) -> usize {
        self.lock().streams.values().filter(|stream| stream.ended_at.is_none()).count()
    }

    /// Streams that have not ended.
    pub fn running_streams(&self) -> Vec<Running> {
        let state = self.lock();
        let running = state.streams.iter().filter(|(_, stream)| stream.ended_at.is_none());
        running.map(|((generation, _), stream)| stream.running(generation)).collect()
    }

    /// Tokens at the beginning of a text that are cached, without using them.
    pub fn peek_cached(&self, blocks: &[u64]) -> usize {
        self.lock().cache.peek(blocks)
    }

    /// Streams taken on so far.
    pub fn submitted(&self) -> Vec<Submitted> {
        self.lock().submitted.clone()
    }

    /// Changes the version in place, as an operator might.
    pub fn set_version(&self, version: &str) {
        self.lock().settings.version = version.to_owned();
    }

    /// Cache events after `after`.
    pub fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        self.lock().cache.events(after)
    }

    /// Load as it was a while ago.
    pub fn report(&self) -> Report {
        let state = self.lock();
        let seen = Instant::now().checked_sub(state.settings.report_lag);
        let sample = state.samples.iter().rev().find(|(at, ..)| seen.is_some_and(|s| *at <= s));
        Report {
            running: sample.map_or(0, |(_, running, _)| *running),
            queued: sample.map_or(0, |(.., queued)| *queued),
            model: state.settings.model.clone(),
            version: state.settings.version.clone(),
            adapter: state.settings.adapter.clone(),
        }
    }

    /// Loads what is ordered.
    pub fn order(&self, order: &Order) -> Result<(), OrderError> {
        let mut state = self.lock();
        if state.settings.checks_fence && order.fence < state.fence {
            return Err(OrderError::Fenced(state.fence));
        }
        state.fence = state.fence.max(order.fence);
        state.role = order.role;
        let settings = &state.settings;
        let loaded = (&settings.model, &settings.version, &settings.adapter);
        if loaded == (&order.model, &order.version, &order.adapter) {
            return Ok(());
        }
        state.loading_until = Some(Instant::now() + state.settings.load_time);
        state.settings.model = order.model.clone();
        state.settings.version = order.version.clone();
        state.settings.adapter = order.adapter.clone();
        state.streams.clear();
        drop(state);
        self.notify();
        Ok(())
    }

    /// Takes a stream on.
    pub fn submit(&self, submission: &Submission) -> Result<Cursor, Error> {
        let mut state = self.lock();
        state.check(submission)?;
        let stream = state.new_stream(submission);
        state.streams.retain(|(generation, attempt), _| {
            *generation != submission.generation || *attempt > submission.attempt
        });
        let key = (submission.generation.clone(), submission.attempt);
        let next = submission.emitted.len() as u32;
        state.streams.insert(key.clone(), stream);
        state.submitted.push(Submitted {
            at: Instant::now(),
            generation: submission.generation.clone(),
            prompt: submission.prompt.as_str().into(),
            resumed: submission.attempt > 1,
        });
        state.sample();
        let cursor = state.cursor(key, next);
        drop(state);
        self.notify();
        Ok(cursor)
    }

    /// Goes on reading a stream from `next`.
    pub fn reattach(&self, generation: &str, attempt: u32, next: u32) -> Result<Cursor, Error> {
        let state = self.lock();
        let key = (generation.to_owned(), attempt);
        match state.streams.get(&key) {
            Some(stream) if next as usize <= stream.tokens.len() => Ok(state.cursor(key, next)),
            _ => Err(Error::UnknownStream),
        }
    }

    /// Stops a stream; tells whether there was one.
    pub fn cancel(&self, generation: &str, attempt: u32) -> bool {
        let mut state = self.lock();
        let removed = state.streams.remove(&(generation.to_owned(), attempt)).is_some();
        state.sample();
        drop(state);
        self.notify();
        removed
    }

    /// Next chunk for `reader`; `None` after the end.
    pub async fn next(&self, cursor: &mut Cursor, reader: &str) -> Option<Result<Chunk, Error>> {
        loop {
            let stepped = self.steps.notified();
            if self.gate.pass(&self.name, reader).await.is_err() {
                return Some(Err(Error::Reset));
            }
            let advance = self.lock().advance(cursor);
            match advance {
                Advance::Chunk(body) => return Some(Ok(cursor.chunk(body))),
                Advance::Broken => return Some(Err(Error::Reset)),
                Advance::Finished => return None,
                Advance::Silent => std::future::pending().await,
                Advance::Wait => stepped.await,
            }
        }
    }

    async fn run(self) {
        loop {
            let changed = self.steps.notified();
            let pause = self.lock().step_time();
            let Some(pause) = pause else {
                changed.await;
                continue;
            };
            tokio::time::sleep(pause).await;
            self.gate.awake(&self.name).await;
            if !self.gate.is_dead(&self.name) {
                self.lock().step(pause);
            }
            self.notify();
        }
    }

    fn notify(&self) {
        self.steps.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Cursor {
    fn chunk(&self, body: Body) -> Chunk {
        Chunk { generation: self.key.0.clone(), attempt: self.key.1, body }
    }
}

enum Advance {
    Chunk(Body),
    Broken,
    Finished,
    Silent,
    Wait,
}

impl State {
    fn check(&self, submission: &Submission) -> Result<(), Error> {
        if self.loading_until.is_some_and(|until| Instant::now() < until) {
            return Err(Error::Busy);
        }
        let settings = &self.settings;
        let loaded = (&settings.model, &settings.version, &settings.adapter);
        if loaded != (&submission.model, &submission.version, &submission.adapter) {
            return Err(Error::OtherVersion);
        }
        let newest =
            self.streams.keys().filter(|(id, _)| *id == submission.generation).map(|k| k.1);
        if newest.max().is_some_and(|newest| newest >= submission.attempt) {
            return Err(Error::Rejected("attempt numbers only rise".into()));
        }
        Ok(())
    }

    fn new_stream(&mut self, submission: &Submission) -> Stream {
        let request = Request {
            model: submission.model.clone(),
            adapter: submission.adapter.clone(),
            prompt: submission.prompt.clone(),
            max_tokens: submission.max_tokens,
            sampling: submission.sampling.clone(),
            ..Request::default()
        };
        let mut chain = Chain::new(&request, &submission.version);
        for token in &submission.emitted {
            let _ = chain.follow(token);
        }
        let length = text(&submission.prompt, &submission.emitted).count();
        let blocks = blocks(text(&submission.prompt, &submission.emitted));
        let cached = self.cache.cached_tokens(&blocks).min(length.saturating_sub(1));
        self.work.cached += cached as u64;
        self.arrivals += 1;
        Stream {
            total: chain.length(submission.max_tokens),
            chain,
            tokens: submission.emitted.clone(),
            prefill_left: (length - cached) as f64,
            blocks,
            prompt: submission.prompt.as_str().into(),
            resumed: submission.attempt > 1,
            priority: submission.priority,
            arrival: self.arrivals,
            ended_at: None,
            checksum: Checksum::of(&submission.emitted),
        }
    }

    fn cursor(&self, key: Key, next: u32) -> Cursor {
        Cursor {
            key,
            next,
            started: false,
            finished: false,
            incarnation: self.incarnation,
            connection: self.connections,
        }
    }

    fn advance(&self, cursor: &mut Cursor) -> Advance {
        if cursor.finished {
            return Advance::Finished;
        }
        if cursor.connection != self.connections {
            return Advance::Silent;
        }
        let stream = self.streams.get(&cursor.key);
        let Some(stream) = stream.filter(|_| cursor.incarnation == self.incarnation) else {
            return Advance::Broken;
        };
        if !cursor.started {
            cursor.started = true;
            return Advance::Chunk(Body::Started { version: self.settings.version.clone() });
        }
        let from = cursor.next as usize;
        if from < stream.tokens.len() {
            cursor.next = stream.tokens.len() as u32;
            let tokens = stream.tokens[from..].to_vec();
            return Advance::Chunk(Body::Tokens { index: from as u32, tokens });
        }
        if stream.ended_at.is_none() {
            return Advance::Wait;
        }
        cursor.finished = true;
        let (total, checksum) = (stream.total, stream.checksum.hex());
        Advance::Chunk(Body::Ended { total, checksum })
    }

    /// Time of the next step, if there is work.
    fn step_time(&self) -> Option<Duration> {
        let running = self.streams.values().filter(|stream| stream.ended_at.is_none()).count();
        let batch = running.min(self.settings.max_batch) as u32;
        (batch > 0).then(|| self.settings.step + self.settings.step_per_stream * batch)
    }

    fn step(&mut self, took: Duration) {
        let now = Instant::now();
        let mut order: Vec<_> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.ended_at.is_none())
            .map(|(key, stream)| (std::cmp::Reverse(stream.priority), stream.arrival, key.clone()))
            .collect();
        order.sort();
        order.truncate(self.settings.max_batch);
        let mut prefill = took.as_secs_f64() * self.settings.prefill_tokens_per_s;
        for (.., key) in order {
            self.step_stream(&key, &mut prefill, now);
        }
        self.streams
            .retain(|_, stream| stream.ended_at.is_none_or(|ended| now < ended + ENDED_RETENTION));
        self.sample();
    }

    fn step_stream(&mut self, key: &Key, prefill: &mut f64, now: Instant) {
        let Some(stream) = self.streams.get_mut(key) else {
            return;
        };
        if stream.prefill_left > 0.0 {
            let done = stream.prefill_left.min(*prefill);
            stream.prefill_left -= done;
            *prefill -= done;
            self.work.prefilled += done.round() as u64;
            self.work.resumed += if stream.resumed { done.round() as u64 } else { 0 };
            if stream.prefill_left > 0.0 {
                return;
            }
            self.cache.insert(&stream.blocks, &mut self.rng);
        }
        if (stream.tokens.len() as u32) < stream.total {
            let token = stream.chain.token(self.rng.random());
            stream.chain.follow(&token);
            stream.checksum.add(&token);
            stream.tokens.push(token);
            self.work.decoded += 1;
        }
        if stream.tokens.len() as u32 >= stream.total {
            stream.ended_at = Some(now);
            let grown = blocks(text(&stream.prompt, &stream.tokens));
            self.cache.insert(&grown, &mut self.rng);
        }
    }

    fn sample(&mut self) {
        let running = self.streams.values().filter(|stream| stream.ended_at.is_none()).count();
        let batch = running.min(self.settings.max_batch);
        self.samples.push_back((Instant::now(), batch as u32, (running - batch) as u32));
        if self.samples.len() > KEPT_SAMPLES {
            self.samples.pop_front();
        }
    }
}
