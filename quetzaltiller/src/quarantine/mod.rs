//! Quarantine of parts of prompts and of requests that crash each upstream which begins to answer
//! them.
//!
//! Requests report whether upstreams survived them. The task owns the
//! [`Ledger`](coordination::quarantine::Ledger) that draws the conclusions, shares its records with
//! the other entry VMs through the store and publishes the verdicts, which requests read without
//! waiting. Each VM writes what it knows beyond the store's record; records can be joined in any
//! order, so a write that conflicts is joined with the stored record and repeated.

mod message;
mod source;
mod state;
mod task;

pub use state::State;

use crate::clock::Clock;
use crate::control::{Store, Subject, Version};
use crate::follower::Watches;
use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::prelude::*;
use crate::scope::Scope;
use coordination::quarantine::Verdicts;
use message::Message;
use source::Source;
use task::Task;
use tokio::sync::watch;

/// What the quarantine of an entry VM needs.
pub struct Dependencies {
    /// Name of the entry VM.
    pub name: String,
    /// Clock of the process.
    pub clock: Clock,
    /// Store that holds the records.
    pub store: Arc<dyn Store>,
    /// Counter of calls of the store.
    pub metrics: Arc<Metrics>,
    /// Watches of the store.
    pub watches: Watches,
}

/// Handle to the quarantine.
#[derive(Clone, Debug)]
pub struct Quarantine {
    mailbox: Mailbox<Message>,
    verdicts: watch::Receiver<Verdicts>,
    newest: watch::Receiver<Version>,
    reported: Arc<watch::Sender<Version>>,
}

impl Quarantine {
    /// Starts the quarantine in `scope`.
    pub fn start(scope: &Scope, dependencies: Dependencies) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (published, verdicts) = watch::channel(Verdicts::default());
        let (newest_sender, newest) = watch::channel(Version::default());
        let (reported, reports) = watch::channel(Version::default());
        let source = Source {
            store: dependencies.store.clone(),
            metrics: dependencies.metrics.clone(),
            watches: dependencies.watches.clone(),
            mailbox: mailbox.clone(),
            newest: newest_sender,
            reported: reports,
        };
        let task = Task::new(dependencies, scope.clone(), mailbox.clone(), published);
        scope.spawn(task.run(messages));
        scope.spawn(source.run());
        Self { mailbox, verdicts, newest, reported: Arc::new(reported) }
    }

    /// Version of the newest change of a record that was read from the store.
    pub fn version(&self) -> Version {
        *self.newest.borrow()
    }

    /// Records the version of the newest change of a record that a peer knows.
    pub fn record_reported_version(&self, version: Version) {
        self.reported
            .send_if_modified(|known| std::mem::replace(known, version.max(*known)) < version);
    }

    /// The subject for which a request with these subjects is to be refused.
    pub fn refused(&self, subjects: &[Subject]) -> Option<Subject> {
        self.verdicts.borrow().refused(subjects)
    }

    /// Verdicts as they change.
    pub fn verdicts(&self) -> watch::Receiver<Verdicts> {
        self.verdicts.clone()
    }

    /// Whether a subject is condemned.
    pub fn has_condemned(&self) -> bool {
        self.verdicts.borrow().has_condemned()
    }

    /// Whether an attempt of this request may be followed by another before its caller sends it
    /// again.
    pub fn is_repeatable(&self, subject: Subject) -> bool {
        self.verdicts.borrow().is_repeatable(subject)
    }

    /// Whether a request is suspected.
    pub fn has_suspected(&self) -> bool {
        self.verdicts.borrow().has_suspected()
    }

    /// Records that an upstream survived a request with these subjects.
    pub fn record_settled(&self, subjects: Vec<Subject>) {
        self.mailbox.send(Message::Settled(subjects));
    }

    /// Records that `upstream`, the name of one start of a process, ended while it served a request
    /// with these subjects. It may not have `begun` the request, which then only waited.
    pub fn record_crash(&self, subjects: Vec<Subject>, upstream: String, begun: bool) {
        self.mailbox.send(Message::Crashed { subjects, upstream, begun });
    }

    /// Records and verdicts, for operators.
    pub async fn dump(&self) -> State {
        self.mailbox.request(Message::StateRequested).await.unwrap_or_default()
    }
}
