//! Finds engines that still have a prompt cached.
//!
//! A caller whose entry VM was lost returns to another one, which knows nothing of its run. Engines
//! keep prompts that they have read, so going on where the prompt lies costs no second prefill. All
//! engines of the service are asked at once, and what they tell serves whoever asks shortly after:
//! it answers the load of an entry VM's callers, or all of them, that return together.

use crate::clock::Clock;
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
/// Services with more engines are not asked: that would cost more than a prefill.
const MAX_ENGINES: usize = 400;

/// Part of a prompt at engines that serve one model.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    service: String,
    model: String,
}

#[derive(Debug)]
enum Message {
    Find { key: Key, part: u64, reply: oneshot::Sender<Option<String>> },
    Told { key: Key, round: u64, engine: String, parts: Vec<u64> },
}

/// Handle to the task that asks engines.
#[derive(Clone, Debug)]
pub struct Finder {
    mailbox: Mailbox<Message>,
}

impl Finder {
    /// Starts the task in `scope`.
    pub fn start(scope: &Scope, clock: Clock, placer: Placer, client: Arc<dyn Client>) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let task = Task {
            clock,
            placer,
            client,
            rounds: BTreeMap::new(),
            scope: scope.clone(),
            mailbox: mailbox.clone(),
        };
        scope.spawn(task.run(messages));
        Self { mailbox }
    }

    /// Engine of the service that has the prompt cached whose last part is `part`.
    pub async fn find(&self, service: &str, model: &str, part: u64) -> Option<String> {
        let key = Key { service: service.to_owned(), model: model.to_owned() };
        self.mailbox.ask(|reply| Message::Find { key, part, reply }).await?
    }
}

/// Questions to all engines of a service.
#[derive(Debug, Default)]
struct Round {
    number: u64,
    began: Duration,
    /// Engines that have not answered yet.
    due: usize,
    /// Engine by part.
    found: BTreeMap<u64, String>,
    waiting: Vec<(u64, oneshot::Sender<Option<String>>)>,
}

impl Round {
    fn serve(&mut self, part: u64, reply: oneshot::Sender<Option<String>>) {
        match self.found.get(&part) {
            Some(engine) => {
                let _ = reply.send(Some(engine.clone()));
            }
            None if self.due == 0 => {
                let _ = reply.send(None);
            }
            None => self.waiting.push((part, reply)),
        }
    }

    fn take(&mut self, engine: &str, parts: Vec<u64>) {
        self.due = self.due.saturating_sub(1);
        self.found.extend(parts.into_iter().map(|part| (part, engine.to_owned())));
        for (part, reply) in std::mem::take(&mut self.waiting) {
            self.serve(part, reply);
        }
    }
}

struct Task {
    clock: Clock,
    placer: Placer,
    client: Arc<dyn Client>,
    rounds: BTreeMap<Key, Round>,
    scope: Scope,
    mailbox: Mailbox<Message>,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            match message {
                Message::Find { key, part, reply } => {
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

    /// Asks all engines unless that was done a moment ago.
    async fn begin_round(&mut self, key: &Key) {
        let now = self.clock.now();
        let last = self.rounds.get(key);
        if last.is_some_and(|round| now < round.began + ANSWERS_KEPT) {
            return;
        }
        let number = last.map_or(0, |round| round.number) + 1;
        let engines = self.placer.engines(&key.service).await;
        let engines = if engines.len() <= MAX_ENGINES { engines } else { Vec::new() };
        info!("kept_prompts_asked", kv: { service = key.service, engines = engines.len() });
        let round = Round { number, began: now, due: engines.len(), ..Round::default() };
        self.rounds.insert(key.clone(), round);
        for engine in engines {
            let (client, mailbox, key) = (self.client.clone(), self.mailbox.clone(), key.clone());
            self.scope.spawn(async move {
                let answer = client.kept_parts(engine.address, &key.model, QUESTION_LIMIT).await;
                let (engine, parts) = (engine.id.clone(), answer.unwrap_or_default());
                mailbox.tell(Message::Told { key, round: number, engine, parts });
            });
        }
    }
}
