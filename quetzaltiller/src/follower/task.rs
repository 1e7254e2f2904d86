//! Task that owns the configuration and the directory of upstreams.

use super::dispute::Dispute;
use super::message::Message;
use super::store_status::StoreStatus;
use crate::clock::Clock;
use crate::control::{Changes, Configuration, Version};
use crate::fleet::{Change, Directory, History, Tombstones, Upstream};
use crate::placement::Successor;
use crate::prelude::*;
use crate::routes::Table;
use coordination::feed::Feed;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::{mpsc, watch};

/// Time after an outage of the store for which upstreams that it dropped are kept. Within this time
/// live upstreams are listed again (users' letter).
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);
/// Time for which upstreams are kept if half of a service vanished without a detected outage.
/// Shorter than [`LAPSE_GRACE`], as these upstreams may be leaving.
const VANISH_GRACE: Duration = Duration::from_millis(1_200);
/// Maximum time for which a successor is used without being listed while the store can be reached.
/// The store lists a new upstream with its first heartbeat, whose period is 1.2 s (users'
/// settings), plus the lag of the listing.
const SUCCESSOR_TTL: Duration = Duration::from_millis(3_000);

/// State of the follower's task.
pub struct Task {
    clock: Clock,
    configuration: Feed<Arc<Table>>,
    directory: Directory,
    history: History,
    /// Upstreams that vanished from the directory and are still used, by id, and the time until
    /// which they are kept.
    lapsed: BTreeMap<String, (Arc<Upstream>, Duration)>,
    /// Ids of upstreams that were removed. Peers that don't know of the removal may still report
    /// them as successors.
    removed: Tombstones,
    /// Upstreams by id that the newest era lists although they had left before it began.
    disputed: BTreeMap<String, Dispute>,
    /// Successors by id, and the time until which they are used without being listed; without limit
    /// while the store can't be reached.
    successors: BTreeMap<String, (Successor, Option<Duration>)>,
    store_unreachable: bool,
    silences: u32,
    reported_silences: u32,
    /// End of the time after an outage of the store for which vanished upstreams are kept.
    grace_until: Duration,
    published: Published,
}

/// Channels on which the task publishes its state.
pub struct Published {
    /// Configuration in force.
    pub routes: watch::Sender<Arc<Table>>,
    /// Upstreams in use.
    pub directory: watch::Sender<Arc<Directory>>,
    /// State of the store, to report to peers.
    pub status: watch::Sender<StoreStatus>,
}

impl Task {
    /// Creates a task without a configuration and upstreams.
    pub fn new(clock: Clock, published: Published) -> Self {
        Self {
            clock,
            configuration: Feed::default(),
            directory: Directory::default(),
            history: History::default(),
            lapsed: BTreeMap::new(),
            removed: Tombstones::default(),
            disputed: BTreeMap::new(),
            successors: BTreeMap::new(),
            store_unreachable: false,
            silences: 0,
            reported_silences: 0,
            grace_until: Duration::ZERO,
            published,
        }
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        loop {
            let lapse_expiries = self.lapsed.values().map(|(_, until)| *until);
            let successor_expiries = self.successors.values().filter_map(|(_, until)| *until);
            let expiry = lapse_expiries.chain(successor_expiries).min();
            let clock = self.clock;
            tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = clock.sleep_until(expiry.unwrap_or_default()), if expiry.is_some() => {
                    self.expire();
                }
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::StoreConfiguration(Configuration { version, table, .. }) => {
                let now = self.clock.now();
                self.published.status.send_modify(|status| {
                    status.configuration.store = version;
                    status.configuration.answered_at = now;
                });
                if let Some(table) = table {
                    self.update_configuration(table, "store");
                }
            }
            Message::PeerConfiguration(table) => self.update_configuration(table, "peer"),
            Message::Listed(listing) => {
                let before = self.directory.clone();
                if self.directory.replace(listing) {
                    self.history.reset(self.directory.version());
                    let known = before.version();
                    let is_new_era = known.revision > 0 && known.era < self.directory.version().era;
                    if is_new_era {
                        self.begin_era(&before);
                    }
                    self.handle_directory_change(&before, &BTreeMap::new());
                    if is_new_era {
                        self.log_era(known);
                    }
                }
            }
            Message::Changed(Changes { version, changes, .. }) => {
                let before = self.directory.clone();
                if version.era != before.version().era {
                    return;
                }
                let departures = before.departures(&changes);
                for change in &changes {
                    if let Change::Removed(id) = change {
                        let incarnation = before.upstream(id).map_or(0, |known| known.incarnation);
                        self.removed.insert(id, incarnation);
                        self.successors.remove(id);
                    }
                }
                let mut renewed = false;
                for upstream in departures.values() {
                    self.removed.insert(&upstream.id, upstream.incarnation);
                    renewed |= self.renew_lapsed(upstream);
                }
                if !before.version().leads_to(version) {
                    if renewed {
                        self.publish();
                    }
                    return;
                }
                // An upstream that writes its entry in the new era, and stays listed, is alive.
                for change in &changes {
                    if let Change::Set(upstream) = change
                        && !departures.contains_key(&upstream.id)
                    {
                        self.disputed.remove(&upstream.id);
                    }
                }
                self.history.record(version, &changes);
                if self.directory.apply(version, changes) {
                    self.handle_directory_change(&before, &departures);
                }
            }
            Message::Confirmed(upstream) => self.confirm(&upstream),
            Message::SuccessorFound(successor) => self.add_successor(successor),
            Message::UpdateRequested { known, reply } => {
                let _ = reply.send(self.history.since(known, &self.directory));
            }
            Message::StoreLost => {
                self.store_unreachable = true;
                self.published.status.send_modify(|status| status.unreachable = true);
                self.successors.values_mut().for_each(|(_, until)| *until = None);
            }
            Message::SilenceReported => {
                self.reported_silences += 1;
                let reported = self.reported_silences;
                self.published.status.send_modify(|status| status.reported_silences = reported);
            }
            Message::StoreRegained { was_silent } => {
                let now = self.clock.now();
                self.store_unreachable = false;
                self.silences += u32::from(was_silent);
                let silences = self.silences;
                self.published.status.send_modify(|status| {
                    status.unreachable = false;
                    status.silences = silences;
                });
                self.grace_until = now + LAPSE_GRACE;
                let until = Some(now + SUCCESSOR_TTL);
                self.successors.values_mut().for_each(|(_, used_until)| *used_until = until);
            }
        }
    }

    fn update_configuration(&mut self, table: Table, source: &str) {
        let (number, routes) = (table.number(), table.routes().len());
        let table = Arc::new(table);
        if self.configuration.update_if_newer(number, table.clone()) {
            let now = self.clock.now();
            self.published.status.send_modify(|status| status.configuration.in_force_at = now);
            let store = self.published.status.borrow().configuration.store;
            info!("configuration_in_force", kv: {
                number, routes, source, era = store.era, revision = store.revision
            });
            self.published.routes.send_replace(table);
        }
    }

    /// Prepares for the directory of a newer era, an older copy of the one in `before`: upstreams
    /// that it lacks are kept for a time, and those that had left since are disputed.
    fn begin_era(&mut self, before: &Directory) {
        self.grace_until = self.clock.now() + LAPSE_GRACE;
        let mut current = before.clone();
        current.drop_superseded();
        for upstream in self.directory.upstreams() {
            let id = upstream.id.as_str();
            let known = current.upstream(id);
            let had_left = known.is_none()
                && !self.lapsed.contains_key(id)
                && (before.upstream(id).is_some_and(|k| upstream.incarnation <= k.incarnation)
                    || self.removed.contains_start(upstream));
            let was_leaving =
                known.is_some_and(|k| k.leaving && upstream.incarnation <= k.incarnation);
            if had_left {
                self.disputed.insert(id.to_owned(), Dispute::Gone);
            } else if was_leaving && !upstream.leaving {
                self.disputed.insert(id.to_owned(), Dispute::Leaving);
            }
        }
    }

    fn log_era(&self, from: Version) {
        let to = self.directory.version();
        info!("store_era_changed", kv: {
            from_era = from.era, from_revision = from.revision,
            era = to.era, revision = to.revision,
            kept = self.lapsed.len(), disputed = self.disputed.len(),
            number = self.configuration.number(), rewrites = "announcement"
        });
    }

    fn confirm(&mut self, upstream: &Upstream) {
        let listed = self.directory.upstream(&upstream.id);
        if listed.is_some_and(|listed| listed.incarnation == upstream.incarnation)
            && self.disputed.remove(&upstream.id).is_some()
        {
            info!("upstream_confirmed", kv: { upstream = upstream.id });
            self.publish();
        }
    }

    /// Ends the disputes of upstreams that have started anew or are no longer listed; returns the
    /// latter.
    fn end_disputes(&mut self, before: &Directory) -> BTreeSet<String> {
        let mut vanished = BTreeSet::new();
        self.disputed.retain(|id, _| {
            let Some(listed) = self.directory.upstream(id) else {
                vanished.insert(id.clone());
                return false;
            };
            before.upstream(id).is_none_or(|known| known.incarnation >= listed.incarnation)
        });
        vanished
    }

    /// Updates a kept upstream to its last entry, or ends its use if it was leaving; returns whether
    /// it was kept.
    fn renew_lapsed(&mut self, last: &Arc<Upstream>) -> bool {
        let Some((kept, _)) = self.lapsed.get_mut(&last.id) else {
            return false;
        };
        if last.incarnation < kept.incarnation {
            return false;
        }
        if last.leaving {
            self.lapsed.remove(&last.id);
        } else {
            *kept = last.clone();
        }
        true
    }

    /// Publishes the new directory in place of `before`; `departures` are the last entries of the
    /// upstreams that changes have removed.
    fn handle_directory_change(
        &mut self,
        before: &Directory,
        departures: &BTreeMap<String, Arc<Upstream>>,
    ) {
        let now = self.clock.now();
        let vanished_disputed = self.end_disputes(before);
        let gone = before.upstreams().filter(|old| self.directory.upstream(&old.id).is_none());
        for upstream in gone {
            self.removed.insert(&upstream.id, upstream.incarnation);
            let lapsed = self.store_unreachable || now < self.grace_until;
            let half_missing = self.is_half_of_service_missing(before, &upstream.service);
            let last = departures.get(&upstream.id).unwrap_or(upstream);
            let was_leaving = upstream.leaving || last.leaving;
            let was_used = !was_leaving && !vanished_disputed.contains(&upstream.id);
            let keeps = (lapsed || half_missing) && was_used;
            info!("upstream_gone", kv: {
                upstream = upstream.id, revision = self.directory.version().revision, keeps
            });
            if keeps {
                // An upstream that is still missing at the end of the grace time after an outage
                // has left, even if it vanished within that time.
                let until = match (self.store_unreachable, lapsed) {
                    (true, _) => now + LAPSE_GRACE,
                    (false, true) => self.grace_until,
                    (false, false) => now + VANISH_GRACE,
                };
                self.lapsed.insert(upstream.id.clone(), (last.clone(), until));
            }
        }
        let first = before.version().revision == 0;
        if first {
            let (version, upstreams) = (self.directory.version(), self.directory.len());
            info!("upstreams_listed", kv: {
                era = version.era, revision = version.revision, upstreams
            });
        }
        for upstream in self.directory.upstreams() {
            self.lapsed.remove(&upstream.id);
            self.successors.remove(&upstream.id);
            let known = before.upstream(&upstream.id);
            let is_new_or_changed = known.is_none_or(|known| known.leaving != upstream.leaving);
            let disputed = self.disputed.contains_key(&upstream.id);
            if is_new_or_changed && !disputed && (!first || upstream.leaving) {
                info!("upstream_listed", kv: {
                    upstream = upstream.id, service = upstream.service,
                    address:? = upstream.address, leaving = upstream.leaving,
                    revision = self.directory.version().revision
                });
            }
        }
        self.publish();
    }

    fn add_successor(&mut self, successor: Successor) {
        let id = successor.upstream.id.clone();
        let known = self.directory.upstream(&id).is_some() || self.successors.contains_key(&id);
        let removed = self.removed.contains(&id);
        if known || removed || self.directory.upstream(&successor.lost).is_none() {
            return;
        }
        info!("upstream_succeeded", kv: {
            upstream = id, lost = successor.lost, address:? = successor.upstream.address
        });
        let until = (!self.store_unreachable).then(|| self.clock.now() + SUCCESSOR_TTL);
        self.successors.insert(id, (successor, until));
        self.publish();
    }

    /// Whether at least half, and at least two, of the upstreams that a service had in `before` are
    /// missing now.
    fn is_half_of_service_missing(&self, before: &Directory, service: &str) -> bool {
        let of_service = || before.upstreams().filter(|upstream| upstream.service == service);
        let gone = of_service().filter(|old| self.directory.upstream(&old.id).is_none()).count();
        gone >= 2 && gone * 2 >= of_service().count()
    }

    fn expire(&mut self) {
        let now = self.clock.now();
        self.lapsed.retain(|_, (_, until)| *until > now);
        self.successors.retain(|_, (_, until)| until.is_none_or(|until| until > now));
        self.publish();
    }

    fn publish(&self) {
        let mut directory = self.directory.clone();
        for (id, dispute) in &self.disputed {
            match dispute {
                Dispute::Gone => directory.remove(id),
                Dispute::Leaving => directory.mark_leaving(id),
            }
        }
        directory.insert_missing(self.lapsed.values().map(|(upstream, _)| upstream.clone()));
        directory.drop_superseded();
        for (successor, _) in self.successors.values() {
            directory.apply_successor(&successor.lost, successor.upstream.clone());
        }
        self.published.directory.send_replace(Arc::new(directory));
        let successors = self.successors.values().map(|(successor, _)| successor.clone());
        let disputed = self.disputed.keys().filter_map(|id| self.directory.upstream(id));
        self.published.status.send_modify(|status| {
            status.version = self.directory.version();
            status.successors = successors.collect();
            status.disputed = disputed.cloned().collect();
        });
    }
}
