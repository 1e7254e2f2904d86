//! Connections between entry VMs in process.

use async_trait::async_trait;
use quetzaltiller::peer::{Error, Handler, Link};
use quetzaltiller::wire::{Ask, Reply};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Round trip between entry VMs.
const ROUND_TRIP: Duration = Duration::from_millis(3);

#[derive(Default)]
struct State {
    handlers: BTreeMap<String, Arc<dyn Handler>>,
    cut: BTreeSet<String>,
    /// Questions for upstreams.
    pulls: usize,
}

/// Entry VMs by peer address; clones are the same.
#[derive(Clone, Default)]
pub struct Hub {
    state: Arc<Mutex<State>>,
}

impl Hub {
    /// Adds or replaces an entry VM.
    pub fn insert(&self, address: &str, handler: Arc<dyn Handler>) {
        self.lock().handlers.insert(address.to_owned(), handler);
    }

    /// Cuts an entry VM off from the others, or joins it again.
    pub fn set_cut(&self, address: &str, cut: bool) {
        let mut state = self.lock();
        if cut {
            state.cut.insert(address.to_owned());
        } else {
            state.cut.remove(address);
        }
    }

    /// How often entry VMs asked others for upstreams.
    pub fn pulls(&self) -> usize {
        self.lock().pulls
    }

    /// The hub as one entry VM reaches it.
    pub fn link(&self, own_address: &str) -> Arc<dyn Link> {
        Arc::new(HubLink { hub: self.clone(), own_address: own_address.to_owned() })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct HubLink {
    hub: Hub,
    own_address: String,
}

#[async_trait]
impl Link for HubLink {
    async fn call(&self, address: &str, ask: Ask) -> Result<Reply, Error> {
        sleep(ROUND_TRIP).await;
        let handler = {
            let mut state = self.hub.lock();
            state.pulls += usize::from(matches!(ask, Ask::Upstreams(_)));
            if state.cut.contains(address) || state.cut.contains(&self.own_address) {
                return Err(Error::Timeout);
            }
            state.handlers.get(address).cloned().ok_or(Error::Unreachable)?
        };
        Ok(handler.answer(ask).await)
    }
}
