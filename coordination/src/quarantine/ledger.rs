use super::{Record, Verdicts};
use std::time::Duration;

/// Records of all parts that one VM knows.
#[derive(Clone, Debug, Default)]
pub struct Ledger;

impl Ledger {
    /// Ledger without records.
    pub fn new() -> Self {
        Self
    }

    /// Records that a run with these parts settled; returns the parts that were acquitted.
    pub fn record_settled(&mut self, _now: Duration, _parts: &[u64]) -> Vec<u64> {
        Vec::new()
    }

    /// Records that `engine`, the name of one start of a process, ended while a run with these
    /// parts began; returns the parts whose records changed.
    pub fn record_crash(&mut self, _now: Duration, _parts: &[u64], _engine: &str) -> Vec<u64> {
        Vec::new()
    }

    /// Joins a copy of a record from the store or a peer; returns whether this ledger then knows
    /// more than the copy.
    pub fn merge(&mut self, _now: Duration, _part: u64, _record: &Record) -> bool {
        false
    }

    /// Forgets a record that was removed from the store.
    pub fn remove(&mut self, _part: u64) {}

    /// Record of a part, if any.
    pub fn record(&self, _part: u64) -> Option<&Record> {
        None
    }

    /// The part for which a request with these parts is to be refused.
    pub fn refused(&self, _now: Duration, parts: &[u64]) -> Option<u64> {
        self.verdicts().refused(parts)
    }

    /// Condemned parts, for checks without the ledger.
    pub fn verdicts(&self) -> Verdicts {
        Verdicts
    }

    /// Removes records past their lifetime; returns their parts.
    pub fn expire(&mut self, _now: Duration) -> Vec<u64> {
        Vec::new()
    }
}
