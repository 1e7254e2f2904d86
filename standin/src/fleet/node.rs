//! State of one stand-in upstream: its process, runs, copies and cached prompts.

use quetzaltiller::fleet::Upstream;
use quetzaltiller::upstream::Report;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Prefill speed, in prompt tokens per millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 8;
/// Interval between events of a run while no prompt is in prefill, without the time that runs add.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Interval between events of a run while a prompt is in prefill.
const EVENT_INTERVAL_DURING_PREFILL: Duration = Duration::from_millis(180);

/// Way in which a reachable upstream fails requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The upstream refuses requests without running them.
    Shed,
    /// The upstream refuses requests without running them and reports that it is closed for this
    /// time.
    Close(Duration),
    /// The upstream accepts requests, doesn't run them and never answers.
    Hang,
    /// The upstream runs requests, but their answers are lost.
    LoseAnswer,
    /// The upstream accepts requests and never answers; an engine prefills the prompt first.
    Swallow,
    /// A replica runs requests and answers with status 500; engines ignore this fault.
    Fail,
    /// The upstream takes this many times as long.
    Slow(u32),
}

/// Time in which an upstream sends nothing, after which it goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Silence {
    /// End of the silence.
    pub until: Instant,
    /// Whether connections are accepted meanwhile.
    pub accepts: bool,
}

/// State of an upstream's process, as its connections show it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessState {
    /// The process runs.
    Up,
    /// The process ended and its connections broke.
    Down,
    /// The process ended and its connections are silent.
    Silent,
}

/// Stand-in upstream: an engine, or a replica of a plain service.
pub struct Node {
    /// Entry of the upstream in the directory.
    pub upstream: Upstream,
    /// Number of events of each answer; 0 for a replica of a plain service.
    pub events: u32,
    /// Fault that applies to all requests.
    pub fault: Option<Fault>,
    /// Current or last silence.
    pub silence: Option<Silence>,
    /// Whether each answer says that the upstream accepts no new work.
    pub departing: bool,
    /// Requests per second that each answer names as the limit for all entry VMs together.
    pub limit: Option<f64>,
    /// Number of requests that reached the upstream.
    pub reached: u32,
    pub(super) process_state: watch::Sender<ProcessState>,
    prefill_until: Instant,
    runs: BTreeMap<String, u32>,
    copies: BTreeMap<(SocketAddr, String), u32>,
    cached: BTreeSet<u64>,
}

impl Node {
    /// Creates an upstream whose process runs.
    pub fn new(upstream: Upstream, events: u32) -> Self {
        Self {
            upstream,
            events,
            fault: None,
            silence: None,
            departing: false,
            limit: None,
            reached: 0,
            process_state: watch::Sender::new(ProcessState::Up),
            prefill_until: Instant::now(),
            runs: BTreeMap::new(),
            copies: BTreeMap::new(),
            cached: BTreeSet::new(),
        }
    }

    /// Whether the process runs and accepts connections.
    pub fn is_up(&self) -> bool {
        *self.process_state.borrow() == ProcessState::Up
    }

    /// Whether the process ended and its connections are silent.
    pub fn is_silent(&self) -> bool {
        *self.process_state.borrow() == ProcessState::Silent
    }

    /// Time at which the upstream goes on, if it is silent now.
    pub(super) fn silent_until(&self) -> Option<Instant> {
        self.silence.map(|silence| silence.until).filter(|until| Instant::now() < *until)
    }

    /// Whether the upstream accepts connections now.
    pub(super) fn accepts(&self) -> bool {
        let refuses = self.silence.is_some_and(|silence| !silence.accepts);
        self.is_up() && !(refuses && self.silent_until().is_some())
    }

    pub(super) fn crash(&mut self, silent: bool) {
        self.runs.clear();
        self.copies.clear();
        self.cached.clear();
        self.process_state.send_replace(if silent {
            ProcessState::Silent
        } else {
            ProcessState::Down
        });
    }

    pub(super) fn restart(&mut self, new_id: &str) {
        self.process_state = watch::Sender::new(ProcessState::Up);
        self.prefill_until = Instant::now();
        self.upstream.id = new_id.to_owned();
        self.upstream.incarnation += 1;
    }

    /// Queues a prompt for prefill; returns when its prefill ends and how many of its tokens are
    /// not cached.
    pub(super) fn queue_prefill(
        &mut self,
        request: &str,
        tokens: u32,
        affinity: u64,
    ) -> (Instant, u64) {
        let uncached = if self.cached.contains(&affinity) { 0 } else { u64::from(tokens) };
        let begins = self.prefill_until.max(Instant::now());
        self.prefill_until = begins + Duration::from_millis(uncached / PREFILL_TOKENS_PER_MS);
        self.runs.insert(request.to_owned(), 0);
        (self.prefill_until, uncached)
    }

    pub(super) fn cache_prompt(&mut self, affinity: u64) {
        self.cached.insert(affinity);
    }

    pub(super) fn cached_prompts(&self) -> Vec<u64> {
        self.cached.iter().copied().collect()
    }

    /// Returns the time until the next event of a run. Each run at the upstream adds a millisecond.
    pub(super) fn event_interval(&self) -> Duration {
        let base = if Instant::now() < self.prefill_until {
            EVENT_INTERVAL_DURING_PREFILL
        } else {
            EVENT_INTERVAL
        };
        let shared = Duration::from_millis(self.runs.len() as u64);
        match self.fault {
            Some(Fault::Slow(times)) => (base + shared) * times,
            _ => base + shared,
        }
    }

    pub(super) fn set_progress(&mut self, request: &str, events: u32) {
        self.runs.insert(request.to_owned(), events);
    }

    pub(super) fn end_run(&mut self, request: &str) {
        self.runs.remove(request);
    }

    pub(super) fn has_run(&self, request: &str) -> bool {
        self.runs.contains_key(request)
    }

    pub(super) fn events_of(&self, request: &str) -> Option<u32> {
        self.runs.get(request).copied()
    }

    pub(super) fn store_copy(&mut self, origin: SocketAddr, name: &str, events: u32) {
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

    /// Drops all copies with this name.
    pub(super) fn drop_copies(&mut self, name: &str) {
        self.copies.retain(|(_, known), _| known != name);
    }

    /// Returns the load report, which lists a run from its first event on.
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
