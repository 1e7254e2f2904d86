//! The router's part in membership: limits shared by demand, and configuration from peers.

use crate::catalog::Catalog;
use crate::dispatch::Dispatch;
use crate::members::{Delegate, Members, View};
use crate::metrics::{Counter, Metrics};
use crate::peer::Link;
use crate::platform::Store;
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

const VM_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Tells and takes what routers share.
pub struct RouterDelegate {
    /// Configuration.
    pub catalog: Catalog,
    /// Choice of upstreams.
    pub dispatch: Dispatch,
    /// Other entry VMs.
    pub link: Arc<dyn Link>,
    /// Tasks of this process.
    pub scope: Scope,
    /// Upstreams that dispatch knows to be leaving.
    pub leaving: Mutex<BTreeSet<String>>,
}

impl Delegate for RouterDelegate {
    fn fill_heartbeat(&self, beat: &mut wire::Heartbeat, _near: bool) {
        beat.number = self.catalog.number();
        beat.usage = self.dispatch.usage();
    }

    fn handle_heartbeat(&self, beat: &wire::Heartbeat) {
        let usage = beat.usage.iter().map(|usage| (usage.account.clone(), usage.count));
        self.dispatch.record_usage(beat.name.clone(), usage.collect());
        if beat.number > self.catalog.number() {
            let (catalog, link) = (self.catalog.clone(), self.link.clone());
            let address = beat.peer_address.clone();
            self.scope.spawn(async move { pull(&catalog, link.as_ref(), &address).await });
        }
    }

    fn handle_view_change(&self, known: Vec<String>, view: &View) {
        let alive = view.alive.iter().map(|beat| beat.name.clone()).collect();
        self.dispatch.set_members(known, alive);
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        if *leaving != view.leaving_upstreams {
            leaving.clone_from(&view.leaving_upstreams);
            self.dispatch.set_leaving(view.leaving_upstreams.clone());
        }
    }
}

/// Tells `members` the platform's list of VMs from time to time.
pub async fn list_vms(store: Arc<dyn Store>, metrics: Arc<Metrics>, members: Members) {
    loop {
        metrics.count(Counter::StoreCall);
        if let Ok(vms) = store.vms().await {
            members.set_listed(vms);
        }
        tokio::time::sleep(VM_LIST_PERIOD).await;
    }
}

async fn pull(catalog: &Catalog, link: &dyn Link, address: &str) {
    let ask = wire::Ask::Pull(wire::Pull { number: catalog.number() });
    if let Ok(wire::Reply::Accepted(accepted)) = link.call(address, ask).await
        && !accepted.json.is_empty()
    {
        catalog.update_if_newer(accepted.json);
    }
}
