//! Follows the accepted configuration.
//!
//! The number decides: whatever the source, a set is taken only when its number is higher than
//! that in force. The platform is watched; peers that have a newer set are asked for it.

use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::objects::{Accepted, Set};
use crate::platform::{ACCEPTED_KEY, Store};
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use coordination::feed::Feed;
use tokio::sync::{mpsc, watch};

const RETRY: Duration = Duration::from_millis(200);

/// The set in force and its JSON text.
#[derive(Debug, Default)]
pub struct Current {
    /// Indexed set.
    pub set: Arc<Set>,
    /// Text for peers.
    pub json: String,
}

/// Handle to the configuration in force.
#[derive(Clone, Debug)]
pub struct Catalog {
    mailbox: Mailbox<String>,
    current: watch::Receiver<Arc<Current>>,
}

impl Catalog {
    /// Starts following the platform in `scope`.
    pub fn start(scope: &Scope, store: Arc<dyn Store>, metrics: Arc<Metrics>) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (sender, current) = watch::channel(Arc::default());
        scope.spawn(keep(messages, sender));
        scope.spawn(follow(store, metrics, mailbox.clone()));
        Self { mailbox, current }
    }

    /// Offers the JSON text of an accepted set.
    pub fn update_if_newer(&self, json: String) {
        self.mailbox.send(json);
    }

    /// Set in force.
    pub fn set(&self) -> Arc<Set> {
        self.current.borrow().set.clone()
    }

    /// Number in force.
    pub fn number(&self) -> u64 {
        self.current.borrow().set.number
    }

    /// Notices of changes.
    pub fn changes(&self) -> watch::Receiver<Arc<Current>> {
        self.current.clone()
    }

    /// Answers a peer that has `number`.
    pub fn pull(&self, number: u64) -> wire::Accepted {
        let current = self.current.borrow().clone();
        let json = if current.set.number > number { current.json.clone() } else { String::new() };
        wire::Accepted { number: current.set.number, json }
    }
}

async fn keep(mut offers: mpsc::UnboundedReceiver<String>, current: watch::Sender<Arc<Current>>) {
    let mut feed = Feed::default();
    while let Some(json) = offers.recv().await {
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

async fn follow(store: Arc<dyn Store>, metrics: Arc<Metrics>, mailbox: Mailbox<String>) {
    let mut seen = 0;
    loop {
        match read_newer(store.as_ref(), &metrics, seen).await {
            Ok(Some((version, json))) => {
                seen = version;
                mailbox.send(json);
            }
            Ok(None) => {}
            Err(reason) => {
                debug!("configuration_watch_failed", kv: { reason:? = reason.to_string() });
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

async fn read_newer(
    store: &dyn Store,
    metrics: &Metrics,
    seen: u64,
) -> Result<Option<(u64, String)>, crate::platform::Error> {
    metrics.count(Counter::StoreCall);
    let newest = store.watch(ACCEPTED_KEY, seen).await?;
    if newest <= seen {
        return Ok(None);
    }
    metrics.count(Counter::StoreCall);
    let stored = store.read(ACCEPTED_KEY).await?;
    Ok(stored.map(|stored| (stored.version, stored.value)))
}
