use super::store::{Object, Store};
use coordination::quarantine::{Ledger, Record, Subject, Verdicts};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// An entry VM: its ledger and its path to the store.
#[derive(Clone, Debug, Default)]
pub struct Vm {
    /// Number of the start of its process.
    pub start: u32,
    pub is_up: bool,
    pub is_cut: bool,
    pub frozen_until: u64,
    /// Last time at which it was disturbed.
    pub disturbed_at: Option<u64>,
    pub ledger: Ledger,
    pub verdicts: Verdicts,
    pub is_notified: bool,
    pub synced_at: Option<u64>,
    /// Time before which it writes no more, and whether it waits for it.
    pub next_write_at: u64,
    pub is_flush_due: bool,
    /// Offset of its steady clock.
    clock: u64,
    cursor: usize,
    era: Option<u32>,
    revisions: BTreeMap<Subject, u64>,
    /// Parts whose records are to be written and those that are being written.
    dirty: BTreeSet<Subject>,
    written: BTreeSet<Subject>,
}

/// One write to the store.
#[derive(Clone, Debug)]
pub struct Write {
    pub part: Subject,
    pub known: Option<u64>,
    pub record: Record,
}

impl Vm {
    /// Starts its process, which holds nothing of before.
    pub fn start(&mut self, now: u64, clock: u64) {
        *self = Self { start: self.start + 1, is_up: true, clock, ..Self::default() };
        self.disturbed_at = Some(now);
    }

    pub fn steady(&self, now: u64) -> Duration {
        Duration::from_millis(now + self.clock)
    }

    pub fn runs(&self, now: u64) -> bool {
        self.is_up && now >= self.frozen_until
    }

    pub fn reaches_store(&self, now: u64) -> bool {
        self.runs(now) && !self.is_cut
    }

    /// Merges what changed in the store since the last call.
    pub fn sync(&mut self, now: u64, store: &mut Store) {
        self.is_notified = false;
        self.synced_at = Some(now);
        if self.era != Some(store.era()) {
            self.list(now, store);
            return;
        }
        for part in store.watch(&mut self.cursor) {
            let object = store.get(part).cloned();
            self.learn(now, part, object);
        }
        self.refresh();
    }

    /// Merges all records of the store, and writes those that it lacks.
    fn list(&mut self, now: u64, store: &mut Store) {
        store.watch(&mut self.cursor);
        self.era = Some(store.era());
        let mut parts = store.objects().keys().copied().collect::<BTreeSet<_>>();
        parts.extend(self.ledger.records().map(|(part, _)| part));
        for part in parts {
            self.learn(now, part, store.get(part).cloned());
        }
        self.refresh();
    }

    fn learn(&mut self, now: u64, part: Subject, object: Option<Object>) {
        let steady = self.steady(now);
        let Some(object) = object else {
            self.revisions.remove(&part);
            self.dirty.insert(part);
            return;
        };
        self.revisions.insert(part, object.revision);
        if self.ledger.merge(steady, part, &object.record) {
            self.dirty.insert(part);
        } else {
            self.dirty.remove(&part);
        }
    }

    /// Records that are to be written now.
    pub fn take_writes(&mut self) -> Vec<Write> {
        let parts = self.dirty.difference(&self.written).copied().collect::<Vec<_>>();
        let mut writes = Vec::new();
        for part in parts {
            self.dirty.remove(&part);
            if let Some(record) = self.ledger.record(part).cloned() {
                self.written.insert(part);
                writes.push(Write { part, known: self.revisions.get(&part).copied(), record });
            }
        }
        writes
    }

    /// The record that is to be written first, unless a write is under way.
    pub fn take_write(&mut self) -> Option<Write> {
        if !self.written.is_empty() {
            return None;
        }
        while let Some(part) = self.dirty.pop_first() {
            if let Some(record) = self.ledger.record(part).cloned() {
                self.written.insert(part);
                return Some(Write { part, known: self.revisions.get(&part).copied(), record });
            }
        }
        None
    }

    /// Takes the answer to a write; none if there was none.
    pub fn finish(&mut self, now: u64, part: Subject, answer: Option<Result<u64, Option<Object>>>) {
        self.written.remove(&part);
        match answer {
            None => {
                self.dirty.insert(part);
            }
            Some(Ok(revision)) => {
                self.revisions.insert(part, revision);
            }
            Some(Err(object)) => self.learn(now, part, object),
        }
        self.refresh();
    }

    pub fn record_crash(&mut self, now: u64, parts: &[Subject], engine: &str) {
        let changed = self.ledger.record_crash(self.steady(now), parts, engine);
        self.dirty.extend(changed);
        self.refresh();
    }

    pub fn record_settled(&mut self, now: u64, parts: &[Subject]) {
        let changed = self.ledger.record_settled(self.steady(now), parts);
        if !changed.is_empty() {
            self.dirty.extend(changed);
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.verdicts = self.ledger.verdicts();
    }
}
