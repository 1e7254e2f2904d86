//! Open connections of a port, up to a limit.
//!
//! When the limit is reached, a new connection takes the place of the one that has been without a
//! request for longest: it is silent, has not sent its head, or is kept for later. If there is none, it
//! takes the place of the connection whose request has been arriving for longest. Connections that serve
//! a request keep their place.

use super::connection::Connection;
use super::{Cause, Rejections};
use crate::clock::Clock;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio_util::sync::CancellationToken;

/// What a connection is used for; in the order in which they lose their place.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// No whole head has arrived since the last answer.
    Idle,
    /// A body is arriving.
    Receiving,
    /// The request is being served.
    Serving,
}

/// State of one connection.
#[derive(Debug)]
struct Slot {
    phase: Phase,
    since: Duration,
    signals: Signals,
}

/// Signals to the task of a connection that loses its place.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// The connection is to be closed at once.
    pub close: CancellationToken,
    /// The request that is arriving is to be refused.
    pub refuse: CancellationToken,
}

/// Slots of the open connections, by number.
#[derive(Debug, Default)]
struct Slots {
    next: u64,
    open: BTreeMap<u64, Slot>,
}

/// Open connections of a port; clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    port: &'static str,
    limit: usize,
    clock: Clock,
    rejections: Rejections,
    slots: Arc<Mutex<Slots>>,
}

impl Connections {
    /// Creates the connections of `port`, at most `limit`.
    pub fn new(port: &'static str, limit: usize, clock: Clock, rejections: Rejections) -> Self {
        Self { port, limit, clock, rejections, slots: Arc::default() }
    }

    /// Name of the port.
    pub fn name(&self) -> &'static str {
        self.port
    }

    /// Maximum number of open connections.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.lock().open.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a connection, which takes the place of another if all are in use; none if all serve
    /// requests.
    pub fn open(&self) -> Option<Connection> {
        let mut slots = self.lock();
        if slots.open.len() >= self.limit && !self.close_one(&mut slots) {
            drop(slots);
            self.rejections.record(Cause::ConnectionRefused, self.port);
            return None;
        }
        slots.next += 1;
        let number = slots.next;
        let signals = Signals::default();
        let slot = Slot { phase: Phase::Idle, since: self.clock.now(), signals: signals.clone() };
        slots.open.insert(number, slot);
        Some(Connection::new(number, self.clone(), signals))
    }

    /// Changes what the connection `number` is used for.
    pub(super) fn set_phase(&self, number: u64, phase: Phase) {
        let now = self.clock.now();
        if let Some(slot) = self.lock().open.get_mut(&number) {
            (slot.phase, slot.since) = (phase, now);
        }
    }

    /// Removes the connection `number`.
    pub(super) fn remove(&self, number: u64) {
        self.lock().open.remove(&number);
    }

    /// Takes the place of the connection that is without a request for longest; returns false if all
    /// serve requests.
    fn close_one(&self, slots: &mut Slots) -> bool {
        let waiting = slots.open.iter().filter(|(_, slot)| slot.phase < Phase::Serving);
        let first = waiting.min_by_key(|(_, slot)| (slot.phase, slot.since));
        let Some(number) = first.map(|(number, _)| *number) else {
            return false;
        };
        if let Some(slot) = slots.open.remove(&number) {
            match slot.phase {
                Phase::Idle => slot.signals.close.cancel(),
                _ => slot.signals.refuse.cancel(),
            }
            self.rejections.record(Cause::ConnectionClosed, self.port);
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
