//! Reads the records from the store for the task of the quarantine.

use super::message::Message;
use crate::control::{Error, Store, Version};
use crate::follower::{Watched, Watches};
use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::prelude::*;

/// Delay after the first failed call of the store; doubles with each further failure up to
/// [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay between calls of a store that can't be reached.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Pause before the next watch after a change, in which further changes gather.
const GATHER_PAUSE: Duration = Duration::from_millis(250);

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
                    let watch = |wait| self.store.next_quarantines(since, wait);
                    self.watches.watch("quarantine", since.max(checked), watch).await
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
                    self.watches.account_for(quarantines.version.era, quarantines.revisions());
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
}
