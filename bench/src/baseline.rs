//! What callers would do without the system: go to engines themselves and start again.

use crate::load::{Draft, DraftRecord, Plan, Records, drafts};
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

const SILENCE: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(50);
const MAX_TRIES: u32 = 200;
const CALLER: &str = "caller";

/// How a caller goes on after a loss.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Strategy {
    /// Submits the prompt alone and waits until the answer is as long as before.
    StartOver,
    /// Submits the prompt and the tokens so far to any engine.
    Resume,
}

/// Offers the drafts of a plan to the engines directly.
pub async fn offer(system: &Arc<System>, plan: &Plan, seed: u64, strategy: Strategy) -> Records {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for (index, draft) in drafts(system.deployment, plan, seed).into_iter().enumerate() {
        let runner = Runner {
            system: system.clone(),
            strategy,
            rng: ChaCha12Rng::seed_from_u64(seed * 10_000 + index as u64),
            name: format!("{index:032x}"),
            whole: Completion::default(),
            began: start + draft.at,
            draft,
        };
        tasks.spawn(runner.run());
    }
    Records { drafts: tasks.join_all().await, ..Records::default() }
}

struct Runner {
    system: Arc<System>,
    strategy: Strategy,
    rng: ChaCha12Rng,
    name: String,
    whole: Completion,
    began: Instant,
    draft: Draft,
}

impl Runner {
    async fn run(mut self) -> DraftRecord {
        sleep_until(self.began).await;
        self.whole.generations.push(self.name.clone());
        for attempt in 1..=MAX_TRIES {
            if self.attempt(attempt).await {
                let (draft, began) = (self.draft, self.began);
                return DraftRecord { draft, began, result: Ok(self.whole) };
            }
            sleep(PAUSE).await;
        }
        DraftRecord { draft: self.draft, began: self.began, result: Err(Unfinished::Unreachable) }
    }

    /// Runs one attempt at a random engine; true when the answer is whole.
    async fn attempt(&mut self, attempt: u32) -> bool {
        let pools = crate::deployment::upstreams(&self.system.objects);
        let model = Some(&self.draft.request.model);
        let able: Vec<_> =
            pools.into_iter().filter(|(_, pool)| pool.model.as_ref() == model).collect();
        let (upstream, pool) = able[self.rng.random_range(0..able.len())];
        let request = &self.draft.request;
        let held = match self.strategy {
            Strategy::StartOver => Vec::new(),
            Strategy::Resume => self.whole.tokens.clone(),
        };
        let submission = Submission {
            generation: self.name.clone(),
            attempt,
            model: request.model.clone(),
            version: pool.version.clone().unwrap_or_default(),
            adapter: None,
            prompt: request.prompt.clone(),
            emitted: held.clone(),
            max_tokens: request.max_tokens,
            sampling: request.sampling.clone(),
            priority: 1,
        };
        let fleet = standin::engine::Fleet::new(
            self.system.engines.clone(),
            self.system.network.clone(),
            CALLER,
        );
        match timeout(SILENCE, fleet.submit(&upstream.address, &submission)).await {
            Ok(Ok(stream)) => self.read(stream, held).await,
            _ => false,
        }
    }

    async fn read(&mut self, mut stream: Stream, mut tokens: Vec<String>) -> bool {
        while let Ok(Some(Ok(Chunk { body, .. }))) = timeout(SILENCE, stream.next()).await {
            match body {
                Body::Started { version } => self.whole.version = version,
                Body::Tokens { tokens: fresh, .. } => {
                    tokens.extend(fresh);
                    if tokens.len() > self.whole.tokens.len() {
                        self.whole.tokens.clone_from(&tokens);
                        self.whole.arrivals.push((self.began.elapsed(), tokens.len()));
                    }
                }
                Body::Ended { .. } => return true,
            }
        }
        false
    }
}
