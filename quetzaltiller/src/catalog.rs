//! Follows the accepted configuration.
//!
//! A set comes into force only if its number is higher than the current one, whatever its source:
//! the platform's store, which is watched, or a peer that has a newer set, which is requested from
//! it.

use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::objects::{Accepted, Set};
use crate::platform::{ACCEPTED_KEY, Store};
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use coordination::feed::Feed;
use tokio::sync::{mpsc, watch};

/// Delay before the store is watched again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The set in force and its JSON text.
#[derive(Debug, Default)]
pub struct Current {
    /// Set in its indexed form.
    pub set: Arc<Set>,
    /// JSON text that is sent to peers.
    pub json: String,
}

/// Handle to the configuration in force.
#[derive(Clone, Debug)]
pub struct Catalog {
    mailbox: Mailbox<String>,
    current: watch::Receiver<Arc<Current>>,
}

impl Catalog {
    /// Starts to follow the platform's store in `scope`.
    pub fn start(scope: &Scope, store: Arc<dyn Store>, metrics: Arc<Metrics>) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (sender, current) = watch::channel(Arc::default());
        scope.spawn(apply_updates(messages, sender));
        scope.spawn(watch_store(store, metrics, mailbox.clone()));
        Self { mailbox, current }
    }

    /// Puts an accepted set, given as JSON text, in force if its number is higher.
    pub fn update_if_newer(&self, json: String) {
        self.mailbox.send(json);
    }

    /// Current set.
    pub fn set(&self) -> Arc<Set> {
        self.current.borrow().set.clone()
    }

    /// Number of the current set.
    pub fn number(&self) -> u64 {
        self.current.borrow().set.number
    }

    /// Receiver of the current set and of each later one.
    pub fn changes(&self) -> watch::Receiver<Arc<Current>> {
        self.current.clone()
    }

    /// Answer to a peer whose set has the given number; the JSON is empty if that set is as new.
    pub fn pull(&self, number: u64) -> wire::Accepted {
        let current = self.current.borrow().clone();
        let json = if current.set.number > number { current.json.clone() } else { String::new() };
        wire::Accepted { number: current.set.number, json }
    }
}

async fn apply_updates(
    mut updates: mpsc::UnboundedReceiver<String>,
    current: watch::Sender<Arc<Current>>,
) {
    let mut feed = Feed::default();
    while let Some(json) = updates.recv().await {
        let accepted: Accepted = match serde_json::from_str(&json) {
            Ok(accepted) => accepted,
            Err(reason) => {
                error!("accepted_set_unreadable", kv: { reason:? = reason.to_string() });
                continue;
            }
        };
        let number = accepted.number;
        if feed.update_if_newer(number, ()) {
            info!("configuration_in_force", kv: { number });
            let set = Arc::new(Set::new(&accepted));
            current.send_replace(Arc::new(Current { set, json }));
        }
    }
}

async fn watch_store(store: Arc<dyn Store>, metrics: Arc<Metrics>, mailbox: Mailbox<String>) {
    let mut last_version = 0;
    loop {
        match read_newer(store.as_ref(), &metrics, last_version).await {
            Ok(Some((version, json))) => {
                last_version = version;
                mailbox.send(json);
            }
            Ok(None) => {}
            Err(reason) => {
                debug!("configuration_watch_failed", kv: { reason:? = reason.to_string() });
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read_newer(
    store: &dyn Store,
    metrics: &Metrics,
    last_version: u64,
) -> Result<Option<(u64, String)>, crate::platform::Error> {
    metrics.count(Counter::StoreCall);
    let newest = store.watch(ACCEPTED_KEY, last_version).await?;
    if newest <= last_version {
        return Ok(None);
    }
    metrics.count(Counter::StoreCall);
    let stored = store.read(ACCEPTED_KEY).await?;
    Ok(stored.map(|stored| (stored.version, stored.value)))
}
