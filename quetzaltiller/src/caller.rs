//! A caller: how a program uses the system and survives the loss of entry VMs.
//!
//! [`Caller::generate`] streams one generation. When a connection breaks, falls silent or is
//! handed over, it goes on at the next entry VM with the last event id; where the system has lost
//! the tokens it returns its own. It checks every index, the total and the checksum.

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

/// Silence after which the caller goes to another entry VM; entry VMs show life four times a second
/// where nothing else is sent.
const SILENCE: Duration = Duration::from_millis(600);
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// Uses the system for one account.
pub struct Caller {
    transport: Arc<dyn Transport>,
    seeds: Vec<String>,
    known: Mutex<Known>,
}

/// Entry VMs to use, and until when.
struct Known {
    entries: Vec<String>,
    until: Option<Instant>,
}

/// A whole answer, and how it came.
#[derive(Clone, Debug, Default)]
pub struct Completion {
    /// Tokens.
    pub tokens: Vec<String>,
    /// Version that generated them.
    pub version: String,
    /// When tokens arrived: time since the request, and the number of tokens held then.
    pub arrivals: Vec<(Duration, usize)>,
    /// Connections after the first.
    pub reconnects: u32,
    /// Identities under which the system served it.
    pub generations: Vec<String>,
}

impl Completion {
    /// Time to the first token.
    pub fn first_token(&self) -> Option<Duration> {
        self.arrivals.first().map(|(at, _)| *at)
    }

    /// Longest wait between tokens.
    pub fn longest_gap(&self) -> Duration {
        let pairs = self.arrivals.iter().zip(self.arrivals.iter().skip(1));
        pairs.map(|((before, _), (after, _))| *after - *before).max().unwrap_or_default()
    }
}

/// Why there is no whole answer.
#[derive(Clone, Debug)]
pub enum Unfinished {
    /// The system refused or ended it.
    Refused(Refusal),
    /// The system broke its promise.
    Violation(Violation),
    /// No entry VM answered within the patience.
    Unreachable,
}

/// What shows that an answer is not whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Violation {
    /// Tokens came at another index than the next.
    Index {
        /// Index of the next token.
        expected: u32,
        /// Index that came.
        found: u32,
    },
    /// Another version went on.
    Version,
    /// The total is not the number of tokens.
    Total {
        /// Tokens held.
        held: u32,
        /// Total that came.
        total: u32,
    },
    /// The checksum is not that of the tokens.
    Checksum,
}

/// How a caller is served while its answer comes.
pub type Watcher<'a> = &'a mut (dyn FnMut(&[String]) + Send);

impl Caller {
    /// A caller that knows some addresses of entry VMs and asks them which to use.
    pub fn new(transport: Arc<dyn Transport>, seeds: Vec<String>) -> Self {
        let known = Mutex::new(Known { entries: seeds.clone(), until: None });
        Self { transport, seeds, known }
    }

    /// Entry VMs to use now, best first: the kept list while it lasts, else a fresh one.
    pub async fn entries(&self) -> Vec<String> {
        let mut known = self.known.lock().await;
        if known.until.is_some_and(|until| Instant::now() < until) {
            return known.entries.clone();
        }
        for address in known.entries.iter().chain(&self.seeds).cloned().collect::<Vec<_>>() {
            let asked = timeout(ASK_TIMEOUT, self.transport.entries(&address)).await;
            let Ok(Ok(fresh)) = asked else {
                continue;
            };
            if !fresh.entries.is_empty() {
                let lifetime = Duration::from_millis(fresh.lifetime_ms);
                known.until = Some(Instant::now() + lifetime);
                known.entries = fresh.entries.into_iter().map(|entry| entry.address).collect();
                break;
            }
        }
        known.entries.clone()
    }

    /// Streams a generation to its end; `watch` sees tokens as they come.
    pub async fn generate(
        &self,
        request: &Request,
        patience: Duration,
        watch: Watcher<'_>,
    ) -> Result<Completion, Unfinished> {
        let mut draft = Draft::new(request.clone());
        let mut pause = PAUSE;
        loop {
            let entries = self.entries().await;
            let entry = &entries[0];
            let held = draft.completion.tokens.len();
            match self.stream(entry, &mut draft, watch).await? {
                Next::Done => return Ok(draft.completion),
                Next::Elsewhere => {}
                Next::Later(after) => pause = pause.max(after.min(MAX_PAUSE)),
            }
            if draft.completion.tokens.len() > held {
                draft.last_progress = Instant::now();
                pause = PAUSE;
            }
            if draft.last_progress.elapsed() > patience {
                return Err(draft.refusal.map_or(Unfinished::Unreachable, Unfinished::Refused));
            }
            draft.completion.reconnects += 1;
            self.demote(entry).await;
            tokio::time::sleep(pause).await;
        }
    }

    /// Calls a plain service; goes to another entry VM as long as the call was not run, or may be
    /// repeated under its key.
    pub async fn call(&self, service: &str, call: &Call, patience: Duration) -> Reply {
        let deadline = Instant::now() + patience;
        let mut last = Reply::Unreachable;
        loop {
            let entries = self.entries().await;
            let entry = &entries[0];
            let left = deadline.saturating_duration_since(Instant::now());
            let pause = match timeout(left, self.transport.call(entry, service, call)).await {
                Ok(Ok(answer)) => return Reply::Answered(answer),
                Ok(Err(Failure::Refused(refusal))) if refusal.retry_after_ms == 0 => {
                    return Reply::Refused(refusal);
                }
                Ok(Err(Failure::Refused(refusal))) => {
                    let pause = Duration::from_millis(refusal.retry_after_ms);
                    last = Reply::Refused(refusal);
                    pause.min(MAX_PAUSE)
                }
                Ok(Err(Failure::Broken)) => {
                    last = Reply::Broken;
                    PAUSE
                }
                Ok(Err(Failure::Unreachable)) | Err(_) => PAUSE,
            };
            if Instant::now() + pause >= deadline {
                return last;
            }
            self.demote(entry).await;
            tokio::time::sleep(pause).await;
        }
    }

    /// Puts an entry VM that failed behind the others.
    async fn demote(&self, entry: &str) {
        let mut known = self.known.lock().await;
        if let Some(place) = known.entries.iter().position(|known| known == entry) {
            known.entries[place..].rotate_left(1);
        }
    }

    async fn stream(
        &self,
        entry: &str,
        draft: &mut Draft,
        watch: Watcher<'_>,
    ) -> Result<Next, Unfinished> {
        let opened = self.transport.generate(entry, &draft.request, draft.last.as_ref());
        let mut frames = match timeout(SILENCE, opened).await {
            Ok(Ok(frames)) => frames,
            Ok(Err(Failure::Refused(refusal))) => return draft.refused(refusal),
            Ok(Err(Failure::Broken | Failure::Unreachable)) | Err(_) => return Ok(Next::Elsewhere),
        };
        draft.request.emitted = None;
        draft.request.version = None;
        while let Ok(Some(frame)) = timeout(SILENCE, frames.recv()).await {
            let Frame::Event(id, event) = frame else {
                continue;
            };
            if let Some(next) = draft.take(id, event, watch)? {
                return Ok(next);
            }
        }
        Ok(Next::Elsewhere)
    }
}

/// Outcome of a service call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The service's answer.
    Answered(Answer),
    /// The system's refusal.
    Refused(Refusal),
    /// The connection broke after the call was sent.
    Broken,
    /// No entry VM could be reached.
    Unreachable,
}

enum Next {
    Done,
    Elsewhere,
    Later(Duration),
}

struct Draft {
    request: Request,
    completion: Completion,
    checksum: Checksum,
    last: Option<EventId>,
    refusal: Option<Refusal>,
    started: Instant,
    last_progress: Instant,
}

impl Draft {
    fn new(request: Request) -> Self {
        let now = Instant::now();
        Self {
            request,
            completion: Completion::default(),
            checksum: Checksum::default(),
            last: None,
            refusal: None,
            started: now,
            last_progress: now,
        }
    }

    fn take(
        &mut self,
        id: Option<EventId>,
        event: Event,
        watch: Watcher<'_>,
    ) -> Result<Option<Next>, Unfinished> {
        match event {
            Event::Start { version, generation, .. } => self.start(version, generation)?,
            Event::Tokens { index, tokens, .. } => {
                self.append(index, tokens, watch)?;
            }
            Event::End { total, checksum } => return self.finish(total, &checksum).map(Some),
            Event::Move { .. } => return Ok(Some(Next::Elsewhere)),
            Event::Error(refusal) => return self.refused(refusal).map(Some),
        }
        self.last = id.or(self.last.take());
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

    fn finish(&self, total: u32, checksum: &str) -> Result<Next, Unfinished> {
        let held = self.completion.tokens.len() as u32;
        if total != held {
            return Err(Unfinished::Violation(Violation::Total { held, total }));
        }
        if checksum != self.checksum.hex() {
            return Err(Unfinished::Violation(Violation::Checksum));
        }
        Ok(Next::Done)
    }

    fn refused(&mut self, refusal: Refusal) -> Result<Next, Unfinished> {
        let next = match refusal.code {
            Code::TokensNeeded | Code::GenerationUnknown if self.last.is_some() => {
                self.request.emitted = Some(self.completion.tokens.clone());
                self.request.version = Some(self.completion.version.clone());
                Next::Elsewhere
            }
            Code::Superseded | Code::Leaving => Next::Elsewhere,
            _ if refusal.retry_after_ms > 0 => {
                Next::Later(Duration::from_millis(refusal.retry_after_ms))
            }
            _ => return Err(Unfinished::Refused(refusal)),
        };
        self.refusal = Some(refusal);
        Ok(next)
    }
}
