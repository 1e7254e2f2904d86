//! Finds engines that still have a prompt cached.
//!
//! A caller whose entry VM was lost returns to another one, which has no record of its run. Engines
//! cache the prompts that they have read, so resuming at such an engine saves a second prefill. All
//! engines of the service are queried at once, and their answers also serve the searches that
//! follow shortly after: the callers of a lost entry VM, or of all of them, return together.
//!
//! If there are too many engines for one entry VM, each entry VM of a zone queries the engines that
//! it owns, which together are all, and the entry VMs query each other for the prompt.

mod round;
pub mod rounds;
mod task;

use crate::clock::Clock;
use crate::mailbox::Mailbox;
use crate::placement::Placer;
use crate::prelude::*;
use crate::scope::Scope;
use crate::upstream::Client;
use async_trait::async_trait;
use task::{Message, Task};

/// Maximum number of engines that one entry VM queries alone; where there are more, its zone has
/// other entry VMs to share them with, and each query has a cost.
const MAX_UNSHARED_ENGINES: usize = 200;
/// Maximum number of engines that one entry VM queries at once; more would cost it more than a
/// prefill costs an engine.
const MAX_QUERIED_ENGINES: usize = 400;
/// Maximum wait for the engines to be known after a start; less than the time to prefill a prompt.
const MAX_START_WAIT: Duration = Duration::from_millis(400);

/// Search for an engine that has a prompt cached.
#[derive(Clone, Debug)]
pub struct PromptQuery {
    /// Service whose engines may have the prompt.
    pub service: String,
    /// Model for which the prompt is cached.
    pub model: String,
    /// Identifier of the prompt's last part.
    pub part: u64,
}

/// Entry VMs that own the other engines.
#[async_trait]
pub trait Neighbours: Send + Sync {
    /// Identifier of an engine of theirs that has the prompt cached.
    async fn find(&self, query: &PromptQuery) -> Option<String>;
}

/// Handle to the task that queries engines for cached prompts.
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

    /// Identifier of an engine that has the prompt cached, found by this entry VM or a neighbour.
    pub async fn find(&self, query: &PromptQuery) -> Option<String> {
        self.wait_for_engines().await;
        if self.placer.engines(&query.service).await.len() <= MAX_UNSHARED_ENGINES {
            return self.query_engines(query).await;
        }
        tokio::select! {
            biased;
            Some(engine) = self.query_engines(query) => Some(engine),
            Some(engine) = self.neighbours.find(query) => Some(engine),
            else => None,
        }
    }

    /// Identifier of an engine that has the prompt cached, among those that this entry VM queries.
    pub async fn find_local(&self, query: &PromptQuery) -> Option<String> {
        self.wait_for_engines().await;
        self.query_engines(query).await
    }

    async fn query_engines(&self, query: &PromptQuery) -> Option<String> {
        let query = query.clone();
        self.mailbox.request(|reply| Message::Find { query, reply }).await?
    }

    /// Waits up to [`MAX_START_WAIT`] until it is known which engines there are and which of them
    /// this entry VM owns; both are unknown right after a start.
    async fn wait_for_engines(&self) {
        let known =
            async { tokio::join!(self.placer.wait_for_members(), self.placer.wait_for_listing()) };
        if tokio::time::timeout(MAX_START_WAIT, known).await.is_err() {
            debug!("engines_awaited_in_vain", kv: { limit_ms = MAX_START_WAIT.as_millis() as u64 });
        }
    }
}
