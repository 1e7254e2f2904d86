//! Handles to sessions, the tasks that serve generations.

use super::context::Work;
use super::task::{Channels, Task};
use crate::prelude::*;
use serde::Serialize;
use tokio::sync::{mpsc, watch};

/// Maximum number of events queued for a slow caller; later tokens wait in the splice and are sent
/// together.
const SUBSCRIBER_QUEUE: usize = 8;
/// Maximum number of commands queued for a session.
const COMMAND_QUEUE: usize = 16;

/// Stream of a generation's events for one caller.
pub struct Subscription {
    /// Id of the generation.
    pub generation: String,
    /// Receiver of the events.
    pub events: mpsc::Receiver<Event>,
}

/// State of a generation, for the state dump.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// Account of the first caller.
    pub account: String,
    /// Upstream that runs the generation.
    pub upstream: Option<String>,
    /// Number of the attempt at the upstream.
    pub attempt: u32,
    /// Term of this owner.
    pub term: u32,
    /// Number of tokens so far.
    pub next: u32,
    /// Whether the upstream is suspected to have failed.
    pub suspected: bool,
    /// Whether a caller is connected.
    pub has_caller: bool,
}

/// Command to a session.
pub enum Command {
    /// Send the answer to another caller, which has the tokens before `next`.
    Attach {
        /// Index of the next token.
        next: u32,
        /// The caller's queue.
        sender: mpsc::Sender<Event>,
    },
    /// Cancel the generation.
    Cancel,
    /// Send the caller to other entry VMs.
    HandOver {
        /// Addresses of the entry VMs, best first.
        entries: Vec<String>,
    },
}

/// Handle to a session.
#[derive(Clone)]
pub struct Session {
    generation: String,
    account: Arc<str>,
    digest: Arc<str>,
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<Status>,
}

impl Session {
    /// Starts the session, registers it and returns it with the first caller's subscription.
    pub fn start(work: Work) -> (Self, Subscription) {
        let (commands_sender, commands) = mpsc::channel(COMMAND_QUEUE);
        let (events_sender, events) = mpsc::channel(SUBSCRIBER_QUEUE);
        let (status_sender, status) = watch::channel(Status::default());
        let session = Self {
            generation: work.origin.generation.clone(),
            account: work.account.name.as_str().into(),
            digest: work.request.digest().into(),
            commands: commands_sender,
            status,
        };
        let generation = session.generation.clone();
        work.context.registry.insert(&generation, session.clone());
        let channels = Channels { commands, events: events_sender, status: status_sender };
        Task::start(work, session.digest.to_string(), channels);
        (session, Subscription { generation, events })
    }

    /// Account of the first caller.
    pub fn account(&self) -> &str {
        &self.account
    }

    /// Current state.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Digest of the request.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Sends the answer to a caller that reconnects and has the tokens before `next`, in place of
    /// the former caller. `None` if the session has ended.
    pub async fn attach(&self, next: u32) -> Option<Subscription> {
        let (sender, events) = mpsc::channel(SUBSCRIBER_QUEUE);
        self.commands.send(Command::Attach { next, sender }).await.ok()?;
        Some(Subscription { generation: self.generation.clone(), events })
    }

    /// Cancels the generation.
    pub async fn cancel(&self) {
        let _ = self.commands.send(Command::Cancel).await;
    }

    /// Sends the caller to other entry VMs.
    pub async fn hand_over(&self, entries: Vec<String>) {
        let _ = self.commands.send(Command::HandOver { entries }).await;
    }
}
