//! Membership delegate of the router: shares limits by demand and pulls configurations from peers.

use crate::catalog::Catalog;
use crate::control::Member;
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

/// Time between polls of the platform's list of VMs.
const VM_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Membership delegate of a router.
pub struct RouterDelegate {
    /// Catalog with the configuration in force.
    pub catalog: Catalog,
    /// Dispatch, which chooses upstreams.
    pub dispatch: Dispatch,
    /// Link to the other entry VMs.
    pub link: Arc<dyn Link>,
    /// Scope of the process's tasks.
    pub scope: Scope,
    /// Leaving upstreams as last sent to dispatch.
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
            self.scope
                .spawn(async move { pull_configuration(&catalog, link.as_ref(), &address).await });
        }
    }

    fn handle_view_change(&self, known: Vec<Member>, view: &View) {
        let known = known.into_iter().map(|member| member.name).collect();
        let alive = view.alive.iter().map(|beat| beat.name.clone()).collect();
        self.dispatch.set_members(known, alive);
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        if *leaving != view.leaving_upstreams {
            leaving.clone_from(&view.leaving_upstreams);
            self.dispatch.set_leaving(view.leaving_upstreams.clone());
        }
    }
}

/// Polls the platform's list of VMs and passes it to `members`; runs until it is dropped.
pub async fn poll_vms(store: Arc<dyn Store>, metrics: Arc<Metrics>, members: Members) {
    loop {
        metrics.count(Counter::StoreCall);
        if let Ok(vms) = store.vms().await {
            members.set_listed(vms);
        }
        tokio::time::sleep(VM_POLL_PERIOD).await;
    }
}

async fn pull_configuration(catalog: &Catalog, link: &dyn Link, address: &str) {
    let ask = wire::Ask::Pull(wire::Pull { number: catalog.number(), era: 0 });
    if let Ok(wire::Reply::Accepted(accepted)) = link.call(address, ask).await
        && !accepted.json.is_empty()
    {
        catalog.update_if_newer(accepted.json);
    }
}
