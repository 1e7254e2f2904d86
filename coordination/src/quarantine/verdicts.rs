//! Condemned parts at one time.
//!
//! A snapshot of the ledger, which requests check without waiting for its owner.

use super::Subject;
use std::collections::{BTreeMap, BTreeSet};

/// Condemned parts at one time, for checks without the ledger.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    /// By condemned part, the other condemned parts that explain its crashes.
    explanations: BTreeMap<Subject, BTreeSet<Subject>>,
}

impl Verdicts {
    /// Verdicts by condemned part, each with the parts that explain its crashes.
    pub(super) fn new(explanations: BTreeMap<Subject, BTreeSet<Subject>>) -> Self {
        Self { explanations }
    }

    /// The part for which a request with these parts is to be refused.
    pub fn refused(&self, parts: &[Subject]) -> Option<Subject> {
        // The last parts of a prompt are the most specific ones.
        parts.iter().rev().copied().find(|part| self.is_refused(*part, parts))
    }

    /// Whether no part is condemned.
    pub fn is_empty(&self) -> bool {
        self.explanations.is_empty()
    }

    fn is_refused(&self, part: Subject, parts: &[Subject]) -> bool {
        let is_present = |part: &Subject| parts.contains(part);
        self.explanations.get(&part).is_some_and(|others| others.iter().all(is_present))
    }
}
