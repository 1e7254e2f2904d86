//! Follows the platform's configuration and directory of upstreams.
//!
//! Both only move forward: a configuration by its number, the directory by the store's revision,
//! whoever brings them. The store is watched; peers offer what they have when it is newer.
//!
//! While the store was away it may have dropped upstreams that live. They are kept for
//! `LAPSE_GRACE` after its return, in which those that live are listed again. An outage may pass
//! unnoticed while a watch waits, so upstreams are also kept when half of a service vanishes at once.
//!
//! A service starts a new process where one was lost. Whoever asks at the address knows it before
//! the store does, and while the store is away nobody else tells: such successors are used until
//! the store lists them, or for `SUCCESSOR_TERM` where it could have.

mod message;
mod rest;
mod source;
mod task;
mod told;

pub use rest::Role;

use crate::clock::Clock;
use crate::control::{Changes, Store};
use crate::fleet::{Directory, Update};
use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::placement::Successor;
use crate::prelude::*;
use crate::routes::Table;
use crate::scope::Scope;
use message::Message;
use rest::Rest;
use source::Source;
use task::{Published, Task};
use tokio::sync::{Notify, watch};
use told::Told;

/// Handle to what is followed.
#[derive(Clone, Debug)]
pub struct Follower {
    mailbox: Mailbox<Message>,
    routes: watch::Receiver<Arc<Table>>,
    directory: watch::Receiver<Arc<Directory>>,
    told: watch::Receiver<Told>,
    clock: Clock,
    rest: Arc<watch::Sender<Rest>>,
}

impl Follower {
    /// Starts following the store in `scope`.
    pub fn start(
        scope: &Scope,
        clock: Clock,
        store: Arc<dyn Store>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (routes_sender, routes) = watch::channel(Arc::default());
        let (directory_sender, directory) = watch::channel(Arc::default());
        let (told_sender, told) = watch::channel(Told::default());
        let published =
            Published { routes: routes_sender, directory: directory_sender, told: told_sender };
        let task = Task::new(clock, published);
        scope.spawn(task.run(messages));
        let (rest, rests) = watch::channel(Rest::default());
        let source = Source {
            clock,
            store,
            metrics,
            mailbox: mailbox.clone(),
            told: told.clone(),
            rest: rests,
            doubt: Arc::new(Notify::new()),
        };
        scope.spawn(source.clone().follow_routes());
        scope.spawn(source.follow_upstreams());
        Self { mailbox, routes, directory, told, clock, rest: Arc::new(rest) }
    }

    /// Configuration in force.
    pub fn routes(&self) -> Arc<Table> {
        self.routes.borrow().clone()
    }

    /// Waits for a first configuration.
    pub async fn configured(&self) {
        let _ = self.routes.clone().wait_for(|table| table.number() > 0).await;
    }

    /// Upstreams as known now.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.borrow().clone()
    }

    /// Notices of changed configurations.
    pub fn watch_routes(&self) -> watch::Receiver<Arc<Table>> {
        self.routes.clone()
    }

    /// Notices of changed upstreams.
    pub fn watch_directory(&self) -> watch::Receiver<Arc<Directory>> {
        self.directory.clone()
    }

    /// Takes a peer's configuration, if it is newer.
    pub fn update_routes(&self, table: Table) {
        self.mailbox.send(Message::Offered(table));
    }

    /// Takes the successor of a lost upstream.
    pub fn apply_successor(&self, successor: Successor) {
        self.mailbox.send(Message::Succeeded(successor));
    }

    /// Revision of the upstreams as the store lists them.
    pub fn revision(&self) -> u64 {
        self.told.borrow().revision
    }

    /// Whether a configuration and upstreams are known, so that requests can be served.
    pub fn is_ready(&self) -> bool {
        self.routes().number() > 0 && !self.directory().is_empty()
    }

    /// Sets whether this entry VM watches the store for its neighbours, or is told by one that does.
    pub fn set_role(&self, role: Role) {
        self.rest.send_if_modified(|rest| std::mem::replace(&mut rest.role, role) != role);
    }

    /// Notes that one that watches the store for this entry VM was heard.
    pub fn record_relay_contact(&self) {
        self.rest.send_modify(|rest| rest.heard_at = self.clock.now());
    }

    /// Successors that the store does not list yet.
    pub fn successors(&self) -> Vec<Successor> {
        self.told.borrow().successors.clone()
    }

    /// Whether the store can't be reached.
    pub fn is_store_unreachable(&self) -> bool {
        self.told.borrow().away
    }

    /// Takes a peer's upstreams, if they are newer.
    pub fn update_upstreams(&self, update: Update) {
        self.mailbox.send(match update {
            Update::Listed(listing) => Message::Listed(listing),
            Update::Changed { revision, changes } => {
                Message::Changed(Changes { revision, changes })
            }
        });
    }

    /// What a peer gets that knows the revision `known` of the store's upstreams.
    pub async fn update_since(&self, known: u64) -> Option<Update> {
        self.mailbox.request(|reply| Message::Asked { known, reply }).await?
    }
}
