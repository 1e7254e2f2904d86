//! Tasks that forward updates between the components of an entry VM, and tasks that run once at its
//! start.

use crate::control::{Member, Store};
use crate::follower::Follower;
use crate::members::Members;
use crate::placement::{Placer, Successor};
use crate::prelude::*;
use crate::upstream::Client;
use coordination::rendezvous::score;
use futures::future::join_all;
use std::collections::BTreeSet;
use tokio::sync::mpsc;

/// Time for which lost upstreams are batched before the heartbeats are sent; the engines of a zone
/// are often lost together.
const LOSS_BATCH_DELAY: Duration = Duration::from_millis(15);
/// Maximum time for which runs wait until the other entry VMs are known; the store lists them in 10
/// ms.
const MAX_WAIT_FOR_MEMBERS: Duration = Duration::from_millis(400);
/// Time in which the members that the store listed reach the placer.
const MEMBER_UPDATE_DELAY: Duration = Duration::from_millis(5);
/// Pause after a failed announcement or a failed listing of members.
const ANNOUNCE_RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Time over which the announcements of a new era are spread, for each entry VM.
const ANNOUNCE_SPREAD: Duration = Duration::from_millis(100);
/// Key that gives each entry VM its place among the announcements of a new era.
const ANNOUNCE_KEY: &str = "announce";
/// Pause between the health checks of disputed upstreams.
const DISPUTE_CHECK_PAUSE: Duration = Duration::from_millis(1_000);
/// Timeout of such a check: many times the round trip between zones.
const DISPUTE_CHECK_TIMEOUT: Duration = Duration::from_millis(80);

/// Forwards configurations and upstreams from the follower to the placer.
pub async fn update_placer(placer: Placer, follower: Follower) {
    let (mut routes, mut directory) = (follower.watch_routes(), follower.watch_directory());
    loop {
        tokio::select! {
            biased;
            changed = routes.changed() => match changed {
                Ok(()) => placer.configure(routes.borrow_and_update().clone()),
                Err(_) => return,
            },
            changed = directory.changed() => match changed {
                Ok(()) => placer.set_upstreams(directory.borrow_and_update().clone()),
                Err(_) => return,
            },
        }
    }
}

/// Forwards successors of lost upstreams from the placer to the follower.
pub async fn apply_successors(
    mut successors: mpsc::UnboundedReceiver<Successor>,
    follower: Follower,
) {
    while let Some(successor) = successors.recv().await {
        follower.apply_successor(successor);
    }
}

/// Sends heartbeats to the other entry VMs as soon as upstreams are lost.
pub async fn broadcast_losses(placer: Placer, members: Members) {
    let mut lost = placer.lost();
    let mut known = BTreeSet::new();
    while lost.changed().await.is_ok() {
        tokio::time::sleep(LOSS_BATCH_DELAY).await;
        let now = BTreeSet::from_iter(lost.borrow_and_update().iter().cloned());
        if !now.is_subset(&known) {
            members.send_heartbeats_now();
        }
        known = now;
    }
}

/// Announces this entry VM in the store, again in each new era, and adds the members that the store
/// lists.
pub async fn announce(
    store: Arc<dyn Store>,
    own: Member,
    (members, follower): (Members, Follower),
    placer: Placer,
) {
    let mut announced_era = announce_once(&*store, &own).await;
    add_listed_members(&*store, &members, placer).await;
    while let Some(era) = follower.wait_for_era_after(announced_era).await {
        tokio::time::sleep(announcement_delay(&own.name, members.view().alive.len())).await;
        announced_era = announce_once(&*store, &own).await.max(era);
        info!("announcement_repeated", kv: { era = announced_era });
    }
}

/// Announces this entry VM in the store; returns the era in which the store has the announcement.
async fn announce_once(store: &dyn Store, own: &Member) -> u64 {
    loop {
        match store.announce(own).await {
            Ok(era) => return era,
            Err(reason) => {
                info!("announcement_failed", kv: { reason:? = reason.to_string() });
                tokio::time::sleep(ANNOUNCE_RETRY_PAUSE).await;
            }
        }
    }
}

/// Delay of the announcement of `name` in a new era, so that those of all entry VMs come at an even
/// rate.
fn announcement_delay(name: &str, others: usize) -> Duration {
    let place = score(name, ANNOUNCE_KEY) as f64 / u64::MAX as f64;
    (ANNOUNCE_SPREAD * (others as u32 + 1)).mul_f64(place)
}

/// Adds the members that the store lists.
async fn add_listed_members(store: &dyn Store, members: &Members, placer: Placer) {
    loop {
        match store.members().await {
            Ok(listed) => {
                members.add_provisional(listed);
                tokio::time::sleep(MEMBER_UPDATE_DELAY).await;
                placer.mark_members_listed();
                return placer.mark_members_known();
            }
            Err(reason) => {
                info!("members_unknown", kv: { reason:? = reason.to_string() });
                tokio::time::sleep(ANNOUNCE_RETRY_PAUSE).await;
            }
        }
    }
}

/// Checks disputed upstreams at their own processes until they are confirmed or no longer listed.
pub async fn check_disputed(client: Arc<dyn Client>, follower: Follower) {
    while follower.wait_for_disputes().await {
        let routes = follower.routes();
        let disputed = follower.disputed();
        let checks = disputed.into_iter().map(|upstream| {
            let (routes, client) = (&routes, &client);
            async move {
                let path = &routes.service(&upstream.service)?.check_path;
                let accepts = client.accepts_work(&upstream, path, DISPUTE_CHECK_TIMEOUT).await;
                accepts.then_some(upstream)
            }
        });
        join_all(checks).await.into_iter().flatten().for_each(|found| follower.confirm(found));
        tokio::time::sleep(DISPUTE_CHECK_PAUSE).await;
    }
}

/// Lets runs be placed without known members if the store has not listed them within
/// [`MAX_WAIT_FOR_MEMBERS`].
pub async fn limit_wait_for_members(placer: Placer) {
    tokio::time::sleep(MAX_WAIT_FOR_MEMBERS).await;
    placer.mark_members_known();
}
