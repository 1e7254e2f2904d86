//! The task that asks engines.

use super::round::Round;
use super::{MAX_ENGINES, PromptQuery, UNSHARED_ENGINES};
use crate::clock::Clock;
use crate::fleet::Upstream;
use crate::mailbox::Mailbox;
use crate::placement::Placer;
use crate::prelude::*;
use crate::scope::Scope;
use crate::upstream::Client;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};

/// Limit of a question; engines answer in a round trip and delay others' work little.
const QUESTION_LIMIT: Duration = Duration::from_millis(60);
/// Answers serve again for so long. Callers of a lost entry VM return within a fraction of a second.
const ANSWERS_KEPT: Duration = Duration::from_millis(300);

/// Engines that serve one model.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    service: String,
    model: String,
}

/// What the task is told.
#[derive(Debug)]
pub enum Message {
    /// Find a prompt.
    Find {
        /// Prompt.
        query: PromptQuery,
        /// Engine that has it.
        reply: oneshot::Sender<Option<String>>,
    },
    /// An engine's answer.
    Told {
        /// What was asked.
        key: Key,
        /// Round in which it was asked.
        round: u64,
        /// Engine.
        engine: String,
        /// Parts that it keeps.
        parts: Vec<u64>,
    },
}

/// The task.
pub struct Task {
    clock: Clock,
    placer: Placer,
    client: Arc<dyn Client>,
    rounds: BTreeMap<Key, Round>,
    scope: Scope,
    mailbox: Mailbox<Message>,
}

impl Task {
    /// The task that asks engines of `placer`.
    pub fn new(
        clock: Clock,
        placer: Placer,
        client: Arc<dyn Client>,
        scope: Scope,
        mailbox: Mailbox<Message>,
    ) -> Self {
        Self { clock, placer, client, rounds: BTreeMap::new(), scope, mailbox }
    }

    /// Runs until all handles are gone.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            match message {
                Message::Find { query: PromptQuery { service, model, part }, reply } => {
                    let key = Key { service, model };
                    self.begin_round(&key).await;
                    if let Some(round) = self.rounds.get_mut(&key) {
                        round.serve(part, reply);
                    }
                }
                Message::Told { key, round, engine, parts } => {
                    let known = self.rounds.get_mut(&key).filter(|known| known.number == round);
                    if let Some(known) = known {
                        known.take(&engine, parts);
                    }
                }
            }
        }
    }

    /// Asks engines unless that was done a moment ago.
    async fn begin_round(&mut self, key: &Key) {
        let now = self.clock.now();
        let last = self.rounds.get(key);
        if last.is_some_and(|round| now < round.began + ANSWERS_KEPT) {
            return;
        }
        let number = last.map_or(0, |round| round.number) + 1;
        let engines = self.engines(&key.service).await;
        info!("kept_prompts_asked", kv: { service = key.service, engines = engines.len() });
        self.rounds.insert(key.clone(), Round::new(number, now, engines.len()));
        for engine in engines {
            let (client, mailbox, key) = (self.client.clone(), self.mailbox.clone(), key.clone());
            self.scope.spawn(async move {
                let answer = client.cached_parts(engine.address, &key.model, QUESTION_LIMIT).await;
                let (engine, parts) = (engine.id.clone(), answer.unwrap_or_default());
                mailbox.send(Message::Told { key, round: number, engine, parts });
            });
        }
    }

    /// All engines, or where they are too many those that this entry VM owns.
    async fn engines(&self, service: &str) -> Vec<Arc<Upstream>> {
        let all = self.placer.engines(service).await;
        if all.len() <= UNSHARED_ENGINES {
            return all;
        }
        let owned = self.placer.own_engines(service).await;
        if owned.len() <= MAX_ENGINES { owned } else { Vec::new() }
    }
}
