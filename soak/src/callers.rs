//! The load of a run: callers that send a random mix of requests over connections they keep.
//!
//! A caller opens another connection when its entry VM closes the old one or fails, and records the
//! outcome of each attempt for the checker.

use crate::deployment::{Deployment, Layout};
use crate::injector::Configured;
use crate::record::{Attempt, Kind, Outcome};
use futures::StreamExt as _;
use hyper::Method;
use platform_standin::caller::{self, Body, Connection};
use platform_standin::operator::{HOST, version_path};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

/// Prompt length of a draft, in tokens; an engine prefills it in a tenth of a second.
const PROMPT_TOKENS: u32 = 800;
/// Longest time that a caller allows for a draft; a silent one counts as cut sooner.
const DRAFT_PATIENCE: Duration = Duration::from_secs(15);
/// Longest time that a caller waits for the answer to a draft or for its next event.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);
/// Longest time that a caller waits for an order, status request or probe, and then for its body.
const CALL_PATIENCE: Duration = Duration::from_millis(2_500);
/// Most attempts of a caller at one draft, with the first.
const MAX_DRAFT_ATTEMPTS: u32 = 6;
/// Range of the pause between requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..160;
/// Lifetime of a resolved list of entry VMs.
const RESOLUTION_LIFETIME: Duration = Duration::from_secs(2);
/// Share of drafts that the caller abandons midway.
const LEAVE_SHARE: f64 = 0.05;

/// Settings and channels that all callers of a run share.
#[derive(Clone)]
pub struct Context {
    /// Addresses of the deployment.
    pub layout: Layout,
    /// Number of entry VMs.
    pub entries: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Start of the load.
    pub began: Instant,
    /// Newest configuration and its account key.
    pub configured: watch::Receiver<Configured>,
    /// Turns true when callers have to stop.
    pub stopped: watch::Receiver<bool>,
    /// Receives the record of each attempt.
    pub attempts: mpsc::UnboundedSender<Attempt>,
}

/// A caller, which has one request at a time.
pub struct Caller {
    context: Context,
    number: usize,
    random: ChaCha8Rng,
    sent: u32,
    connection: Option<Connection>,
    resolved: Vec<SocketAddr>,
    resolved_at: Option<Instant>,
}

impl Caller {
    /// Creates caller `number`, which draws its requests from the seed of the run and its number.
    pub fn new(context: Context, number: usize) -> Self {
        let seed = context.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        Self {
            context,
            number,
            random: ChaCha8Rng::seed_from_u64(seed),
            sent: 0,
            connection: None,
            resolved: Vec::new(),
            resolved_at: None,
        }
    }

    /// Sends requests until the end of the run.
    pub async fn run(mut self) {
        while !*self.context.stopped.borrow() {
            match self.random.random_range(0..10) {
                0..=1 => self.draft().await,
                2..=4 => self.call(Kind::Order).await,
                5..=7 => self.call(Kind::Status).await,
                _ => self.probe().await,
            }
            sleep(Duration::from_millis(self.random.random_range(PAUSE_MS))).await;
        }
    }

    async fn draft(&mut self) {
        let prompt_id = self.random.random::<u64>() >> 8;
        let abandons = self.random.random_bool(LEAVE_SHARE);
        let mut last_event = 0;
        for _ in 0..MAX_DRAFT_ATTEMPTS {
            let (mut attempt, body) =
                self.send(Kind::Draft, "/draft/1", Some(prompt_id), last_event).await;
            if let Some(body) = body {
                attempt.outcome = read_events(body, &attempt.id, abandons).await;
            }
            let outcome = attempt.outcome.clone();
            self.finish(attempt);
            match outcome {
                Outcome::Cut { events, .. } => {
                    last_event = events.last().copied().unwrap_or(last_event)
                }
                Outcome::Unsent | Outcome::Answered(429 | 502 | 503 | 504) => {}
                _ => return,
            }
            sleep(Duration::from_millis(150)).await;
        }
    }

    async fn call(&mut self, kind: Kind) {
        let path = if kind == Kind::Order { "/order/1" } else { "/status/1" };
        let (attempt, body) = self.send(kind, path, None, 0).await;
        self.end_call(attempt, body).await;
    }

    /// Sends a lookup to the route that only the newest configuration has, or only the one before
    /// it.
    async fn probe(&mut self) {
        let newest = self.context.configured.borrow().version;
        let version = newest - self.random.random_range(0..2).min(newest - 1);
        let path = format!("{}x", version_path(version));
        let (attempt, body) = self.send(Kind::Probe(version), &path, None, 0).await;
        self.end_call(attempt, body).await;
    }

    async fn end_call(&mut self, mut attempt: Attempt, body: Option<Body>) {
        if let Some(body) = body {
            let whole = timeout(CALL_PATIENCE, body.whole()).await;
            let own = |text: &[u8]| String::from_utf8_lossy(text).ends_with(&attempt.id);
            attempt.outcome = match whole {
                Ok(Ok(text)) => Outcome::Success { events: Vec::new(), own: own(&text) },
                _ => Outcome::Cut { events: Vec::new(), own: true },
            };
        }
        self.finish(attempt);
    }

    fn finish(&mut self, attempt: Attempt) {
        if matches!(attempt.outcome, Outcome::Cut { .. } | Outcome::Left | Outcome::Unsent) {
            self.connection = None;
        }
        let ended = self.context.began.elapsed();
        let _ = self.context.attempts.send(Attempt { ended, ..attempt });
    }

    /// Sends an attempt; returns its record, and the body to read if the status is 200.
    async fn send(
        &mut self,
        kind: Kind,
        path: &str,
        prompt_id: Option<u64>,
        last_event: u32,
    ) -> (Attempt, Option<Body>) {
        self.sent += 1;
        let id = format!("s{}c{}n{}", self.context.seed, self.number, self.sent);
        let connection = self.connect().await;
        let entry = connection.as_ref().map_or(self.context.layout.entry(0), Connection::address);
        let mut attempt = Attempt {
            id,
            kind,
            entry,
            sent: self.context.began.elapsed(),
            ended: Duration::ZERO,
            last_event,
            outcome: Outcome::Unsent,
        };
        let Some(mut connection) = connection else {
            return (attempt, None);
        };
        let key = self.context.configured.borrow().key.clone();
        let patience = if kind == Kind::Draft { DRAFT_PATIENCE } else { CALL_PATIENCE };
        let sent = caller::Attempt {
            id: &attempt.id,
            host: HOST,
            path,
            key: &key,
            patience,
            prompt: prompt_id.map(|id| (PROMPT_TOKENS, id)),
            shared_part: None,
            last_event: (last_event > 0).then_some(last_event),
        };
        let method = if kind == Kind::Order { Method::POST } else { Method::GET };
        let limit = if kind == Kind::Draft { SILENCE_LIMIT } else { patience };
        let cut = Outcome::Cut { events: Vec::new(), own: true };
        match timeout(limit, connection.send(method, &sent)).await {
            Ok(Ok(answer)) if answer.status == 200 => {
                if !answer.closes {
                    self.connection = Some(connection);
                }
                return (attempt, Some(answer.body));
            }
            Ok(Ok(answer)) => {
                attempt.outcome = Outcome::Answered(answer.status);
                // The body of a refusal is not read, so the connection can't be used again.
            }
            Ok(Err(error)) if error.kind() == ErrorKind::NotConnected => {}
            Ok(Err(_)) | Err(_) => attempt.outcome = cut,
        }
        (attempt, None)
    }

    async fn connect(&mut self) -> Option<Connection> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        self.resolve().await;
        let index = self.random.random_range(0..self.resolved.len().max(1));
        let address = *self.resolved.get(index)?;
        let opened = Connection::open(address).await;
        if opened.is_err() {
            self.resolved.remove(index);
        }
        opened.ok()
    }

    async fn resolve(&mut self) {
        let fresh = self.resolved_at.is_some_and(|at| at.elapsed() < RESOLUTION_LIFETIME);
        if fresh && !self.resolved.is_empty() {
            return;
        }
        for _ in 0..3 {
            let entry = self.random.random_range(0..self.context.entries);
            let zone = Deployment::zone(self.number);
            let answer = caller::resolve(self.context.layout.entries(entry), HOST, zone).await;
            if let Ok(addresses) = answer {
                self.resolved = addresses;
                self.resolved_at = Some(Instant::now());
                return;
            }
        }
    }
}

/// Reads the events of a draft; a caller that `abandons` abandons it after the first few.
async fn read_events(body: Body, id: &str, abandons: bool) -> Outcome {
    let (mut events, mut own) = (Vec::new(), true);
    let mut pieces = body.events();
    loop {
        let piece = match timeout(SILENCE_LIMIT, pieces.next()).await {
            Ok(None) => return Outcome::Success { events, own },
            Ok(Some(Ok(piece))) => piece,
            Ok(Some(Err(_))) | Err(_) => return Outcome::Cut { events, own },
        };
        own &= String::from_utf8_lossy(&piece.bytes).contains(&format!("data: {id}-"));
        events.extend(piece.number);
        if abandons && events.len() > 8 {
            return Outcome::Left;
        }
    }
}
