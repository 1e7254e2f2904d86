//! Reads configurations and upstreams from the store for the task of the follower.

use super::message::Message;
use super::store_status::StoreStatus;
use super::watch_pause::WatchPause;
use super::watches::{Watched, Watches};
use crate::clock::Clock;
use crate::control::{Changes, Error, Store, Version};
use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::prelude::*;
use tokio::sync::{Notify, watch};

/// Delay after the first failed call of the store; doubles with each further failure up to
/// [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay between calls of a store that can't be reached. Peers may send newer data
/// meanwhile.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Reader of the store, which sends its configurations and upstreams to the task of the follower.
#[derive(Clone)]
pub struct Source {
    /// Clock that times the pauses.
    pub clock: Clock,
    /// Store to read.
    pub store: Arc<dyn Store>,
    /// Counters of calls and outages of the store.
    pub metrics: Arc<Metrics>,
    /// Mailbox of the task that receives what is read.
    pub mailbox: Mailbox<Message>,
    /// Status with the version of the listed upstreams, which peers may advance.
    pub status: watch::Receiver<StoreStatus>,
    /// Conditions that end the pause between watches of the upstreams.
    pub watch_pause: watch::Receiver<WatchPause>,
    /// Watches of the store.
    pub watches: Watches,
    /// Notified when a read of the configuration fails: ends the pause between watches of the
    /// upstreams, as the store may be unreachable.
    pub end_pause: Arc<Notify>,
}

impl Source {
    /// Follows the configuration until the process ends.
    pub async fn follow_routes(self) {
        let mut version = None;
        let mut checked = Version::default();
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            self.metrics.count(Counter::StoreCall);
            let result = match version {
                None => self.store.configuration().await.map(Watched::Answered),
                Some(version) => {
                    let watch = |wait| self.store.next_configuration(version, wait);
                    self.watches.watch("configuration", version.max(checked), watch).await
                }
            };
            match result {
                Ok(Watched::Behind(gap)) => {
                    self.metrics.count(Counter::WatchBehind);
                    checked = gap;
                    version = None;
                }
                Ok(Watched::Answered(configuration)) => {
                    let newest = configuration.version;
                    self.watches.account_for(newest.era, configuration.revisions.iter().copied());
                    retry_delay = MIN_RETRY_DELAY;
                    self.mailbox.send(Message::StoreConfiguration(configuration));
                    if is_other_era(version, newest) {
                        info!("store_history_gone", kv: { kind = "configuration" });
                        version = None;
                        tokio::time::sleep(MIN_RETRY_DELAY).await;
                    } else {
                        version = Some(newest);
                    }
                }
                Err(Error::Expired) => {
                    info!("store_history_gone", kv: { kind = "configuration" });
                    version = None;
                }
                Err(_) => {
                    self.end_pause.notify_one();
                    tokio::time::sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    /// Follows the upstreams until the process ends.
    pub async fn follow_upstreams(mut self) {
        let mut version = None;
        let mut has_listed = false;
        let mut retry_delay = MIN_RETRY_DELAY;
        let mut store_unreachable = false;
        let mut was_silent = false;
        loop {
            self.metrics.count(Counter::StoreCall);
            let result = match version {
                None => self.list().await,
                // A watch returns only at the next change, a read as soon as the store can be
                // reached.
                Some(version) if store_unreachable => {
                    let changes = self.store.upstreams_since(version).await;
                    changes.map(|changes| self.changes_message(version, changes))
                }
                Some(version) => {
                    let watch = |wait| self.store.next_upstreams(version, wait);
                    let changes = self.watches.watch_upstreams(watch).await;
                    changes.map(|changes| self.changes_message(version, changes))
                }
            };
            match result {
                Ok((newest, message)) => {
                    if version.is_none() && std::mem::replace(&mut has_listed, true) {
                        self.watches.record_lost_history(newest);
                    }
                    if std::mem::take(&mut store_unreachable) {
                        info!("store_regained", kv: { era = newest.era, revision = newest.revision });
                        let was_silent = std::mem::take(&mut was_silent);
                        self.mailbox.send(Message::StoreRegained { was_silent });
                    }
                    self.mailbox.send(message);
                    retry_delay = MIN_RETRY_DELAY;
                    if let Some(known) = version.filter(|_| is_other_era(version, newest)) {
                        info!("store_history_gone", kv: { kind = "upstreams" });
                        version = self.await_relayed_listing(known).await;
                        continue;
                    }
                    self.pause_watch().await;
                    // Peers may have sent newer changes during the pause.
                    version = Some(newest.max(self.status.borrow().version));
                }
                Err(Error::Expired) => {
                    info!("store_history_gone", kv: { kind = "upstreams" });
                    version = match version {
                        Some(known) => self.await_relayed_listing(known).await,
                        None => None,
                    };
                }
                Err(reason) => {
                    was_silent |= reason == Error::Unanswered;
                    if !std::mem::replace(&mut store_unreachable, true) {
                        warn!("store_lost", kv: { reason:? = reason.to_string() });
                        self.metrics.count(Counter::StoreLost);
                        self.mailbox.send(Message::StoreLost);
                    }
                    tokio::time::sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    async fn pause_watch(&mut self) {
        let started_at = self.clock.now();
        loop {
            let ends_at = self.watch_pause.borrow_and_update().ends_at(started_at);
            tokio::select! {
                biased;
                () = self.clock.sleep_until(ends_at) => return,
                () = self.end_pause.notified() => return,
                Ok(()) = self.watch_pause.changed() => {}
            }
        }
    }

    /// Waits until peers have sent upstreams that are newer than `known`; returns their version, or
    /// none if this entry VM has to list the upstreams itself.
    async fn await_relayed_listing(&mut self, known: Version) -> Option<Version> {
        let delay = self.watch_pause.borrow().role.listing_delay();
        let newer = self.status.wait_for(|status| status.version > known);
        let status = tokio::time::timeout(delay, newer).await.ok()?.ok()?;
        Some(status.version)
    }

    async fn list(&self) -> Result<(Version, Message), Error> {
        let listing = self.store.upstreams().await?;
        Ok((listing.version, Message::Listed(listing)))
    }

    /// Message with the changes since a version; records the gaps between their revisions.
    fn changes_message(&self, since: Version, changes: Changes) -> (Version, Message) {
        self.watches.record_gaps(since, &changes);
        (changes.version, Message::Changed(changes))
    }
}

/// Whether an answer belongs to another era than the version that was watched, so that earlier
/// changes of its era may be missing.
fn is_other_era(watched: Option<Version>, answered: Version) -> bool {
    watched.is_some_and(|watched| watched.era != answered.era)
}
