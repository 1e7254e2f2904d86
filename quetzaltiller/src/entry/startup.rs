//! Tasks that carry news between the parts of an entry VM, and those of its start.

use crate::control::{Member, Store};
use crate::follower::Follower;
use crate::members::Members;
use crate::placement::{Placer, Successor};
use crate::prelude::*;
use std::collections::BTreeSet;
use tokio::sync::mpsc;

/// Losses are gathered for so long before peers are told, as a zone's engines go together.
const GATHER_LOSSES: Duration = Duration::from_millis(15);
/// Longest time that runs wait for it to be known who else is there; the store tells it in 10 ms.
const SETTLE_LIMIT: Duration = Duration::from_millis(400);
/// Time in which the members that the store told reach the choice of upstreams.
const INTRODUCTION: Duration = Duration::from_millis(5);
/// Pause between announcements that the store does not take.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(1_000);

/// Passes configurations and upstreams on to the choice of upstreams.
pub async fn keep_placer(placer: Placer, follower: Follower) {
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

/// Passes successors of lost upstreams on to what is followed.
pub async fn take_successors(mut found: mpsc::UnboundedReceiver<Successor>, follower: Follower) {
    while let Some(successor) = found.recv().await {
        follower.apply_successor(successor);
    }
}

/// Tells the other entry VMs at once of upstreams that are gone.
pub async fn spread_losses(placer: Placer, members: Members) {
    let mut lost = placer.lost();
    let mut known = BTreeSet::new();
    while lost.changed().await.is_ok() {
        tokio::time::sleep(GATHER_LOSSES).await;
        let now = BTreeSet::from_iter(lost.borrow_and_update().iter().cloned());
        if !now.is_subset(&known) {
            members.send_heartbeats_now();
        }
        known = now;
    }
}

/// Announces this entry VM in the store and learns of the others from there.
pub async fn announce(store: Arc<dyn Store>, own: Member, members: Members, placer: Placer) {
    while let Err(reason) = store.announce(&own).await {
        info!("announcement_failed", kv: { reason:? = reason.to_string() });
        tokio::time::sleep(ANNOUNCE_RETRY).await;
    }
    loop {
        match store.members().await {
            Ok(listed) => {
                members.add_provisional(listed);
                tokio::time::sleep(INTRODUCTION).await;
                return placer.mark_members_known();
            }
            Err(reason) => {
                info!("members_unknown", kv: { reason:? = reason.to_string() });
                tokio::time::sleep(ANNOUNCE_RETRY).await;
            }
        }
    }
}

/// Places runs without knowledge of the other entry VMs when the store does not tell it soon.
pub async fn settle(placer: Placer) {
    tokio::time::sleep(SETTLE_LIMIT).await;
    placer.mark_members_known();
}
