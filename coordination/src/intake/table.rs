//! The messages of an intake and their groups.

use super::Error;
use super::usage::Usage;
use crate::memory::{self, Budget, Buffer, Message};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Called when a message is dropped for others.
type OnDrop = Box<dyn FnOnce() + Send>;

/// A message that is arriving.
struct Entry {
    group: Arc<str>,
    buffer: Buffer,
    usage: Usage,
    on_drop: OnDrop,
}

/// Messages that are arriving, by number, and the shares of their groups.
pub struct Table {
    budget: Budget,
    group_limit: usize,
    groups: BTreeMap<Arc<str>, Budget>,
    next: u64,
    entries: BTreeMap<u64, Entry>,
}

impl Table {
    /// Creates a table without messages.
    pub fn new(budget: Budget, group_limit: usize) -> Self {
        Self { budget, group_limit, groups: BTreeMap::new(), next: 0, entries: BTreeMap::new() }
    }

    /// Number of messages.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of bytes held.
    pub fn held(&self) -> usize {
        self.budget.held()
    }

    /// Adds an empty message of `group`, of at most `limit` bytes; returns its number.
    pub fn insert(&mut self, group: &str, limit: usize, on_drop: OnDrop) -> u64 {
        let group: Arc<str> = group.into();
        let share = || self.budget.share(self.group_limit);
        let budget = self.groups.entry(group.clone()).or_insert_with(share);
        let buffer = Buffer::new(budget, limit);
        self.next += 1;
        let entry = Entry { group, buffer, usage: Usage::default(), on_drop };
        self.entries.insert(self.next, entry);
        self.next
    }

    /// Appends a piece to a message.
    pub fn append(&mut self, number: u64, piece: &[u8], now: Duration) -> Result<(), Error> {
        self.grow(number, piece.len(), now, |buffer| buffer.append(piece))
    }

    /// Removes a message and returns it whole.
    pub fn finish(&mut self, number: u64, now: Duration) -> Result<Message, Error> {
        let length = self.entries.get(&number).map_or(0, |entry| entry.buffer.reserved());
        self.grow(number, length, now, Buffer::prepare_finish)?;
        let entry = self.entries.remove(&number).ok_or(Error::Dropped)?;
        entry.buffer.finish().map_err(|_| Error::NoRoom)
    }

    /// Removes a message, and its group if that holds nothing.
    pub fn remove(&mut self, number: u64) {
        self.entries.remove(&number);
        if self.entries.is_empty() {
            self.groups.retain(|_, share| share.held() > 0);
        }
    }

    /// Performs `step`, which takes about `bytes` more memory for a message, and drops others until
    /// there is room for it.
    fn grow(
        &mut self,
        number: u64,
        bytes: usize,
        now: Duration,
        mut step: impl FnMut(&mut Buffer) -> Result<(), memory::Error>,
    ) -> Result<(), Error> {
        loop {
            let entry = self.entries.get_mut(&number).ok_or(Error::Dropped)?;
            match step(&mut entry.buffer) {
                Ok(()) => {
                    entry.usage.set_bytes(entry.buffer.reserved(), now);
                    return Ok(());
                }
                Err(memory::Error::TooLong) => return Err(Error::TooLong),
                Err(memory::Error::BudgetUsedUp) => {}
            }
            if !self.drop_costliest(number, bytes, now) {
                return Err(Error::NoRoom);
            }
        }
    }

    /// Drops the message that has used most memory, among those of the same group if that has used up
    /// its share; returns false if it is the message `number` itself.
    fn drop_costliest(&mut self, number: u64, bytes: usize, now: Duration) -> bool {
        let Some(entry) = self.entries.get(&number) else {
            return false;
        };
        let group = entry.group.clone();
        // A buffer grows by whole segments, so it needs up to one more than the bytes.
        let wanted = bytes + memory::SMALL_MESSAGE;
        let total = entry.buffer.reserved() + wanted;
        let is_share_used_up =
            self.groups.get(&group).is_some_and(|share| !share.has_room(wanted, total));
        let usage = |entry: &Entry| entry.usage.byte_ms(now);
        let candidates = self.entries.iter().filter(|(candidate, entry)| {
            **candidate != number
                && entry.buffer.reserved() > 0
                && (!is_share_used_up || entry.group == group)
        });
        let Some((&costliest, victim)) = candidates.max_by_key(|(_, entry)| usage(entry)) else {
            return false;
        };
        if usage(victim) < usage(entry) {
            return false;
        }
        if let Some(dropped) = self.entries.remove(&costliest) {
            (dropped.on_drop)();
        }
        true
    }
}

impl fmt::Debug for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Table").field("messages", &self.len()).finish_non_exhaustive()
    }
}
