//! The point that every call passes: latency, and parties that are dead, frozen or parted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// The party called is dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Dead;

#[derive(Debug, Default)]
struct State {
    latency: Duration,
    dead: BTreeSet<String>,
    frozen: BTreeSet<String>,
    parted: BTreeSet<(String, String)>,
    slow: BTreeMap<String, Duration>,
}

/// Shared by all stand-ins of one system.
#[derive(Clone, Debug)]
pub struct Network {
    state: Arc<Mutex<State>>,
    changes: Arc<Notify>,
}

impl Network {
    /// Every call takes `latency` one way.
    pub fn new(latency: Duration) -> Self {
        let state = State { latency, ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), changes: Arc::default() }
    }

    /// Waits until a message from `from` reaches `to`.
    pub async fn deliver(&self, from: &str, to: &str) -> Result<(), Dead> {
        let latency = self.latency(to);
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
        loop {
            let changed = self.changes.notified();
            match self.verdict(from, to) {
                Some(verdict) => return verdict,
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

    /// Freezes or thaws a party: whatever passes to or from it waits.
    pub fn set_frozen(&self, party: &str, frozen: bool) {
        self.change(|state| set(&mut state.frozen, party.to_owned(), frozen));
    }

    /// Delays what goes to a party.
    pub fn set_slow(&self, party: &str, delay: Duration) {
        self.change(|state| {
            state.slow.insert(party.to_owned(), delay);
        });
    }

    /// Parts or joins two parties, in both directions.
    pub fn set_partitioned(&self, a: &str, b: &str, parted: bool) {
        self.change(|state| {
            set(&mut state.parted, (a.to_owned(), b.to_owned()), parted);
            set(&mut state.parted, (b.to_owned(), a.to_owned()), parted);
        });
    }

    /// Whether a message could pass now.
    pub fn is_reachable(&self, from: &str, to: &str) -> bool {
        self.verdict(from, to) == Some(Ok(()))
    }

    fn latency(&self, to: &str) -> Duration {
        let state = self.lock();
        state.latency + state.slow.get(to).copied().unwrap_or_default()
    }

    fn verdict(&self, from: &str, to: &str) -> Option<Result<(), Dead>> {
        let state = self.lock();
        let parted = state.parted.contains(&(from.to_owned(), to.to_owned()));
        if parted || state.frozen.contains(from) || state.frozen.contains(to) {
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
