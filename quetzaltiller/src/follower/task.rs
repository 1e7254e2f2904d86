//! The task that owns what is followed.

use super::message::Message;
use super::told::Told;
use crate::clock::Clock;
use crate::control::{Changes, Configuration};
use crate::fleet::{Change, Directory, History, Tombstones, Upstream};
use crate::placement::Successor;
use crate::prelude::*;
use crate::routes::Table;
use coordination::feed::Feed;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, watch};

/// Time in which upstreams that lapsed with the store are listed again (users' letter).
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);
/// The same when an outage was not noticed: less, as the upstreams may be leaving.
const VANISH_GRACE: Duration = Duration::from_millis(1_200);
/// A new upstream is listed with its first heartbeat, of 1.2 s (users' settings), and its lag.
const SUCCESSOR_TERM: Duration = Duration::from_millis(3_000);

/// The task.
pub struct Task {
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
    published: Published,
}

/// What the task tells whoever watches.
pub struct Published {
    /// Configuration in force.
    pub routes: watch::Sender<Arc<Table>>,
    /// Upstreams to use.
    pub directory: watch::Sender<Arc<Directory>>,
    /// What peers are told.
    pub told: watch::Sender<Told>,
}

impl Task {
    /// The task before anything is known.
    pub fn new(clock: Clock, published: Published) -> Self {
        Self {
            clock,
            feed: Feed::default(),
            directory: Directory::default(),
            history: History::default(),
            lapsed: BTreeMap::new(),
            departed: Tombstones::default(),
            successors: BTreeMap::new(),
            away: false,
            grace_until: Duration::ZERO,
            published,
        }
    }

    /// Runs until all handles are gone.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
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
                        self.departed.insert(id);
                        self.successors.remove(id);
                    }
                }
                if revision > before.revision() {
                    self.history.record(revision, &changes);
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
                self.published.told.send_modify(|told| told.away = true);
                self.successors.values_mut().for_each(|(_, until)| *until = None);
            }
            Message::Regained => {
                let now = self.clock.now();
                self.away = false;
                self.published.told.send_modify(|told| told.away = false);
                self.grace_until = now + LAPSE_GRACE;
                let until = Some(now + SUCCESSOR_TERM);
                self.successors.values_mut().for_each(|(_, term)| *term = until);
            }
        }
    }

    fn configure(&mut self, table: Table, source: &str) {
        let (number, routes) = (table.number(), table.routes().len());
        let table = Arc::new(table);
        if self.feed.update_if_newer(number, table.clone()) {
            info!("configuration_in_force", kv: { number, routes, source });
            self.published.routes.send_replace(table);
        }
    }

    fn publish(&mut self, before: &Directory) {
        let now = self.clock.now();
        let gone = before.upstreams().filter(|old| self.directory.upstream(&old.id).is_none());
        for upstream in gone {
            self.departed.insert(&upstream.id);
            let lapsed = self.away || now < self.grace_until;
            let vanished = self.half_vanished(before, &upstream.service);
            let keeps = (lapsed || vanished) && !upstream.leaving;
            info!("upstream_gone", kv: {
                upstream = upstream.id, revision = self.directory.revision(), keeps
            });
            if keeps {
                // Once the store is back, what is missing at the end of that time has left, whenever it
                // vanished.
                let until = match (self.away, lapsed) {
                    (true, _) => now + LAPSE_GRACE,
                    (false, true) => self.grace_until,
                    (false, false) => now + VANISH_GRACE,
                };
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
        directory.insert_missing(self.lapsed.values().map(|(upstream, _)| upstream.clone()));
        for (successor, _) in self.successors.values() {
            directory.apply_successor(&successor.lost, successor.upstream.clone());
        }
        self.published.directory.send_replace(Arc::new(directory));
        let successors = self.successors.values().map(|(successor, _)| successor.clone());
        let (successors, away) = (successors.collect(), self.away);
        let revision = self.directory.revision();
        self.published.told.send_replace(Told { revision, successors, away });
    }
}
