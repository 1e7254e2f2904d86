//! Reads the records from the store for the task of the quarantine.

use super::message::Message;
use crate::control::{Error, Quarantines, Store, Version};
use crate::follower::{Watched, Watches};
use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::prelude::*;
use tokio::sync::watch;

/// Delay after the first failed call of the store; doubles with each further failure up to
/// [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay between calls of a store that can't be reached.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Pause before the next watch after a change, in which further changes gather.
const GATHER_PAUSE: Duration = Duration::from_millis(250);
/// Time for a watch to tell of a change that a peer knows: the pause of this one, and as much for the
/// answer.
const DELIVERY_TIME: Duration = Duration::from_millis(500);

/// Reader of the store's records.
pub struct Source {
    /// Store to read.
    pub store: Arc<dyn Store>,
    /// Counter of calls of the store.
    pub metrics: Arc<Metrics>,
    /// Watches of the store.
    pub watches: Watches,
    /// Mailbox of the task that receives what is read.
    pub mailbox: Mailbox<Message>,
    /// Version of the newest change that was read.
    pub newest: watch::Sender<Version>,
    /// Version of the newest change that a peer knows.
    pub reported: watch::Receiver<Version>,
}

impl Source {
    /// Follows the records until the process ends.
    pub async fn run(self) {
        let mut version: Option<Version> = None;
        let mut checked = Version::default();
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            self.metrics.count(Counter::StoreCall);
            let result = match version {
                None => self.store.quarantines().await.map(Watched::Answered),
                Some(since) => {
                    let known = since.max(checked);
                    let watch = |wait| self.store.next_quarantines(since, wait);
                    tokio::select! {
                        biased;
                        result = self.watches.watch("quarantine", known, watch) => result,
                        newest = self.fall_behind_peers(known) => Ok(Watched::Behind(newest)),
                    }
                }
            };
            match result {
                Ok(Watched::Behind(gap)) => {
                    self.metrics.count(Counter::WatchBehind);
                    checked = gap;
                    version = None;
                }
                // The changes may be of another history than what was listed.
                Ok(Watched::Answered(changed))
                    if version.is_some_and(|known| known.era != changed.version.era) =>
                {
                    version = None;
                }
                Ok(Watched::Answered(quarantines)) => {
                    retry_delay = MIN_RETRY_DELAY;
                    self.record_versions(&quarantines);
                    let is_listing = version.replace(quarantines.version).is_none();
                    if is_listing {
                        self.mailbox.send(Message::Listed(quarantines));
                    } else if !quarantines.changes.is_empty() {
                        self.mailbox.send(Message::Changed(quarantines));
                        tokio::time::sleep(GATHER_PAUSE).await;
                    }
                }
                Err(Error::Expired) if version.is_some() => {
                    info!("store_history_gone", kv: { kind = "quarantine" });
                    version = None;
                }
                Err(_) => {
                    version = None;
                    tokio::time::sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    fn record_versions(&self, quarantines: &Quarantines) {
        let era = quarantines.version.era;
        self.watches.account_for(era, quarantines.revisions());
        if let Some(revision) = quarantines.revisions().max() {
            let newest = Version { era, revision };
            self.newest
                .send_if_modified(|known| std::mem::replace(known, newest.max(*known)) < newest);
        }
    }

    /// Waits until a peer knows of a change after `known`, and the watch has had the time to tell of
    /// it; returns its version.
    async fn fall_behind_peers(&self, known: Version) -> Version {
        let mut reported = self.reported.clone();
        match reported.wait_for(|reported| *reported > known).await.map(|reported| *reported) {
            Ok(newest) => {
                tokio::time::sleep(DELIVERY_TIME).await;
                info!("store_watch_renewed", kv: {
                    kind = "quarantine", cause = "peer", era = newest.era, revision = newest.revision
                });
                newest
            }
            Err(_) => std::future::pending().await,
        }
    }
}
