//! In-process links between entry VMs.

use async_trait::async_trait;
use quetzaltiller::peer::{Error, Handler, Link};
use quetzaltiller::wire::{Ask, Reply};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Round trip time between entry VMs.
const ROUND_TRIP: Duration = Duration::from_millis(3);

#[derive(Default)]
struct State {
    handlers: BTreeMap<String, Arc<dyn Handler>>,
    cut: BTreeSet<String>,
    /// Number of calls for upstreams.
    pulls: usize,
}

/// Entry VMs by peer address; clones share them.
#[derive(Clone, Default)]
pub struct Hub {
    state: Arc<Mutex<State>>,
}

impl Hub {
    /// Adds or replaces an entry VM.
    pub fn insert(&self, address: &str, handler: Arc<dyn Handler>) {
        self.lock().handlers.insert(address.to_owned(), handler);
    }

    /// Disconnects an entry VM from all others, or reconnects it.
    pub fn set_cut(&self, address: &str, cut: bool) {
        let mut state = self.lock();
        if cut {
            state.cut.insert(address.to_owned());
        } else {
            state.cut.remove(address);
        }
    }

    /// Returns how many times entry VMs called others for upstreams.
    pub fn pulls(&self) -> usize {
        self.lock().pulls
    }

    /// Returns the link of the entry VM at `own_address`.
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
