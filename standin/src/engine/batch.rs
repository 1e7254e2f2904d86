//! Handle to a stand-in engine and the loop that runs its steps.

use super::cache::Cache;
use super::order::{Order, OrderError, Role};
use super::settings::Settings;
use super::state::{Advance, Cursor, Running, State, Submitted, Work};
use crate::network::Network;
use quetzaltiller::engine::{CacheEvent, Chunk, Error, Report, Submission};
use rand::SeedableRng as _;
use rand_chacha::ChaCha12Rng;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Handle to an engine; clones share the engine.
#[derive(Clone)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    steps: Arc<Notify>,
    network: Network,
    name: Arc<str>,
}

impl Engine {
    /// Starts an engine and spawns its step loop; must be called in a tokio runtime.
    pub fn start(settings: Settings, network: Network, seed: u64) -> Self {
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
        let engine = Self { state, steps: Arc::default(), network, name };
        tokio::spawn(engine.clone().run());
        engine
    }

    /// Drops all streams and the cache and raises the incarnation, as a restart of the process
    /// does.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.incarnation += 1;
        state.streams.clear();
        state.cache = Cache::new(state.settings.cache_tokens);
        state.samples.clear();
        drop(state);
        self.notify();
    }

    /// Marks the engine as dead on the network and drops its streams; open connections break.
    pub fn kill(&self) {
        self.network.set_dead(&self.name, true);
        self.restart();
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_connections(&self) {
        self.lock().connections += 1;
    }

    /// Returns the work done so far.
    pub fn work(&self) -> Work {
        self.lock().work
    }

    /// Returns the number of streams that have not ended.
    pub fn running(&self) -> usize {
        self.lock().streams.values().filter(|stream| stream.ended_at.is_none()).count()
    }

    /// Returns the streams that have not ended.
    pub fn running_streams(&self) -> Vec<Running> {
        let state = self.lock();
        let running = state.streams.iter().filter(|(_, stream)| stream.ended_at.is_none());
        running.map(|((generation, _), stream)| stream.running(generation)).collect()
    }

    /// Returns the number of cached tokens at the start of a text, without counting as a use.
    pub fn peek_cached(&self, blocks: &[u64]) -> usize {
        self.lock().cache.peek(blocks)
    }

    /// Returns all streams accepted so far.
    pub fn submitted(&self) -> Vec<Submitted> {
        self.lock().submitted.clone()
    }

    /// Changes the version in place, without loading time or loss of streams, as an operator might.
    pub fn set_version(&self, version: &str) {
        self.lock().settings.version = version.to_owned();
    }

    /// Returns the visible cache events with a sequence number above `after`.
    pub fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        self.lock().cache.events(after)
    }

    /// Reports the load as it was `report_lag` ago.
    pub fn report(&self) -> Report {
        let state = self.lock();
        let visible_until = Instant::now().checked_sub(state.settings.report_lag);
        let sample = state
            .samples
            .iter()
            .rev()
            .find(|(at, ..)| visible_until.is_some_and(|until| *at <= until));
        Report {
            running: sample.map_or(0, |(_, running, _)| *running),
            queued: sample.map_or(0, |(.., queued)| *queued),
            model: state.settings.model.clone(),
            version: state.settings.version.clone(),
            adapter: state.settings.adapter.clone(),
        }
    }

    /// Loads the ordered model, version and adapter and drops all streams if they differ from the
    /// loaded ones; fails with `Fenced` if the engine checks the fencing number and has seen a
    /// higher one.
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

    /// Accepts a stream, which replaces earlier attempts of its generation; fails with `Busy` while
    /// loading, `OtherVersion` if the model differs and `Rejected` if the attempt number is not
    /// new.
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

    /// Reads a stream again from token `next`; fails with `UnknownStream` if the engine doesn't
    /// hold it or it is shorter.
    pub fn reattach(&self, generation: &str, attempt: u32, next: u32) -> Result<Cursor, Error> {
        let state = self.lock();
        let key = (generation.to_owned(), attempt);
        match state.streams.get(&key) {
            Some(stream) if next as usize <= stream.tokens.len() => Ok(state.cursor(key, next)),
            _ => Err(Error::UnknownStream),
        }
    }

    /// Removes a stream; returns whether it existed.
    pub fn cancel(&self, generation: &str, attempt: u32) -> bool {
        let mut state = self.lock();
        let removed = state.streams.remove(&(generation.to_owned(), attempt)).is_some();
        state.sample();
        drop(state);
        self.notify();
        removed
    }

    /// Waits for the next chunk for `reader`; `None` after the end.
    pub async fn next(&self, cursor: &mut Cursor, reader: &str) -> Option<Result<Chunk, Error>> {
        loop {
            let stepped = self.steps.notified();
            if self.network.deliver(&self.name, reader).await.is_err() {
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
            self.network.wait_until_thawed(&self.name).await;
            if !self.network.is_dead(&self.name) {
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
