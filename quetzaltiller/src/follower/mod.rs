//! Follows the platform's configuration and directory of upstreams.
//!
//! The store is watched, and peers offer newer data. A configuration is replaced only by one with a
//! higher number, and the directory only by one of a newer version of the store, regardless of the
//! source.
//!
//! While the store can't be reached, it may drop upstreams that are alive. They are kept for
//! `LAPSE_GRACE` after the store's return, the time in which live upstreams are listed again. An
//! outage may go undetected while a watch waits, so upstreams are also kept, for `VANISH_GRACE`, if
//! half of the upstreams of a service vanish at once.
//!
//! The store may return from an older copy, in a newer era. Upstreams that the copy lacks are kept as
//! after an outage. Those that it lists although they had left since are disputed: they get no new
//! work until they are written again and stay listed, or their own process answers.
//!
//! An upstream that was leaving when it was removed is not kept, even if both changes arrive at once.
//!
//! A service may start a new process at the address of a lost one. An entry VM that calls the
//! address detects this successor before the store lists it, and is the only source of it while the
//! store can't be reached. A successor is used until the store lists it, or for at most
//! `SUCCESSOR_TTL` while the store can be reached.

mod configuration_age;
mod dispute;
mod gaps;
mod message;
mod source;
mod store_status;
mod task;
mod watch_pause;
mod watches;

pub use configuration_age::ConfigurationAge;
pub use watch_pause::Role;
pub use watches::{Watched, Watches};

use crate::clock::Clock;
use crate::control::{Changes, Store, Version};
use crate::fleet::{Directory, Update, Upstream};
use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::placement::Successor;
use crate::prelude::*;
use crate::routes::Table;
use crate::scope::Scope;
use message::Message;
use source::Source;
use store_status::StoreStatus;
use task::{Published, Task};
use tokio::sync::{Notify, watch};
use watch_pause::WatchPause;

/// Handle to the configuration and the directory of upstreams that are in force.
#[derive(Clone, Debug)]
pub struct Follower {
    mailbox: Mailbox<Message>,
    routes: watch::Receiver<Arc<Table>>,
    directory: watch::Receiver<Arc<Directory>>,
    status: watch::Receiver<StoreStatus>,
    clock: Clock,
    watch_pause: Arc<watch::Sender<WatchPause>>,
    watches: Watches,
}

impl Follower {
    /// Starts following the store in `scope`, again within `recovery` after an outage.
    pub fn start(
        scope: &Scope,
        clock: Clock,
        store: Arc<dyn Store>,
        metrics: Arc<Metrics>,
        recovery: Duration,
    ) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (routes_sender, routes) = watch::channel(Arc::default());
        let (directory_sender, directory) = watch::channel(Arc::default());
        let (status_sender, status) = watch::channel(StoreStatus::default());
        let published =
            Published { routes: routes_sender, directory: directory_sender, status: status_sender };
        let task = Task::new(clock, published);
        scope.spawn(task.run(messages));
        let (watch_pause, watch_pauses) = watch::channel(WatchPause::default());
        let watches = Watches::new(recovery, watch_pauses.clone(), status.clone());
        let source = Source {
            clock,
            store,
            metrics,
            mailbox: mailbox.clone(),
            status: status.clone(),
            watch_pause: watch_pauses,
            watches: watches.clone(),
            end_pause: Arc::new(Notify::new()),
        };
        scope.spawn(source.clone().follow_routes());
        scope.spawn(source.follow_upstreams());
        let watch_pause = Arc::new(watch_pause);
        Self { mailbox, routes, directory, status, clock, watch_pause, watches }
    }

    /// Configuration in force.
    pub fn routes(&self) -> Arc<Table> {
        self.routes.borrow().clone()
    }

    /// Age of the configuration in force and of what the store last said of it.
    pub fn configuration_age(&self) -> ConfigurationAge {
        self.status.borrow().configuration.age(self.clock.now())
    }

    /// Waits for the first configuration.
    pub async fn configured(&self) {
        let _ = self.routes.clone().wait_for(|table| table.number() > 0).await;
    }

    /// Upstreams in use now.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.borrow().clone()
    }

    /// Receiver of changed configurations.
    pub fn watch_routes(&self) -> watch::Receiver<Arc<Table>> {
        self.routes.clone()
    }

    /// Receiver of changed directories of upstreams.
    pub fn watch_directory(&self) -> watch::Receiver<Arc<Directory>> {
        self.directory.clone()
    }

    /// Puts a peer's configuration in force if it is newer.
    pub fn update_routes(&self, table: Table) {
        self.mailbox.send(Message::PeerConfiguration(table));
    }

    /// Uses the successor in place of its lost upstream until the store lists it.
    pub fn apply_successor(&self, successor: Successor) {
        self.mailbox.send(Message::SuccessorFound(successor));
    }

    /// Version of the listed upstreams; its revision is 0 before any listing.
    pub fn version(&self) -> Version {
        self.status.borrow().version
    }

    /// Upstreams that the newest era of the store lists although they had left.
    pub fn disputed(&self) -> Vec<Arc<Upstream>> {
        self.status.borrow().disputed.clone()
    }

    /// Waits until there are disputed upstreams; false if the follower has ended.
    pub async fn wait_for_disputes(&self) -> bool {
        self.status.clone().wait_for(|status| !status.disputed.is_empty()).await.is_ok()
    }

    /// Waits until the upstreams are those of an era after `era`; returns the new era, or none if
    /// the follower has ended.
    pub async fn wait_for_era_after(&self, era: u64) -> Option<u64> {
        let mut status = self.status.clone();
        let newer = status.wait_for(|status| status.version.era > era).await.ok()?;
        Some(newer.version.era)
    }

    /// Uses a disputed upstream again: its own process has shown that it accepts work.
    pub fn confirm(&self, upstream: Arc<Upstream>) {
        self.mailbox.send(Message::Confirmed(upstream));
    }

    /// Whether requests can be served: a configuration and at least one upstream are known.
    pub fn is_ready(&self) -> bool {
        self.routes().number() > 0 && !self.directory().is_empty()
    }

    /// Watches of the store that begin anew when it has returned from an outage.
    pub fn watches(&self) -> Watches {
        self.watches.clone()
    }

    /// Sets the role of this entry VM in watching the store's upstreams for its zone.
    pub fn set_role(&self, role: Role) {
        self.watch_pause.send_if_modified(|pause| std::mem::replace(&mut pause.role, role) != role);
    }

    /// Records contact with an entry VM that watches the store for this one.
    pub fn record_relay_contact(&self) {
        self.watch_pause.send_modify(|pause| pause.relay_heard_at = self.clock.now());
    }

    /// Successors of lost upstreams that the store does not list yet.
    pub fn successors(&self) -> Vec<Successor> {
        self.status.borrow().successors.clone()
    }

    /// Number of silences of the store that this entry VM itself has noticed.
    pub fn silences(&self) -> u32 {
        self.status.borrow().silences
    }

    /// Records that an entry VM which watches the store for this one has noticed a silence.
    pub fn record_reported_silence(&self) {
        self.mailbox.send(Message::SilenceReported);
    }

    /// Whether the store can't be reached.
    pub fn is_store_unreachable(&self) -> bool {
        self.status.borrow().unreachable
    }

    /// Applies a peer's listing or changes of upstreams if they are newer.
    pub fn update_upstreams(&self, update: Update) {
        self.mailbox.send(match update {
            Update::Listed(listing) => Message::Listed(listing),
            Update::Changed { version, changes } => {
                Message::Changed(Changes { version, changes, ..Changes::default() })
            }
        });
    }

    /// Update for a peer that knows the upstreams at the store's version `known`; none if the peer
    /// knows all.
    pub async fn update_since(&self, known: Version) -> Option<Update> {
        self.mailbox.request(|reply| Message::UpdateRequested { known, reply }).await?
    }
}
