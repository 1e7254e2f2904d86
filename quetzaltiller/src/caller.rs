//! Client library for callers that keeps working when entry VMs are lost.
//!
//! [`Caller::generate`] streams one generation. When a connection breaks, falls silent or is handed
//! over, it continues at the next entry VM with the last event id. If the system has lost the
//! tokens, it sends those that it has received. It checks every index, the total and the checksum.

mod http;
mod transport;

pub use http::Http;
pub use transport::{Failure, Frame, Frames, Transport};

use crate::digest::Checksum;
use crate::generation::Request;
use crate::prelude::*;
use crate::service::{Answer, Call};
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout};

/// Silence of a stream after which the caller goes to another entry VM; entry VMs send a keep-alive
/// four times a second when they have nothing else to send.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time limit for one entry VM to return the list of entry VMs.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next entry VM is tried, unless a refusal sets another one.
const DEFAULT_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the pause that a refusal sets.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// Client of the system for one account.
pub struct Caller {
    transport: Arc<dyn Transport>,
    seeds: Vec<String>,
    entry_list: Mutex<EntryList>,
}

/// Addresses of entry VMs, best first, and when the list expires.
struct EntryList {
    entries: Vec<String>,
    expires_at: Option<Instant>,
}

/// A complete answer and how it was delivered.
#[derive(Clone, Debug, Default)]
pub struct Completion {
    /// Tokens of the answer.
    pub tokens: Vec<String>,
    /// Version of the model that generated the tokens.
    pub version: String,
    /// Arrivals of tokens: time since the request, and the number of tokens received by then.
    pub arrivals: Vec<(Duration, usize)>,
    /// Number of connections after the first.
    pub reconnects: u32,
    /// Ids of the generations under which the system served the request.
    pub generations: Vec<String>,
}

impl Completion {
    /// Time from the request to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        self.arrivals.first().map(|(at, _)| *at)
    }

    /// Longest wait between tokens.
    pub fn longest_gap(&self) -> Duration {
        let pairs = self.arrivals.iter().zip(self.arrivals.iter().skip(1));
        pairs.map(|((before, _), (after, _))| *after - *before).max().unwrap_or_default()
    }
}

/// Why a generation has no complete answer.
#[derive(Clone, Debug)]
pub enum Unfinished {
    /// The system refused or ended the generation.
    Refused(Refusal),
    /// The system sent an inconsistent answer.
    Violation(Violation),
    /// No entry VM made progress within the patience, and none gave a reason.
    Unreachable,
}

/// Inconsistency that the caller found in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Violation {
    /// Tokens arrived with an index other than the next one.
    Index {
        /// Index of the next token.
        expected: u32,
        /// Index that was received.
        found: u32,
    },
    /// Another version of the model continued the generation.
    Version,
    /// The total differs from the number of tokens received.
    Total {
        /// Number of tokens received.
        held: u32,
        /// Total that the system sent.
        total: u32,
    },
    /// The checksum differs from that of the tokens received.
    Checksum,
}

/// Callback that receives tokens as they arrive.
pub type Watcher<'a> = &'a mut (dyn FnMut(&[String]) + Send);

impl Caller {
    /// Creates a caller that fetches the list of entry VMs to use from the addresses in `seeds`.
    pub fn new(transport: Arc<dyn Transport>, seeds: Vec<String>) -> Self {
        let entry_list = Mutex::new(EntryList { entries: seeds.clone(), expires_at: None });
        Self { transport, seeds, entry_list }
    }

    /// Entry VMs to use now, best first: the cached list until it expires, then a fresh one. If no
    /// entry VM returns one, the expired list stays in use.
    pub async fn entries(&self) -> Vec<String> {
        let mut list = self.entry_list.lock().await;
        if list.expires_at.is_some_and(|expires_at| Instant::now() < expires_at) {
            return list.entries.clone();
        }
        for address in list.entries.iter().chain(&self.seeds).cloned().collect::<Vec<_>>() {
            let fetched = timeout(LIST_TIMEOUT, self.transport.entries(&address)).await;
            let Ok(Ok(fresh)) = fetched else {
                continue;
            };
            if !fresh.entries.is_empty() {
                let lifetime = Duration::from_millis(fresh.lifetime_ms);
                list.expires_at = Some(Instant::now() + lifetime);
                list.entries = fresh.entries.into_iter().map(|entry| entry.address).collect();
                break;
            }
        }
        list.entries.clone()
    }

    /// Streams a generation to its end and passes tokens to `watch` as they arrive. Fails after
    /// `patience` without a new token.
    pub async fn generate(
        &self,
        request: &Request,
        patience: Duration,
        watch: Watcher<'_>,
    ) -> Result<Completion, Unfinished> {
        let mut partial = PartialCompletion::new(request.clone());
        let mut pause = DEFAULT_PAUSE;
        loop {
            let entries = self.entries().await;
            let entry = &entries[0];
            let tokens_before = partial.completion.tokens.len();
            match self.stream(entry, &mut partial, watch).await? {
                NextStep::Done => return Ok(partial.completion),
                NextStep::Reconnect => {}
                NextStep::ReconnectAfter(after) => pause = pause.max(after.min(MAX_PAUSE)),
            }
            if partial.completion.tokens.len() > tokens_before {
                partial.last_progress = Instant::now();
                pause = DEFAULT_PAUSE;
            }
            if partial.last_progress.elapsed() > patience {
                return Err(partial.refusal.map_or(Unfinished::Unreachable, Unfinished::Refused));
            }
            partial.completion.reconnects += 1;
            self.demote(entry).await;
            tokio::time::sleep(pause).await;
        }
    }

    /// Calls a plain service. Until `patience` is over, the call is repeated at other entry VMs as
    /// long as it was not run or may be repeated under its key.
    pub async fn call(&self, service: &str, call: &Call, patience: Duration) -> Reply {
        let deadline = Instant::now() + patience;
        let mut failure = Reply::Unreachable;
        loop {
            let entries = self.entries().await;
            let entry = &entries[0];
            let remaining = deadline.saturating_duration_since(Instant::now());
            let pause = match timeout(remaining, self.transport.call(entry, service, call)).await {
                Ok(Ok(answer)) => return Reply::Answered(answer),
                Ok(Err(Failure::Refused(refusal))) if refusal.retry_after_ms == 0 => {
                    return Reply::Refused(refusal);
                }
                Ok(Err(Failure::Refused(refusal))) => {
                    let pause = Duration::from_millis(refusal.retry_after_ms);
                    failure = Reply::Refused(refusal);
                    pause.min(MAX_PAUSE)
                }
                Ok(Err(Failure::Broken)) => {
                    failure = Reply::Broken;
                    DEFAULT_PAUSE
                }
                Ok(Err(Failure::Unreachable)) | Err(_) => DEFAULT_PAUSE,
            };
            if Instant::now() + pause >= deadline {
                return failure;
            }
            self.demote(entry).await;
            tokio::time::sleep(pause).await;
        }
    }

    /// Moves an entry VM that failed to the end of the list.
    async fn demote(&self, entry: &str) {
        let mut list = self.entry_list.lock().await;
        if let Some(place) = list.entries.iter().position(|address| address == entry) {
            list.entries[place..].rotate_left(1);
        }
    }

    async fn stream(
        &self,
        entry: &str,
        partial: &mut PartialCompletion,
        watch: Watcher<'_>,
    ) -> Result<NextStep, Unfinished> {
        let opening = self.transport.generate(entry, &partial.request, partial.last_event.as_ref());
        let mut frames = match timeout(SILENCE_TIMEOUT, opening).await {
            Ok(Ok(frames)) => frames,
            Ok(Err(Failure::Refused(refusal))) => return partial.handle_refusal(refusal),
            Ok(Err(Failure::Broken | Failure::Unreachable)) | Err(_) => {
                return Ok(NextStep::Reconnect);
            }
        };
        partial.request.emitted = None;
        partial.request.version = None;
        while let Ok(Some(frame)) = timeout(SILENCE_TIMEOUT, frames.recv()).await {
            let Frame::Event(id, event) = frame else {
                continue;
            };
            if let Some(next) = partial.handle_event(id, event, watch)? {
                return Ok(next);
            }
        }
        Ok(NextStep::Reconnect)
    }
}

/// Outcome of a service call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The service answered.
    Answered(Answer),
    /// The system refused the call.
    Refused(Refusal),
    /// The connection broke after the call was sent.
    Broken,
    /// No entry VM could be reached.
    Unreachable,
}

/// What the caller does after a stream has ended.
enum NextStep {
    Done,
    Reconnect,
    ReconnectAfter(Duration),
}

/// Tokens received so far, and the state that a reconnect needs.
struct PartialCompletion {
    request: Request,
    completion: Completion,
    checksum: Checksum,
    last_event: Option<EventId>,
    refusal: Option<Refusal>,
    started: Instant,
    last_progress: Instant,
}

impl PartialCompletion {
    fn new(request: Request) -> Self {
        let now = Instant::now();
        Self {
            request,
            completion: Completion::default(),
            checksum: Checksum::default(),
            last_event: None,
            refusal: None,
            started: now,
            last_progress: now,
        }
    }

    fn handle_event(
        &mut self,
        id: Option<EventId>,
        event: Event,
        watch: Watcher<'_>,
    ) -> Result<Option<NextStep>, Unfinished> {
        match event {
            Event::Start { version, generation, .. } => self.start(version, generation)?,
            Event::Tokens { index, tokens, .. } => {
                self.append(index, tokens, watch)?;
            }
            Event::End { total, checksum } => return self.finish(total, &checksum).map(Some),
            Event::Move { .. } => return Ok(Some(NextStep::Reconnect)),
            Event::Error(refusal) => return self.handle_refusal(refusal).map(Some),
        }
        self.last_event = id.or(self.last_event.take());
        Ok(None)
    }

    fn start(&mut self, version: String, generation: String) -> Result<(), Unfinished> {
        if !self.completion.tokens.is_empty() && self.completion.version != version {
            return Err(Unfinished::Violation(Violation::Version));
        }
        self.completion.version = version;
        if self.completion.generations.last() != Some(&generation) {
            self.completion.generations.push(generation);
        }
        Ok(())
    }

    fn append(
        &mut self,
        index: u32,
        tokens: Vec<String>,
        watch: Watcher<'_>,
    ) -> Result<(), Unfinished> {
        let expected = self.completion.tokens.len() as u32;
        if index != expected {
            return Err(Unfinished::Violation(Violation::Index { expected, found: index }));
        }
        watch(&tokens);
        tokens.iter().for_each(|token| self.checksum.add(token));
        self.completion.tokens.extend(tokens);
        self.completion.arrivals.push((self.started.elapsed(), self.completion.tokens.len()));
        Ok(())
    }

    fn finish(&self, total: u32, checksum: &str) -> Result<NextStep, Unfinished> {
        let held = self.completion.tokens.len() as u32;
        if total != held {
            return Err(Unfinished::Violation(Violation::Total { held, total }));
        }
        if checksum != self.checksum.hex() {
            return Err(Unfinished::Violation(Violation::Checksum));
        }
        Ok(NextStep::Done)
    }

    fn handle_refusal(&mut self, refusal: Refusal) -> Result<NextStep, Unfinished> {
        let next = match refusal.code {
            Code::TokensNeeded | Code::GenerationUnknown if self.last_event.is_some() => {
                self.request.emitted = Some(self.completion.tokens.clone());
                self.request.version = Some(self.completion.version.clone());
                NextStep::Reconnect
            }
            Code::Superseded | Code::Leaving => NextStep::Reconnect,
            _ if refusal.retry_after_ms > 0 => {
                NextStep::ReconnectAfter(Duration::from_millis(refusal.retry_after_ms))
            }
            _ => return Err(Unfinished::Refused(refusal)),
        };
        self.refusal = Some(refusal);
        Ok(next)
    }
}
