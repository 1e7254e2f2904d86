//! Calls the store and passes on what it tells.

use super::message::Message;
use super::told::Told;
use crate::control::{Error, Store};
use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::prelude::*;
use tokio::sync::watch;

/// Pause after a failed call of the store; doubles up to [`MAX_RETRY`].
const RETRY: Duration = Duration::from_millis(150);
/// Longest pause between calls of a store that is away. Peers tell what is new meanwhile.
const MAX_RETRY: Duration = Duration::from_millis(1_000);
/// Changes are gathered for so long before the next watch, as each watch is a call. A tenth of the
/// time in which a leaving upstream must get no more requests.
const GATHER: Duration = Duration::from_millis(200);
/// The same where a neighbour gathers for this entry VM too and tells it; below that time by itself.
const RELAYED_GATHER: Duration = Duration::from_millis(1_500);

/// Calls the store and passes on what it tells.
#[derive(Clone)]
pub struct Source {
    /// Store.
    pub store: Arc<dyn Store>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Where what it tells goes.
    pub mailbox: Mailbox<Message>,
    /// What is known by now.
    pub told: watch::Receiver<Told>,
    /// Whether changes are gathered for neighbours.
    pub relays: watch::Receiver<bool>,
}

impl Source {
    /// Follows the configuration until the process ends.
    pub async fn follow_routes(self) {
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

    /// Follows the upstreams until the process ends.
    pub async fn follow_upstreams(self) {
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
                    revision = Some(newest.max(self.told.borrow().revision));
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
