use coordination::quarantine::{Record, Subject};
use std::collections::BTreeMap;

/// Time before the present of the copy from which a store is restored.
const COPY_AGE_MS: u64 = 5_000;

/// A stored record and the revision of its last change.
#[derive(Clone, Debug)]
pub struct Object {
    pub revision: u64,
    pub record: Record,
}

/// The platform's store: conditional updates by revision and a history to watch.
#[derive(Clone, Debug, Default)]
pub struct Store {
    objects: BTreeMap<Subject, Object>,
    revision: u64,
    /// Rises when the store is restored from a copy.
    era: u32,
    /// Changed parts and their times, in order.
    history: Vec<(u64, Subject)>,
    /// Earlier contents by time.
    copies: Vec<(u64, u64, BTreeMap<Subject, Object>)>,
    pub calls: u64,
}

impl Store {
    /// Replaces a record if it still has the revision that the writer knows; otherwise returns the
    /// current object.
    pub fn put(
        &mut self,
        now: u64,
        part: Subject,
        known: Option<u64>,
        record: &Record,
    ) -> Result<u64, Option<Object>> {
        self.calls += 1;
        let current = self.objects.get(&part);
        if current.map(|object| object.revision) != known {
            return Err(current.cloned());
        }
        // Earlier copies are too old for any restoration that may come.
        let time = now.saturating_sub(COPY_AGE_MS);
        let old = self.copies.partition_point(|(changed_at, ..)| *changed_at <= time);
        self.copies.drain(..old);
        self.copies.push((now, self.revision, self.objects.clone()));
        self.revision += 1;
        let object = Object { revision: self.revision, record: record.clone() };
        self.objects.insert(part, object);
        self.history.push((now, part));
        Ok(self.revision)
    }

    pub fn get(&self, part: Subject) -> Option<&Object> {
        self.objects.get(&part)
    }

    pub fn objects(&self) -> &BTreeMap<Subject, Object> {
        &self.objects
    }

    pub fn era(&self) -> u32 {
        self.era
    }

    /// Parts that changed since a place in the history, which is moved to its end.
    pub fn watch(&mut self, cursor: &mut usize) -> Vec<Subject> {
        self.calls += 1;
        let changed = self.history[*cursor..].iter().map(|(_, part)| *part).collect();
        *cursor = self.history.len();
        changed
    }

    /// Goes back to the contents and the revision of some seconds ago.
    pub fn restore(&mut self, now: u64) {
        let time = now.saturating_sub(COPY_AGE_MS);
        // Each copy holds the contents before the change at its time.
        if let Some(index) = self.copies.iter().position(|(changed_at, ..)| *changed_at > time) {
            let (_, revision, objects) = self.copies.swap_remove(index);
            self.copies.truncate(index);
            self.revision = revision;
            self.objects = objects;
        }
        self.era += 1;
    }

    pub fn bytes(&self) -> usize {
        let size = |object: &Object| serde_json::to_vec(&object.record).unwrap().len();
        self.objects.values().map(size).sum()
    }
}
