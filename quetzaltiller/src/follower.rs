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

use crate::clock::Clock;
use crate::control::{Changes, Configuration, Error, Store};
use crate::fleet::{Change, Directory, History, Listing, News, Tombstones, Upstream};
use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::placement::Successor;
use crate::prelude::*;
use crate::routes::Table;
use crate::scope::Scope;
use coordination::feed::Feed;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot, watch};

/// Pause after a failed call of the store; doubles up to [`MAX_RETRY`].
const RETRY: Duration = Duration::from_millis(150);
/// Longest pause between calls of a store that is away. Peers tell what is new meanwhile.
const MAX_RETRY: Duration = Duration::from_millis(1_000);
/// Changes are gathered for so long before the next watch, as each watch is a call. A tenth of the
/// time in which a leaving upstream must get no more requests.
const GATHER: Duration = Duration::from_millis(200);
/// The same where a neighbour gathers for this entry VM too and tells it; below that time by itself.
const RELAYED_GATHER: Duration = Duration::from_millis(1_500);
/// Time in which upstreams that lapsed with the store are listed again (users' letter).
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);
/// The same when an outage was not noticed: less, as the upstreams may be leaving.
const VANISH_GRACE: Duration = Duration::from_millis(1_200);

/// A new upstream is listed with its first heartbeat, of 1.2 s (users' settings), and its lag.
const SUCCESSOR_TERM: Duration = Duration::from_millis(3_000);

#[derive(Debug)]
enum Message {
    Configured(Configuration),
    Offered(Table),
    Listed(Listing),
    Changed(Changes),
    Succeeded(Successor),
    Asked { known: u64, reply: oneshot::Sender<Option<News>> },
    Lost,
    Regained,
}

/// Handle to what is followed.
#[derive(Clone, Debug)]
pub struct Follower {
    mailbox: Mailbox<Message>,
    routes: watch::Receiver<Arc<Table>>,
    directory: watch::Receiver<Arc<Directory>>,
    told: watch::Receiver<Told>,
    relays: Arc<watch::Sender<bool>>,
}

/// What peers are told besides revisions.
#[derive(Clone, Debug, Default)]
struct Told {
    listed: Arc<Directory>,
    successors: Vec<Successor>,
    away: bool,
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
        let task = Task {
            clock,
            feed: Feed::default(),
            directory: Directory::default(),
            history: History::default(),
            lapsed: BTreeMap::new(),
            departed: Tombstones::default(),
            successors: BTreeMap::new(),
            away: false,
            grace_until: Duration::ZERO,
            routes: routes_sender,
            published: directory_sender,
            told: told_sender,
        };
        scope.spawn(task.run(messages));
        let (relays, relayed) = watch::channel(true);
        let source = Source {
            store,
            metrics,
            mailbox: mailbox.clone(),
            told: told.clone(),
            relays: relayed,
        };
        scope.spawn(source.clone().follow_routes());
        scope.spawn(source.follow_upstreams());
        Self { mailbox, routes, directory, told, relays: Arc::new(relays) }
    }

    /// Configuration in force.
    pub fn routes(&self) -> Arc<Table> {
        self.routes.borrow().clone()
    }

    /// Waits for a first configuration and a first listing, for `limit` at most.
    pub async fn started(&self, limit: Duration) {
        let (mut routes, mut directory) = (self.routes.clone(), self.directory.clone());
        let known = async {
            let configured = routes.wait_for(|table| table.number() > 0).await.is_ok();
            configured && directory.wait_for(|listed| listed.revision() > 0).await.is_ok()
        };
        if tokio::time::timeout(limit, known).await.is_err() {
            let (number, revision) = (self.routes().number(), self.directory().revision());
            debug!("start_awaited_in_vain", kv: { number, revision });
        }
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
    pub fn offer_routes(&self, table: Table) {
        self.mailbox.tell(Message::Offered(table));
    }

    /// Takes the successor of a lost upstream.
    pub fn succeed(&self, successor: Successor) {
        self.mailbox.tell(Message::Succeeded(successor));
    }

    /// Upstreams as the store lists them, for peers.
    pub fn listed(&self) -> Arc<Directory> {
        self.told.borrow().listed.clone()
    }

    /// Sets whether this entry VM gathers changes for its neighbours, or is told by one that does.
    pub fn set_relay(&self, relays: bool) {
        self.relays.send_replace(relays);
    }

    /// Successors that the store does not list yet.
    pub fn successors(&self) -> Vec<Successor> {
        self.told.borrow().successors.clone()
    }

    /// Whether the store can't be reached.
    pub fn is_store_away(&self) -> bool {
        self.told.borrow().away
    }

    /// Takes a peer's upstreams, if they are newer.
    pub fn offer_upstreams(&self, news: News) {
        self.mailbox.tell(match news {
            News::Listed(listing) => Message::Listed(listing),
            News::Changed { revision, changes } => Message::Changed(Changes { revision, changes }),
        });
    }

    /// What a peer gets that knows the revision `known` of the store's upstreams.
    pub async fn news_since(&self, known: u64) -> Option<News> {
        self.mailbox.ask(|reply| Message::Asked { known, reply }).await?
    }
}

struct Task {
    clock: Clock,
    feed: Feed<Arc<Table>>,
    directory: Directory,
    history: History,
    /// Upstreams that vanished with the store, and until when they are kept.
    lapsed: BTreeMap<String, (Arc<Upstream>, Duration)>,
    /// Upstreams that have left: peers that have not seen it may still tell of them.
    departed: Tombstones,
    /// Successors by id, and until when they are used without being listed; none while the store
    /// is away.
    successors: BTreeMap<String, (Successor, Option<Duration>)>,
    away: bool,
    grace_until: Duration,
    routes: watch::Sender<Arc<Table>>,
    published: watch::Sender<Arc<Directory>>,
    told: watch::Sender<Told>,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        loop {
            let lapses = self.lapsed.values().map(|(_, until)| *until);
            let terms = self.successors.values().filter_map(|(_, until)| *until);
            let expiry = lapses.chain(terms).min();
            let clock = self.clock;
            tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = clock.sleep_until(expiry.unwrap_or_default()), if expiry.is_some() => {
                    self.expire();
                }
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Configured(Configuration { table: Some(table), .. }) => {
                self.configure(table, "store");
            }
            Message::Configured(_) => {}
            Message::Offered(table) => self.configure(table, "peer"),
            Message::Listed(listing) => {
                let before = self.directory.clone();
                if self.directory.replace(listing) {
                    self.history.begin(self.directory.revision());
                    self.publish(&before);
                }
            }
            Message::Changed(Changes { revision, changes }) => {
                let before = self.directory.clone();
                for change in &changes {
                    if let Change::Removed(id) = change {
                        self.departed.bury(id);
                        self.successors.remove(id);
                    }
                }
                if revision > before.revision() {
                    self.history.note(revision, &changes);
                }
                if self.directory.apply(revision, changes) {
                    self.publish(&before);
                }
            }
            Message::Succeeded(successor) => self.succeed(successor),
            Message::Asked { known, reply } => {
                let _ = reply.send(self.history.since(known, &self.directory));
            }
            Message::Lost => {
                self.away = true;
                self.told.send_modify(|told| told.away = true);
                self.successors.values_mut().for_each(|(_, until)| *until = None);
            }
            Message::Regained => {
                let now = self.clock.now();
                self.away = false;
                self.told.send_modify(|told| told.away = false);
                self.grace_until = now + LAPSE_GRACE;
                let until = Some(now + SUCCESSOR_TERM);
                self.successors.values_mut().for_each(|(_, term)| *term = until);
            }
        }
    }

    fn configure(&mut self, table: Table, source: &str) {
        let (number, routes) = (table.number(), table.routes().len());
        let table = Arc::new(table);
        if self.feed.offer(number, table.clone()) {
            info!("configuration_in_force", kv: { number, routes, source });
            self.routes.send_replace(table);
        }
    }

    fn publish(&mut self, before: &Directory) {
        let now = self.clock.now();
        let gone = before.upstreams().filter(|old| self.directory.upstream(&old.id).is_none());
        for upstream in gone {
            self.departed.bury(&upstream.id);
            let away = self.away || now < self.grace_until;
            let vanished = self.half_vanished(before, &upstream.service);
            let keeps = (away || vanished) && !upstream.leaving;
            info!("upstream_gone", kv: {
                upstream = upstream.id, revision = self.directory.revision(), keeps
            });
            if keeps {
                let grace = if away { LAPSE_GRACE } else { VANISH_GRACE };
                let until = self.grace_until.max(now + grace);
                self.lapsed.insert(upstream.id.clone(), (upstream.clone(), until));
            }
        }
        let first = before.revision() == 0;
        if first {
            let (revision, upstreams) = (self.directory.revision(), self.directory.len());
            info!("upstreams_listed", kv: { revision, upstreams });
        }
        for upstream in self.directory.upstreams() {
            self.lapsed.remove(&upstream.id);
            self.successors.remove(&upstream.id);
            let known = before.upstream(&upstream.id);
            let news = known.is_none_or(|known| known.leaving != upstream.leaving);
            if news && (!first || upstream.leaving) {
                info!("upstream_listed", kv: {
                    upstream = upstream.id, service = upstream.service,
                    address:? = upstream.address, leaving = upstream.leaving,
                    revision = self.directory.revision()
                });
            }
        }
        self.send();
    }

    fn succeed(&mut self, successor: Successor) {
        let id = successor.upstream.id.clone();
        let known = self.directory.upstream(&id).is_some() || self.successors.contains_key(&id);
        let departed = self.departed.contains(&id);
        if known || departed || self.directory.upstream(&successor.lost).is_none() {
            return;
        }
        info!("upstream_succeeded", kv: {
            upstream = id, lost = successor.lost, address:? = successor.upstream.address
        });
        let until = (!self.away).then(|| self.clock.now() + SUCCESSOR_TERM);
        self.successors.insert(id, (successor, until));
        self.send();
    }

    /// Whether half of a service's upstreams, two at least, are missing that were listed before.
    fn half_vanished(&self, before: &Directory, service: &str) -> bool {
        let of_service = || before.upstreams().filter(|upstream| upstream.service == service);
        let gone = of_service().filter(|old| self.directory.upstream(&old.id).is_none()).count();
        gone >= 2 && gone * 2 >= of_service().count()
    }

    fn expire(&mut self) {
        let now = self.clock.now();
        self.lapsed.retain(|_, (_, until)| *until > now);
        self.successors.retain(|_, (_, until)| until.is_none_or(|until| until > now));
        self.send();
    }

    fn send(&self) {
        let mut directory = self.directory.clone();
        directory.drop_superseded();
        directory.keep(self.lapsed.values().map(|(upstream, _)| upstream.clone()));
        for (successor, _) in self.successors.values() {
            directory.succeed(&successor.lost, successor.upstream.clone());
        }
        self.published.send_replace(Arc::new(directory));
        let successors = self.successors.values().map(|(successor, _)| successor.clone());
        let (successors, away) = (successors.collect(), self.away);
        let listed = Arc::new(self.directory.clone());
        self.told.send_replace(Told { listed, successors, away });
    }
}

/// Calls the store and passes on what it tells.
#[derive(Clone)]
struct Source {
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
    mailbox: Mailbox<Message>,
    told: watch::Receiver<Told>,
    /// Whether changes are gathered for neighbours.
    relays: watch::Receiver<bool>,
}

impl Source {
    async fn follow_routes(self) {
        let mut revision = None;
        let mut pause = RETRY;
        loop {
            self.metrics.count(Counter::StoreCall);
            let read = match revision {
                None => self.store.configuration().await,
                Some(revision) => self.store.next_configuration(revision).await,
            };
            match read {
                Ok(configuration) => {
                    revision = Some(configuration.revision);
                    pause = RETRY;
                    self.mailbox.tell(Message::Configured(configuration));
                }
                Err(Error::Expired) => {
                    info!("store_history_gone", kv: { kind = "configuration" });
                    revision = None;
                }
                Err(_) => {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY);
                }
            }
        }
    }

    async fn follow_upstreams(self) {
        let mut revision = None;
        let mut pause = RETRY;
        let mut away = false;
        loop {
            self.metrics.count(Counter::StoreCall);
            let read = match revision {
                None => self.list().await,
                Some(revision) => self.changes(revision).await,
            };
            match read {
                Ok((newest, message)) => {
                    if std::mem::take(&mut away) {
                        info!("store_regained", kv: { revision = newest });
                        self.mailbox.tell(Message::Regained);
                    }
                    self.mailbox.tell(message);
                    pause = RETRY;
                    tokio::time::sleep(self.gather()).await;
                    // Peers may have told more meanwhile.
                    revision = Some(newest.max(self.told.borrow().listed.revision()));
                }
                Err(Error::Expired) => {
                    info!("store_history_gone", kv: { kind = "upstreams" });
                    revision = None;
                }
                Err(reason) => {
                    if !std::mem::replace(&mut away, true) {
                        warn!("store_lost", kv: { reason:? = reason.to_string() });
                        self.metrics.count(Counter::StoreLost);
                        self.mailbox.tell(Message::Lost);
                    }
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY);
                }
            }
        }
    }

    fn gather(&self) -> Duration {
        if *self.relays.borrow() { GATHER } else { RELAYED_GATHER }
    }

    async fn list(&self) -> Result<(u64, Message), Error> {
        let listing = self.store.upstreams().await?;
        Ok((listing.revision, Message::Listed(listing)))
    }

    async fn changes(&self, revision: u64) -> Result<(u64, Message), Error> {
        let changes = self.store.next_upstreams(revision).await?;
        Ok((changes.revision, Message::Changed(changes)))
    }
}
