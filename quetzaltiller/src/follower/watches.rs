//! Watches of the store that end in time where the store or a connection has fallen silent.
//!
//! A silent store never answers what was sent to it, and until its time limit such a watch looks like
//! one without a change. The entry VMs that watch the upstreams for others do so with short waits.
//! Every call is paid for, so all other watches have long ones, and begin anew when the store answers
//! after a call for the upstreams was not answered. An entry VM that learns of changes from others uses a
//! long wait for the upstreams as well.
//!
//! Where only the connection of one long watch is silent, nothing goes unanswered that has a short
//! limit. The store's revision tells: it counts the changes of all objects, and the answers to the short
//! watches state it. A watch that has not told what lies behind a revision is given up, and the
//! objects are read anew.

use super::gaps::Gaps;
use super::store_status::StoreStatus;
use super::watch_pause::{Role, WatchPause};
use crate::control::{Changes, Error, Version};
use crate::prelude::*;
use futures::future::BoxFuture;
use tokio::sync::watch;
use tokio::time::Instant;

/// Wait of watches that need not find out that the store is silent.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Time for a watch to tell of a change that the answer to another call has shown: its answer, which
/// comes by another connection. Together with a wait for the upstreams and the pause after it (1.7 s) it
/// is less than the 2 s in which a configuration has to be in force (users' settings).
const DELIVERY_TIME: Duration = Duration::from_millis(100);
/// Minimum time that a watch is given, so that a store with many changes of objects that no watch
/// follows does not cost a call for each. Well below the same 2 s.
const MIN_WATCH_TIME: Duration = Duration::from_secs(1);
/// Part of the time in which an entry VM has to follow the store again after an outage that a watch
/// of the upstreams waits. The rest is for its time limit and the next call.
const WAIT_SHARE: u32 = 2;

/// Outcome of a watch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Watched<T> {
    /// Answer of the store.
    Answered(T),
    /// The store has changed at this version, and the watch has not told whether its objects have.
    Behind(Version),
}

/// Watches of one entry VM; clones share what they know.
#[derive(Clone, Debug)]
pub struct Watches {
    recovery: Duration,
    pause: watch::Receiver<WatchPause>,
    status: watch::Receiver<StoreStatus>,
    gaps: Arc<watch::Sender<Gaps>>,
}

impl Watches {
    /// Watches of an entry VM that has to follow the store again within `recovery` after an outage.
    pub(super) fn new(
        recovery: Duration,
        pause: watch::Receiver<WatchPause>,
        status: watch::Receiver<StoreStatus>,
    ) -> Self {
        Self { recovery, pause, status, gaps: Arc::default() }
    }

    /// Watches without one of the upstreams beside them, which find no outage.
    pub fn alone() -> Self {
        Self::new(
            LONG_WAIT,
            watch::channel(WatchPause::default()).1,
            watch::channel(StoreStatus::default()).1,
        )
    }

    fn wait(recovery: Duration, role: Role) -> Duration {
        match role {
            Role::Relay | Role::Deputy => recovery / WAIT_SHARE,
            Role::Relayed => LONG_WAIT,
        }
    }

    /// Watches the upstreams by `call`, which gets the wait; calls again if the role changes to one
    /// with a shorter wait. Fails as the call does.
    pub(super) async fn watch_upstreams<'a, T>(
        &self,
        call: impl Fn(Duration) -> BoxFuture<'a, Result<T, Error>>,
    ) -> Result<T, Error> {
        let (recovery, mut pause) = (self.recovery, self.pause.clone());
        loop {
            let wait = Self::wait(recovery, pause.borrow_and_update().role);
            tokio::select! {
                biased;
                result = call(wait) => return result,
                Ok(_) = pause.wait_for(|pause| Self::wait(recovery, pause.role) < wait) => {}
            }
        }
    }

    /// Watches the objects of another kind, which are known at version `known`, by `call`, which gets
    /// the wait; calls again when the store answers after a silence, in which it may have received the
    /// call. Fails as the call does.
    pub async fn watch<'a, T>(
        &self,
        kind: &str,
        known: Version,
        call: impl Fn(Duration) -> BoxFuture<'a, Result<T, Error>>,
    ) -> Result<Watched<T>, Error> {
        let mut status = self.status.clone();
        let began = Instant::now();
        loop {
            let silences = all_silences(&status.borrow_and_update());
            let cause = tokio::select! {
                biased;
                result = call(LONG_WAIT) => return result.map(Watched::Answered),
                gap = self.fall_behind(known, began) => {
                    log_renewal(kind, "behind", began, gap);
                    return Ok(Watched::Behind(gap));
                }
                Ok(_) = status.wait_for(|status| all_silences(status) > silences) => "silence",
            };
            log_renewal(kind, cause, began, known);
        }
    }

    /// Waits until the store has changed after `known` and a watch that began at `began` has had the
    /// time to tell so; returns the version of the change.
    async fn fall_behind(&self, known: Version, began: Instant) -> Version {
        let mut gaps = self.gaps.subscribe();
        loop {
            // The sender lives as long as these watches, so waiting can't fail.
            let _ = gaps.wait_for(|gaps| gaps.newest_after(known).is_some()).await;
            let told_by = (began + MIN_WATCH_TIME).max(Instant::now() + DELIVERY_TIME);
            tokio::time::sleep_until(told_by).await;
            if let Some(gap) = gaps.borrow_and_update().newest_after(known) {
                return gap;
            }
        }
    }

    /// Records what `changes` of upstreams since a version pass over.
    pub(super) fn record_gaps(&self, since: Version, changes: &Changes) {
        self.gaps.send_if_modified(|gaps| gaps.record(since, changes));
    }

    /// Records that the history before a listing of the upstreams is gone.
    pub(super) fn record_lost_history(&self, listed: Version) {
        self.gaps.send_modify(|gaps| gaps.record_all_until(listed));
    }

    /// Records that a watch of another kind has told of changes at these revisions.
    pub fn account_for(&self, era: u64, revisions: impl Iterator<Item = u64>) {
        let versions = revisions.map(|revision| Version { era, revision });
        // Only removes gaps, for which nothing waits.
        self.gaps.send_if_modified(|gaps| {
            gaps.account_for(versions);
            false
        });
    }
}

fn log_renewal(kind: &str, cause: &str, began: Instant, store: Version) {
    info!("store_watch_renewed", kv: {
        kind, cause, waited_ms = began.elapsed().as_millis() as u64,
        era = store.era, revision = store.revision
    });
}

fn all_silences(status: &StoreStatus) -> u32 {
    status.silences + status.reported_silences
}
