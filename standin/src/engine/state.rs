//! State of a stand-in engine: its streams, and the step that prefills and decodes them.

use super::cache::Cache;
use super::order::Role;
use super::settings::Settings;
use crate::text::Chain;
use quetzaltiller::digest::Checksum;
use quetzaltiller::engine::{Body, Chunk, Error, Submission, blocks};
use quetzaltiller::generation::Request;
use rand::Rng as _;
use rand_chacha::ChaCha12Rng;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Most load samples kept for lagging reports.
const MAX_SAMPLES: usize = 256;
/// Time for which an ended stream is kept, so that a reader can reattach to it.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Work that an engine has done, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Work {
    /// Tokens prefilled.
    pub prefilled: u64,
    /// Tokens found in the prefix cache.
    pub cached: u64,
    /// Tokens decoded.
    pub decoded: u64,
    /// Tokens prefilled for streams that resume an earlier attempt; part of `prefilled`.
    pub resumed: u64,
}

/// Record of a stream that an engine accepted.
#[derive(Clone, Debug)]
pub struct Submitted {
    /// When the stream was accepted.
    pub at: Instant,
    /// Id of the generation.
    pub generation: String,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Whether the stream resumes an earlier attempt.
    pub resumed: bool,
}

/// A stream that has not ended, with the text that another engine would have to prefill if it were
/// lost.
#[derive(Clone, Debug)]
pub struct Running {
    /// Id of the generation.
    pub generation: String,
    /// Number of tokens of prompt and answer.
    pub tokens: usize,
    /// Digests of the blocks of prompt and answer.
    pub blocks: Vec<u64>,
}

/// Generation id and attempt number.
pub(super) type Key = (String, u32);

pub(super) struct Stream {
    pub(super) chain: Chain,
    pub(super) total: u32,
    pub(super) tokens: Vec<String>,
    pub(super) prefill_left: f64,
    pub(super) blocks: Vec<u64>,
    pub(super) prompt: Arc<str>,
    pub(super) resumed: bool,
    pub(super) priority: u8,
    pub(super) arrival: u64,
    pub(super) ended_at: Option<Instant>,
    pub(super) checksum: Checksum,
}

impl Stream {
    pub(super) fn running(&self, generation: &str) -> Running {
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

pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) role: Role,
    pub(super) fence: u64,
    pub(super) loading_until: Option<Instant>,
    pub(super) incarnation: u64,
    pub(super) connections: u64,
    pub(super) streams: BTreeMap<Key, Stream>,
    pub(super) arrivals: u64,
    pub(super) cache: Cache,
    pub(super) work: Work,
    pub(super) samples: VecDeque<(Instant, u32, u32)>,
    pub(super) submitted: Vec<Submitted>,
    pub(super) rng: ChaCha12Rng,
}

/// Position of a reader in a stream, bound to the engine's incarnation and the reader's connection.
pub struct Cursor {
    key: Key,
    next: u32,
    started: bool,
    finished: bool,
    incarnation: u64,
    connection: u64,
}

impl Cursor {
    pub(super) fn chunk(&self, body: Body) -> Chunk {
        Chunk { generation: self.key.0.clone(), attempt: self.key.1, body }
    }
}

/// Result of advancing a cursor.
pub(super) enum Advance {
    Chunk(Body),
    Broken,
    Finished,
    Silent,
    Wait,
}

impl State {
    pub(super) fn check(&self, submission: &Submission) -> Result<(), Error> {
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

    pub(super) fn new_stream(&mut self, submission: &Submission) -> Stream {
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

    pub(super) fn cursor(&self, key: Key, next: u32) -> Cursor {
        Cursor {
            key,
            next,
            started: false,
            finished: false,
            incarnation: self.incarnation,
            connection: self.connections,
        }
    }

    pub(super) fn advance(&self, cursor: &mut Cursor) -> Advance {
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

    /// Returns the duration of the next step; `None` without running streams.
    pub(super) fn step_time(&self) -> Option<Duration> {
        let running = self.streams.values().filter(|stream| stream.ended_at.is_none()).count();
        let batch = running.min(self.settings.max_batch) as u32;
        (batch > 0).then(|| self.settings.step + self.settings.step_per_stream * batch)
    }

    pub(super) fn step(&mut self, took: Duration) {
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

    pub(super) fn sample(&mut self) {
        let running = self.streams.values().filter(|stream| stream.ended_at.is_none()).count();
        let batch = running.min(self.settings.max_batch);
        self.samples.push_back((Instant::now(), batch as u32, (running - batch) as u32));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }
}
