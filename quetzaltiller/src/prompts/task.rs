//! Task that queries engines for cached prompts.

use super::rounds::{RoundKey, Rounds};
use super::{MAX_QUERIED_ENGINES, MAX_UNSHARED_ENGINES, PromptQuery};
use crate::clock::Clock;
use crate::fleet::Upstream;
use crate::mailbox::Mailbox;
use crate::placement::Placer;
use crate::prelude::*;
use crate::scope::Scope;
use crate::upstream::Client;
use tokio::sync::{mpsc, oneshot};

/// Maximum time for an engine's answer; engines answer within a round trip, and the query hardly
/// delays their other work.
const QUERY_TIMEOUT: Duration = Duration::from_millis(60);

/// Message to the task.
#[derive(Debug)]
pub enum Message {
    /// Search for a cached prompt.
    Find {
        /// Prompt to search for.
        query: PromptQuery,
        /// Channel for the engine that has the prompt cached, or none.
        reply: oneshot::Sender<Option<String>>,
    },
    /// Answer of an engine; no parts if it failed.
    Answered {
        /// Engines that were queried.
        key: RoundKey,
        /// Number of the round in which the engine was queried.
        round: u64,
        /// Identifier of the engine.
        engine: String,
        /// Identifiers of the prompt parts that the engine has cached.
        parts: Vec<u64>,
    },
}

/// Task that owns the rounds of queries.
pub struct Task {
    clock: Clock,
    placer: Placer,
    client: Arc<dyn Client>,
    rounds: Rounds,
    scope: Scope,
    mailbox: Mailbox<Message>,
}

impl Task {
    /// Creates the task, which queries the engines that `placer` lists.
    pub fn new(
        clock: Clock,
        placer: Placer,
        client: Arc<dyn Client>,
        scope: Scope,
        mailbox: Mailbox<Message>,
    ) -> Self {
        Self { clock, placer, client, rounds: Rounds::default(), scope, mailbox }
    }

    /// Handles messages until the channel is closed.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            match message {
                Message::Find { query: PromptQuery { service, model, part }, reply } => {
                    let key = RoundKey { service, model };
                    self.ensure_round(&key).await;
                    // Without a round the reply is dropped, and the caller learns of no engine.
                    if let Some(round) = self.rounds.get_mut(&key) {
                        round.answer(part, reply);
                    }
                }
                Message::Answered { key, round, engine, parts } => {
                    let current =
                        self.rounds.get_mut(&key).filter(|current| current.number == round);
                    if let Some(current) = current {
                        current.record_parts(&engine, parts);
                    }
                }
            }
        }
    }

    /// Starts a round of queries unless the last one is reused or there are too many.
    async fn ensure_round(&mut self, key: &RoundKey) {
        let now = self.clock.now();
        if self.rounds.has_current(key, now) || !self.rounds.has_room() {
            return;
        }
        let engines = self.engines(&key.service).await;
        info!("kept_prompts_asked", kv: { service = key.service, engines = engines.len() });
        let number = self.rounds.begin(key.clone(), now, engines.len());
        for engine in engines {
            let (client, mailbox, key) = (self.client.clone(), self.mailbox.clone(), key.clone());
            self.scope.spawn(async move {
                let answer = client.cached_parts(engine.address, &key.model, QUERY_TIMEOUT).await;
                let (engine, parts) = (engine.id.clone(), answer.unwrap_or_default());
                mailbox.send(Message::Answered { key, round: number, engine, parts });
            });
        }
    }

    /// Engines to query: all of the service, or those that this entry VM owns if there are more
    /// than [`MAX_UNSHARED_ENGINES`]; none if it owns more than [`MAX_QUERIED_ENGINES`].
    async fn engines(&self, service: &str) -> Vec<Arc<Upstream>> {
        let all = self.placer.engines(service).await;
        if all.len() <= MAX_UNSHARED_ENGINES {
            return all;
        }
        let owned = self.placer.own_engines(service).await;
        if owned.len() <= MAX_QUERIED_ENGINES { owned } else { Vec::new() }
    }
}
