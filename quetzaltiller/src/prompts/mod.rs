//! Finds engines that still have a prompt cached.
//!
//! A caller whose entry VM was lost returns to another one, which knows nothing of its run. Engines
//! keep prompts that they have read, so going on where the prompt lies costs no second prefill. All
//! engines of the service are asked at once, and what they tell serves whoever asks shortly after:
//! it answers the load of an entry VM's callers, or all of them, that return together.
//!
//! Where there are too many engines for one entry VM, each of a zone asks those that it owns, which
//! together are all, and they ask each other for the prompt at hand.

mod round;
mod task;

use crate::clock::Clock;
use crate::mailbox::Mailbox;
use crate::placement::Placer;
use crate::prelude::*;
use crate::scope::Scope;
use crate::upstream::Client;
use async_trait::async_trait;
use task::{Message, Task};

/// Engines up to which one entry VM asks all: where there are more, its zone has neighbours to share them
/// with, and each question is paid for.
const UNSHARED_ENGINES: usize = 200;
/// Engines that one entry VM asks at once: more cost it more than a prefill costs an engine.
const MAX_ENGINES: usize = 400;
/// Longest wait for the engines to be known after a start: less than it takes to read a prompt.
const START_LIMIT: Duration = Duration::from_millis(400);

/// A prompt to be found.
#[derive(Clone, Debug)]
pub struct PromptQuery {
    /// Service whose engines may have it.
    pub service: String,
    /// Model that reads it.
    pub model: String,
    /// Its last part.
    pub part: u64,
}

/// Entry VMs that own the other engines.
#[async_trait]
pub trait Neighbours: Send + Sync {
    /// Engine of theirs that has the prompt cached.
    async fn find(&self, query: &PromptQuery) -> Option<String>;
}

/// Handle to the task that asks engines.
#[derive(Clone)]
pub struct Finder {
    placer: Placer,
    neighbours: Arc<dyn Neighbours>,
    mailbox: Mailbox<Message>,
}

impl Finder {
    /// Starts the task in `scope`.
    pub fn start(
        scope: &Scope,
        clock: Clock,
        placer: Placer,
        client: Arc<dyn Client>,
        neighbours: Arc<dyn Neighbours>,
    ) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let task = Task::new(clock, placer.clone(), client, scope.clone(), mailbox.clone());
        scope.spawn(task.run(messages));
        Self { placer, neighbours, mailbox }
    }

    /// Engine that has the prompt cached.
    pub async fn find(&self, query: &PromptQuery) -> Option<String> {
        self.prepared().await;
        if self.placer.engines(&query.service).await.len() <= UNSHARED_ENGINES {
            return self.ask_engines(query).await;
        }
        tokio::select! {
            biased;
            Some(engine) = self.ask_engines(query) => Some(engine),
            Some(engine) = self.neighbours.find(query) => Some(engine),
            else => None,
        }
    }

    /// Engine that has the prompt cached, among those that this entry VM asks.
    pub async fn find_local(&self, query: &PromptQuery) -> Option<String> {
        self.prepared().await;
        self.ask_engines(query).await
    }

    async fn ask_engines(&self, query: &PromptQuery) -> Option<String> {
        let query = query.clone();
        self.mailbox.request(|reply| Message::Find { query, reply }).await?
    }

    /// An entry VM that starts does not know yet which engines it owns.
    async fn prepared(&self) {
        let known =
            async { tokio::join!(self.placer.wait_for_members(), self.placer.wait_for_listing()) };
        if tokio::time::timeout(START_LIMIT, known).await.is_err() {
            debug!("engines_awaited_in_vain", kv: { limit_ms = START_LIMIT.as_millis() as u64 });
        }
    }
}
