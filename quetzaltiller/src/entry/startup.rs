//! Tasks that forward updates between the components of an entry VM, and tasks that run once at its
//! start.

use crate::control::{Member, Store};
use crate::follower::Follower;
use crate::members::Members;
use crate::placement::{Placer, Successor};
use crate::prelude::*;
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

/// Announces this entry VM in the store and adds the members that the store lists.
pub async fn announce(store: Arc<dyn Store>, own: Member, members: Members, placer: Placer) {
    while let Err(reason) = store.announce(&own).await {
        info!("announcement_failed", kv: { reason:? = reason.to_string() });
        tokio::time::sleep(ANNOUNCE_RETRY_PAUSE).await;
    }
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

/// Lets runs be placed without known members if the store has not listed them within
/// [`MAX_WAIT_FOR_MEMBERS`].
pub async fn limit_wait_for_members(placer: Placer) {
    tokio::time::sleep(MAX_WAIT_FOR_MEMBERS).await;
    placer.mark_members_known();
}
