//! Handle to a session.

use super::context::Work;
use super::task::{Channels, Task};
use crate::prelude::*;
use serde::Serialize;
use tokio::sync::{mpsc, watch};

/// Events that wait for a slow caller; further tokens gather in the answer so far.
const SUBSCRIBER_QUEUE: usize = 8;
const COMMAND_QUEUE: usize = 16;

/// Events for one caller.
pub struct Subscription {
    /// Generation.
    pub generation: String,
    /// Events.
    pub events: mpsc::Receiver<Event>,
}

/// State of a generation, for the state dump.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// Account that asked.
    pub account: String,
    /// Upstream at work.
    pub upstream: Option<String>,
    /// Attempt at the upstream.
    pub attempt: u32,
    /// Term of this owner.
    pub term: u32,
    /// Tokens so far.
    pub next: u32,
    /// Whether the upstream is suspected.
    pub suspected: bool,
    /// Whether a caller is connected.
    pub has_caller: bool,
}

/// What a session is told.
pub enum Command {
    /// Serve another caller, which has the tokens before `next`.
    Attach {
        /// Index of the next token.
        next: u32,
        /// The caller's queue.
        sender: mpsc::Sender<Event>,
    },
    /// Stop.
    Cancel,
    /// Send the caller elsewhere.
    HandOver {
        /// Addresses, best first.
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
    /// Starts serving.
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

    /// Account that asked.
    pub fn account(&self) -> &str {
        &self.account
    }

    /// State now.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Digest of the request.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Serves a caller that came back with tokens up to `next`, instead of the former one.
    pub async fn attach(&self, next: u32) -> Option<Subscription> {
        let (sender, events) = mpsc::channel(SUBSCRIBER_QUEUE);
        self.commands.send(Command::Attach { next, sender }).await.ok()?;
        Some(Subscription { generation: self.generation.clone(), events })
    }

    /// Stops the generation.
    pub async fn cancel(&self) {
        let _ = self.commands.send(Command::Cancel).await;
    }

    /// Sends the caller to other entry VMs.
    pub async fn hand_over(&self, entries: Vec<String>) {
        let _ = self.commands.send(Command::HandOver { entries }).await;
    }
}
