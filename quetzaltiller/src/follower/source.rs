//! Calls the store and passes on what it tells.

use super::message::Message;
use super::rest::Rest;
use super::told::Told;
use crate::clock::Clock;
use crate::control::{Changes, Error, Store};
use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::prelude::*;
use tokio::sync::{Notify, watch};

/// Pause after a failed call of the store; doubles up to [`MAX_RETRY`].
const RETRY: Duration = Duration::from_millis(150);
/// Longest pause between calls of a store that is away. Peers tell what is new meanwhile.
const MAX_RETRY: Duration = Duration::from_millis(1_000);

/// Calls the store and passes on what it tells.
#[derive(Clone)]
pub struct Source {
    /// Clock.
    pub clock: Clock,
    /// Store.
    pub store: Arc<dyn Store>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Where what it tells goes.
    pub mailbox: Mailbox<Message>,
    /// What is known by now.
    pub told: watch::Receiver<Told>,
    /// Pause between watches of the upstreams.
    pub rest: watch::Receiver<Rest>,
    /// Ends a rest: the store may be away.
    pub doubt: Arc<Notify>,
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
                    self.mailbox.send(Message::Configured(configuration));
                }
                Err(Error::Expired) => {
                    info!("store_history_gone", kv: { kind = "configuration" });
                    revision = None;
                }
                Err(_) => {
                    self.doubt.notify_one();
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY);
                }
            }
        }
    }

    /// Follows the upstreams until the process ends.
    pub async fn follow_upstreams(mut self) {
        let mut revision = None;
        let mut pause = RETRY;
        let mut away = false;
        loop {
            self.metrics.count(Counter::StoreCall);
            let read = match revision {
                None => self.list().await,
                // A watch would tell that the store is back only with the next change.
                Some(revision) if away => self.store.upstreams_since(revision).await.map(changed),
                Some(revision) => self.store.next_upstreams(revision).await.map(changed),
            };
            match read {
                Ok((newest, message)) => {
                    if std::mem::take(&mut away) {
                        info!("store_regained", kv: { revision = newest });
                        self.mailbox.send(Message::Regained);
                    }
                    self.mailbox.send(message);
                    pause = RETRY;
                    self.rest().await;
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
                        self.mailbox.send(Message::Lost);
                    }
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_RETRY);
                }
            }
        }
    }

    async fn rest(&mut self) {
        let began = self.clock.now();
        loop {
            let due = self.rest.borrow_and_update().due(began);
            tokio::select! {
                biased;
                () = self.clock.sleep_until(due) => return,
                () = self.doubt.notified() => return,
                Ok(()) = self.rest.changed() => {}
            }
        }
    }

    async fn list(&self) -> Result<(u64, Message), Error> {
        let listing = self.store.upstreams().await?;
        Ok((listing.revision, Message::Listed(listing)))
    }
}

fn changed(changes: Changes) -> (u64, Message) {
    (changes.revision, Message::Changed(changes))
}
