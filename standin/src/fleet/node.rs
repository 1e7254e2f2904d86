//! One upstream.

use quetzaltiller::fleet::Upstream;
use quetzaltiller::upstream::Report;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Prompt tokens read in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 8;
/// An event of a run alone.
const EVENT: Duration = Duration::from_millis(30);
/// An event while a prompt is read.
const EVENT_BESIDE_PREFILL: Duration = Duration::from_millis(180);

/// How an upstream fails requests while it can be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Does not run them.
    Shed,
    /// Does not run them, and wants no more for so long.
    Close(Duration),
    /// Answers none.
    Hang,
    /// Runs them and loses the answer.
    LoseAnswer,
    /// Takes them and never begins.
    Swallow,
    /// Runs them and answers with its own failure.
    Fail,
    /// Works this many times as long.
    Slow(u32),
}

/// State of the process, for its connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Life {
    /// Runs.
    Up,
    /// Ended; its connections broke.
    Down,
    /// Ended; its connections are silent.
    Dark,
}

/// Upstream.
pub struct Node {
    /// As the directory lists it.
    pub upstream: Upstream,
    /// Events of each answer; none for a replica of a plain service.
    pub events: u32,
    /// How it fails requests.
    pub fault: Option<Fault>,
    /// Says in each answer that it takes no new work.
    pub departing: bool,
    /// Requests that reached it.
    pub reached: u32,
    pub(super) life: watch::Sender<Life>,
    reading_until: Instant,
    runs: BTreeMap<String, u32>,
    copies: BTreeMap<(SocketAddr, String), u32>,
    cached: BTreeSet<u64>,
}

impl Node {
    /// An upstream that runs.
    pub fn new(upstream: Upstream, events: u32) -> Self {
        Self {
            upstream,
            events,
            fault: None,
            departing: false,
            reached: 0,
            life: watch::Sender::new(Life::Up),
            reading_until: Instant::now(),
            runs: BTreeMap::new(),
            copies: BTreeMap::new(),
            cached: BTreeSet::new(),
        }
    }

    /// Whether it accepts connections.
    pub fn is_up(&self) -> bool {
        *self.life.borrow() == Life::Up
    }

    /// Whether it is silent.
    pub fn is_dark(&self) -> bool {
        *self.life.borrow() == Life::Dark
    }

    pub(super) fn crash(&mut self, dark: bool) {
        self.runs.clear();
        self.copies.clear();
        self.cached.clear();
        self.life.send_replace(if dark { Life::Dark } else { Life::Down });
    }

    pub(super) fn restart(&mut self, new_id: &str) {
        self.life = watch::Sender::new(Life::Up);
        self.reading_until = Instant::now();
        self.upstream.id = new_id.to_owned();
        self.upstream.incarnation += 1;
    }

    /// Adds a prompt to what is to be read; returns when that is done.
    pub(super) fn read(&mut self, request: &str, tokens: u32, affinity: u64) -> (Instant, u64) {
        let unread = if self.cached.contains(&affinity) { 0 } else { u64::from(tokens) };
        let begins = self.reading_until.max(Instant::now());
        self.reading_until = begins + Duration::from_millis(unread / PREFILL_TOKENS_PER_MS);
        self.runs.insert(request.to_owned(), 0);
        (self.reading_until, unread)
    }

    pub(super) fn keep_prompt(&mut self, affinity: u64) {
        self.cached.insert(affinity);
    }

    pub(super) fn kept_prompts(&self) -> Vec<u64> {
        self.cached.iter().copied().collect()
    }

    /// Time until the next event of a run.
    pub(super) fn pace(&self) -> Duration {
        let alone = if Instant::now() < self.reading_until { EVENT_BESIDE_PREFILL } else { EVENT };
        let crowd = Duration::from_millis(self.runs.len() as u64);
        match self.fault {
            Some(Fault::Slow(times)) => (alone + crowd) * times,
            _ => alone + crowd,
        }
    }

    pub(super) fn progress(&mut self, request: &str, events: u32) {
        self.runs.insert(request.to_owned(), events);
    }

    pub(super) fn end(&mut self, request: &str) {
        self.runs.remove(request);
    }

    pub(super) fn has_run(&self, request: &str) -> bool {
        self.runs.contains_key(request)
    }

    pub(super) fn events_of(&self, request: &str) -> Option<u32> {
        self.runs.get(request).copied()
    }

    pub(super) fn store(&mut self, origin: SocketAddr, name: &str, events: u32) {
        if self.is_up() {
            self.copies.insert((origin, name.to_owned()), events);
        }
    }

    pub(super) fn holds_copy(&self, request: &str) -> bool {
        self.copies.keys().any(|(_, name)| name.ends_with(request))
    }

    pub(super) fn take_copy(&mut self, origin: SocketAddr, name: &str) -> Option<u32> {
        self.copies.remove(&(origin, name.to_owned()))
    }

    /// Frees copies of that name.
    pub(super) fn free(&mut self, name: &str) {
        self.copies.retain(|(_, known), _| known != name);
    }

    /// Runs are listed from their first event on.
    pub(super) fn report(&self) -> Report {
        let generating = self.runs.iter().filter(|(_, events)| **events > 0);
        let generating: Vec<_> = generating.map(|(request, _)| request.clone()).collect();
        Report {
            has_models: self.events > 0,
            waiting: 0,
            running: self.runs.len() as u32,
            unread: (self.runs.len() - generating.len()) as u32,
            memory_tokens: 9_000 * (self.runs.len() + self.copies.len()) as u32,
            incarnation: self.upstream.incarnation,
            runs: generating,
        }
    }
}
