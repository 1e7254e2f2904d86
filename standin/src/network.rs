//! In-process network that all calls between stand-ins pass.
//!
//! Adds latency and lets tests kill, freeze, slow down and partition parties, which are known by
//! name.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Error of a message whose sender or receiver is dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Dead;

#[derive(Debug, Default)]
struct State {
    latency: Duration,
    dead: BTreeSet<String>,
    frozen: BTreeSet<String>,
    partitioned: BTreeSet<(String, String)>,
    slow: BTreeMap<String, Duration>,
}

/// Network of one system; clones share its state.
#[derive(Clone, Debug)]
pub struct Network {
    state: Arc<Mutex<State>>,
    changes: Arc<Notify>,
}

impl Network {
    /// Creates a network without faults on which every message takes `latency`.
    pub fn new(latency: Duration) -> Self {
        let state = State { latency, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), changes: Arc::default() }
    }

    /// Waits until a message from `from` reaches `to`, for as long as either is frozen or the
    /// two are partitioned; fails if either is dead.
    pub async fn deliver(&self, from: &str, to: &str) -> Result<(), Dead> {
        let latency = self.latency(to);
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
        loop {
            let changed = self.changes.notified();
            match self.delivery_outcome(from, to) {
                Some(outcome) => return outcome,
                None => changed.await,
            }
        }
    }

    /// Waits until `party` is not frozen.
    pub async fn wait_until_thawed(&self, party: &str) {
        loop {
            let changed = self.changes.notified();
            if !self.lock().frozen.contains(party) {
                return;
            }
            changed.await;
        }
    }

    /// Whether `party` is dead.
    pub fn is_dead(&self, party: &str) -> bool {
        self.lock().dead.contains(party)
    }

    /// Kills or revives a party.
    pub fn set_dead(&self, party: &str, dead: bool) {
        self.change(|state| set(&mut state.dead, party.to_owned(), dead));
    }

    /// Freezes or thaws a party; all messages to and from a frozen party wait.
    pub fn set_frozen(&self, party: &str, frozen: bool) {
        self.change(|state| set(&mut state.frozen, party.to_owned(), frozen));
    }

    /// Sets an additional delay for messages to a party.
    pub fn set_slow(&self, party: &str, delay: Duration) {
        self.change(|state| {
            state.slow.insert(party.to_owned(), delay);
        });
    }

    /// Partitions or reconnects two parties, in both directions.
    pub fn set_partitioned(&self, a: &str, b: &str, partitioned: bool) {
        self.change(|state| {
            set(&mut state.partitioned, (a.to_owned(), b.to_owned()), partitioned);
            set(&mut state.partitioned, (b.to_owned(), a.to_owned()), partitioned);
        });
    }

    /// Whether a message could be delivered now.
    pub fn is_reachable(&self, from: &str, to: &str) -> bool {
        self.delivery_outcome(from, to) == Some(Ok(()))
    }

    fn latency(&self, to: &str) -> Duration {
        let state = self.lock();
        state.latency + state.slow.get(to).copied().unwrap_or_default()
    }

    /// Returns the outcome of a message sent now; `None` while it has to wait.
    fn delivery_outcome(&self, from: &str, to: &str) -> Option<Result<(), Dead>> {
        let state = self.lock();
        let partitioned = state.partitioned.contains(&(from.to_owned(), to.to_owned()));
        if partitioned || state.frozen.contains(from) || state.frozen.contains(to) {
            return None;
        }
        let dead = state.dead.contains(to) || state.dead.contains(from);
        Some(if dead { Err(Dead) } else { Ok(()) })
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changes.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn set<T: Ord>(members: &mut BTreeSet<T>, member: T, present: bool) {
    if present {
        members.insert(member);
    } else {
        members.remove(&member);
    }
}
