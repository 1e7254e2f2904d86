//! Baselines without the system: callers contact the engines directly and handle losses themselves.

use crate::load::{Draft, DraftRecord, LoadPlan, Records, drafts};
use crate::system::System;
use futures::StreamExt as _;
use quetzaltiller::caller::{Completion, Unfinished};
use quetzaltiller::engine::{Body, Chunk, Client as _, Stream, Submission};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time without a chunk after which a caller gives up an attempt.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of attempts for a draft.
const MAX_TRIES: u32 = 200;
/// Network party of all callers.
const CALLER: &str = "caller";

/// How a caller continues after it loses an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// Submits the prompt alone; tokens count as new only beyond the length reached before.
    StartOver,
    /// Submits the prompt and the tokens received so far to any engine.
    Resume,
}

/// Submits the drafts of a plan to the engines directly and waits until all have ended.
pub async fn run_load(
    system: &Arc<System>,
    plan: &LoadPlan,
    seed: u64,
    strategy: Strategy,
) -> Records {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for (index, draft) in drafts(system.deployment, plan, seed).into_iter().enumerate() {
        let runner = DraftRunner {
            system: system.clone(),
            strategy,
            rng: ChaCha12Rng::seed_from_u64(seed * 10_000 + index as u64),
            name: format!("{index:032x}"),
            completion: Completion::default(),
            started_at: start + draft.at,
            draft,
        };
        tasks.spawn(runner.run());
    }
    Records { drafts: tasks.join_all().await, ..Records::default() }
}

/// Runs the attempts of one draft.
struct DraftRunner {
    system: Arc<System>,
    strategy: Strategy,
    rng: ChaCha12Rng,
    name: String,
    completion: Completion,
    started_at: Instant,
    draft: Draft,
}

impl DraftRunner {
    async fn run(mut self) -> DraftRecord {
        sleep_until(self.started_at).await;
        self.completion.generations.push(self.name.clone());
        for attempt in 1..=MAX_TRIES {
            if self.attempt(attempt).await {
                let (draft, started_at) = (self.draft, self.started_at);
                return DraftRecord { draft, started_at, result: Ok(self.completion) };
            }
            sleep(RETRY_DELAY).await;
        }
        DraftRecord {
            draft: self.draft,
            started_at: self.started_at,
            result: Err(Unfinished::Unreachable),
        }
    }

    /// Runs one attempt on a random engine of the model; returns whether the answer is complete.
    async fn attempt(&mut self, attempt: u32) -> bool {
        let upstreams = crate::deployment::upstreams(&self.system.objects);
        let model = Some(&self.draft.request.model);
        let candidates: Vec<_> =
            upstreams.into_iter().filter(|(_, pool)| pool.model.as_ref() == model).collect();
        let (upstream, pool) = candidates[self.rng.random_range(0..candidates.len())];
        let request = &self.draft.request;
        let emitted = match self.strategy {
            Strategy::StartOver => Vec::new(),
            Strategy::Resume => self.completion.tokens.clone(),
        };
        let submission = Submission {
            generation: self.name.clone(),
            attempt,
            model: request.model.clone(),
            version: pool.version.clone().unwrap_or_default(),
            adapter: None,
            prompt: request.prompt.clone(),
            emitted: emitted.clone(),
            max_tokens: request.max_tokens,
            sampling: request.sampling.clone(),
            priority: 1,
        };
        let fleet = standin::engine::Fleet::new(
            self.system.engines.clone(),
            self.system.network.clone(),
            CALLER,
        );
        match timeout(SILENCE_TIMEOUT, fleet.submit(&upstream.address, &submission)).await {
            Ok(Ok(stream)) => self.read(stream, emitted).await,
            _ => false,
        }
    }

    async fn read(&mut self, mut stream: Stream, mut tokens: Vec<String>) -> bool {
        while let Ok(Some(Ok(Chunk { body, .. }))) = timeout(SILENCE_TIMEOUT, stream.next()).await {
            match body {
                Body::Started { version } => self.completion.version = version,
                Body::Tokens { tokens: new_tokens, .. } => {
                    tokens.extend(new_tokens);
                    if tokens.len() > self.completion.tokens.len() {
                        self.completion.tokens.clone_from(&tokens);
                        self.completion.arrivals.push((self.started_at.elapsed(), tokens.len()));
                    }
                }
                Body::Ended { .. } => return true,
            }
        }
        false
    }
}
