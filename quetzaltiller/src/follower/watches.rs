//! Watches of the store that end in time where the store has fallen silent.
//!
//! A silent store never answers what was sent to it, and until its time limit such a watch looks like
//! one without a change. The entry VMs that watch the upstreams for others do so with short waits.
//! Every call is paid for, so all other watches have long ones, and begin anew when the store answers
//! after a call for the upstreams was not answered. An entry VM that learns of changes from others uses a
//! long wait for the upstreams as well.

use super::store_status::StoreStatus;
use super::watch_pause::{Role, WatchPause};
use crate::control::Error;
use crate::prelude::*;
use futures::future::BoxFuture;
use tokio::sync::watch;

/// Wait of watches that need not find out that the store is silent.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Part of the time in which an entry VM has to follow the store again after an outage that a watch
/// of the upstreams waits. The rest is for its time limit and the next call.
const WAIT_SHARE: u32 = 2;

/// Watches of one entry VM; clones share what they know.
#[derive(Clone, Debug)]
pub struct Watches {
    recovery: Duration,
    pause: watch::Receiver<WatchPause>,
    status: watch::Receiver<StoreStatus>,
}

impl Watches {
    /// Watches of an entry VM that has to follow the store again within `recovery` after an outage.
    pub(super) fn new(
        recovery: Duration,
        pause: watch::Receiver<WatchPause>,
        status: watch::Receiver<StoreStatus>,
    ) -> Self {
        Self { recovery, pause, status }
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

    /// Watches other objects by `call`, which gets the wait; calls again when the store answers after
    /// a silence, in which it may have received the call. Fails as the call does.
    pub async fn watch<'a, T>(
        &self,
        call: impl Fn(Duration) -> BoxFuture<'a, Result<T, Error>>,
    ) -> Result<T, Error> {
        let mut status = self.status.clone();
        loop {
            let known = all_silences(&status.borrow_and_update());
            tokio::select! {
                biased;
                result = call(LONG_WAIT) => return result,
                Ok(_) = status.wait_for(|status| all_silences(status) > known) => {}
            }
        }
    }
}

fn all_silences(status: &StoreStatus) -> u32 {
    status.silences + status.reported_silences
}
