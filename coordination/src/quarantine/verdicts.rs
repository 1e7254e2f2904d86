//! Condemned subjects and suspected requests at one time.
//!
//! A snapshot of the ledger, which requests check without waiting for its owner.

use super::Subject;
use std::collections::{BTreeMap, BTreeSet};

/// Condemned subjects and suspected requests at one time, for checks without the ledger.
#[derive(Clone, Debug, Default)]
pub struct Verdicts {
    /// By condemned subject, the condemned parts that explain its crashes.
    explanations: BTreeMap<Subject, BTreeSet<Subject>>,
    /// Requests under which an upstream has crashed, and whether each may be repeated.
    suspected: BTreeMap<Subject, bool>,
}

impl Verdicts {
    /// Verdicts by condemned subject, each with the parts that explain its crashes, and suspected
    /// requests.
    pub(super) fn new(
        explanations: BTreeMap<Subject, BTreeSet<Subject>>,
        suspected: BTreeMap<Subject, bool>,
    ) -> Self {
        Self { explanations, suspected }
    }

    /// The subject for which a request with these subjects is to be refused.
    pub fn refused(&self, subjects: &[Subject]) -> Option<Subject> {
        // The last parts of a prompt are the most specific ones.
        subjects.iter().rev().copied().find(|subject| self.is_refused(*subject, subjects))
    }

    /// Whether upstreams have crashed under a request since it was acquitted last.
    pub fn is_suspected(&self, subject: Subject) -> bool {
        self.suspected.contains_key(&subject)
    }

    /// Whether an attempt of a request may be followed by another before its caller sends it again.
    /// A request that has crashed several upstreams is sent to one at a time.
    pub fn is_repeatable(&self, subject: Subject) -> bool {
        self.suspected.get(&subject).is_none_or(|is_repeatable| *is_repeatable)
    }

    /// Whether a subject is condemned.
    pub fn has_condemned(&self) -> bool {
        !self.explanations.is_empty()
    }

    /// Whether a request is suspected.
    pub fn has_suspected(&self) -> bool {
        !self.suspected.is_empty()
    }

    /// Whether no subject is condemned and no request suspected.
    pub fn is_empty(&self) -> bool {
        !self.has_condemned() && !self.has_suspected()
    }

    /// Whether a request with these subjects is to be refused for one of them.
    pub(super) fn is_refused(&self, subject: Subject, subjects: &[Subject]) -> bool {
        let is_present = |subject: &Subject| subjects.contains(subject);
        self.explanations.get(&subject).is_some_and(|others| others.iter().all(is_present))
    }
}
