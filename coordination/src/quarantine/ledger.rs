//! Records of all parts that one member knows, and what follows from them.
//!
//! A crash is attributed to the parts that have not settled lately. A condemned part refuses requests
//! unless another condemned part, which the request lacks, explains its crashes.

use super::entry::Entry;
use super::outages::Outages;
use super::settlements::Settlements;
use super::{Record, Subject, Verdicts};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Crashes of a record that is worth a write to the store to clear.
const MIN_ACQUITTED: usize = 2;
/// Records that are kept.
const MAX_RECORDS: usize = 1_024;

/// Records of all parts that one VM knows.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<Subject, Entry>,
    settlements: Settlements,
    outages: Outages,
    /// Parts whose records this VM changed last and has dropped for lack of room.
    dropped: BTreeSet<Subject>,
}

impl Ledger {
    /// Ledger without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run with these parts settled; returns the parts that were acquitted.
    pub fn record_settled(&mut self, now: Duration, parts: &[Subject]) -> Vec<Subject> {
        for part in parts {
            self.settlements.record(now, *part);
        }
        let settlements = &self.settlements;
        let mut acquitted = Vec::new();
        for part in parts {
            let is_proven = settlements.is_proven(now, *part);
            if let Some(entry) = self.entries.get_mut(part)
                && entry.record().crashes().len() >= MIN_ACQUITTED
                && (is_proven || !entry.record().is_condemned())
            {
                entry.acquit(now);
                acquitted.push(*part);
            }
        }
        acquitted
    }

    /// Records that `engine`, the name of one start of a process, ended while a run with these
    /// parts began; returns the parts whose records changed.
    pub fn record_crash(&mut self, now: Duration, parts: &[Subject], engine: &str) -> Vec<Subject> {
        let mut changed = Vec::new();
        let suspects = self.suspects(now, parts);
        // The connection of a part that settled once may have been delayed. If all parts are
        // proven, one of them may be at fault all the same.
        let (proven, unproven) = parts
            .iter()
            .partition::<Vec<Subject>, _>(|part| self.settlements.is_proven(now, **part));
        for part in if unproven.is_empty() { proven } else { unproven } {
            self.settlements.doubt(part);
        }
        if !suspects.is_empty() {
            self.outages.record(now, engine);
        }
        for part in suspects {
            self.make_room(part);
            let entry = self.entries.entry(part).or_insert_with(|| Entry::new(now));
            if entry.add_crash(now, engine, &self.outages) {
                changed.push(part);
            }
        }
        changed
    }

    /// Joins a copy of a record from the store or a peer; returns whether this ledger then knows
    /// more than the copy.
    pub fn merge(&mut self, now: Duration, part: Subject, record: &Record) -> bool {
        let is_proven = self.settlements.is_proven(now, part);
        for engine in record.crashes() {
            self.outages.record(now, engine);
        }
        self.make_room(part);
        let entry = self.entries.entry(part).or_insert_with(|| Entry::new(now));
        entry.merge(now, record);
        if is_proven && entry.record().is_condemned() {
            entry.acquit(now);
        }
        entry.record() != record
    }

    /// Forgets a record that was removed from the store.
    pub fn remove(&mut self, part: Subject) {
        self.entries.remove(&part);
        self.dropped.remove(&part);
    }

    /// Record of a part, if any.
    pub fn record(&self, part: Subject) -> Option<&Record> {
        self.entries.get(&part).map(|entry| entry.record())
    }

    /// All records by part.
    pub fn records(&self) -> impl Iterator<Item = (Subject, &Record)> {
        self.entries.iter().map(|(part, entry)| (*part, entry.record()))
    }

    /// The part for which a request with these parts is to be refused.
    pub fn refused(&self, now: Duration, parts: &[Subject]) -> Option<Subject> {
        let is_kept =
            |part: &Subject| self.entries.get(part).is_some_and(|entry| entry.is_kept(now));
        // The last parts of a prompt are the most specific ones.
        parts.iter().rev().copied().find(|part| is_kept(part) && self.is_refused(*part, parts))
    }

    /// Condemned parts, for checks without the ledger.
    pub fn verdicts(&self) -> Verdicts {
        let condemned = self.condemned().collect::<BTreeMap<_, _>>();
        let mut by_crash = BTreeMap::<_, Vec<_>>::new();
        for (part, record) in &condemned {
            for engine in record.crashes() {
                by_crash.entry(engine).or_default().push(*part);
            }
        }
        let explanations = condemned.iter().map(|(part, record)| {
            let others = record.indicators().flat_map(|engine| &by_crash[engine]).copied();
            let others = others.filter(|other| other != part && condemned[other].explains(record));
            (*part, others.collect())
        });
        Verdicts::new(explanations.collect())
    }

    /// Removes records past their lifetime; returns the parts whose records are to be deleted from
    /// the store.
    pub fn expire(&mut self, now: Duration) -> Vec<Subject> {
        let mut removed = std::mem::take(&mut self.dropped);
        self.entries.retain(|part, entry| {
            let is_kept = entry.is_kept(now);
            if !is_kept {
                removed.insert(*part);
            }
            is_kept
        });
        removed.into_iter().collect()
    }

    fn condemned(&self) -> impl Iterator<Item = (Subject, &Record)> {
        self.records().filter(|(_, record)| record.is_condemned())
    }

    /// Whether a part is condemned and no part outside the request explains its crashes.
    fn is_refused(&self, part: Subject, parts: &[Subject]) -> bool {
        let Some(record) = self.record(part).filter(|record| record.is_condemned()) else {
            return false;
        };
        let mut others = self.condemned().filter(|(other, _)| !parts.contains(other));
        !others.any(|(_, other)| other.explains(record))
    }

    /// The parts to which a crash is attributed: those that have not settled lately and those that
    /// are condemned all the same.
    ///
    /// A part that only accompanies the one at fault thus has no crash that this one lacks.
    fn suspects(&self, now: Duration, parts: &[Subject]) -> BTreeSet<Subject> {
        let is_suspect = |part: &Subject| {
            !self.settlements.contains(now, *part) || self.is_refused(*part, parts)
        };
        parts.iter().copied().filter(is_suspect).collect()
    }

    /// Drops another record if that of a part is new and there is no room.
    fn make_room(&mut self, part: Subject) {
        self.dropped.remove(&part);
        if !self.entries.contains_key(&part) && self.entries.len() >= MAX_RECORDS {
            self.drop_one();
        }
    }

    /// Drops the record that changed longest ago, one of a condemned part last.
    fn drop_one(&mut self) {
        let age = |(part, entry): (&Subject, &Entry)| {
            (entry.record().is_condemned(), entry.changed_at(), *part)
        };
        if let Some((_, _, part)) = self.entries.iter().map(age).min()
            && self.entries.remove(&part).is_some_and(|entry| entry.is_own())
        {
            self.dropped.insert(part);
        }
    }
}
