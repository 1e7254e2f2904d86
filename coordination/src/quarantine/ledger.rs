//! Records of all subjects that one member knows, and what follows from them.
//!
//! A crash is attributed to the request and to its parts that have not settled lately. A condemned
//! part refuses requests unless another condemned part, which the request lacks, explains its
//! crashes. A condemned request is refused unless others explain its crashes. A part that
//! one request alone brings is not condemned; otherwise requests decide nothing about parts.

use super::entry::Entry;
use super::explanation;
use super::outages::Outages;
use super::settlements::Settlements;
use super::{Record, Subject, Verdicts};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which the answer to a request speaks for it.
const ANSWER_LIFETIME: Duration = Duration::from_secs(3);
/// Crashes of a record that is worth a write to the store to clear.
const MIN_ACQUITTED: usize = 2;
/// Records of parts that are kept, and records of requests.
const MAX_RECORDS: usize = 1_024;

/// Records of all subjects that one VM knows.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<Subject, Entry>,
    settlements: Settlements,
    /// Requests whose answers were whole.
    answers: Settlements,
    part_outages: Outages,
    request_outages: Outages,
    /// Subjects whose records this VM changed last and has dropped for lack of room.
    dropped: BTreeSet<Subject>,
}

impl Ledger {
    /// Ledger without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run with these subjects settled; returns those that were acquitted.
    ///
    /// A request settles once its answer is whole. This speaks for a condemned request too: one that
    /// crashes its upstreams has no whole answer.
    pub fn record_settled(&mut self, now: Duration, subjects: &[Subject]) -> Vec<Subject> {
        for subject in subjects {
            match subject {
                Subject::Part(_) => self.settlements.record(now, *subject),
                Subject::Request(_) => self.answers.record(now, *subject),
            }
        }
        let settlements = &self.settlements;
        let mut acquitted = Vec::new();
        for subject in subjects {
            let is_proven = subject.is_request() || settlements.is_proven(now, *subject);
            if let Some(entry) = self.entries.get_mut(subject)
                && entry.record().crashes().len() >= MIN_ACQUITTED
                && (is_proven || !entry.is_condemned())
            {
                entry.acquit(now);
                acquitted.push(*subject);
            }
        }
        acquitted
    }

    /// Records that `upstream`, the name of one start of a process, ended while a run with these
    /// subjects began; returns those whose records changed.
    pub fn record_crash(
        &mut self,
        now: Duration,
        subjects: &[Subject],
        upstream: &str,
    ) -> Vec<Subject> {
        let mut changed = Vec::new();
        let suspects = self.suspects(now, subjects);
        // The connection of a part that settled once may have been delayed. If all parts are
        // proven, one of them may be at fault all the same.
        let parts = subjects.iter().filter(|subject| !subject.is_request());
        let (proven, unproven) =
            parts.partition::<Vec<Subject>, _>(|part| self.settlements.is_proven(now, **part));
        for part in if unproven.is_empty() { proven } else { unproven } {
            self.settlements.doubt(part);
        }
        for subject in &suspects {
            self.outages_mut(*subject).record(now, upstream);
        }
        let request = subjects.iter().find_map(|subject| subject.request());
        for subject in suspects {
            self.make_room(subject);
            let outages =
                if subject.is_request() { &self.request_outages } else { &self.part_outages };
            let entry = self.entries.entry(subject).or_insert_with(|| Entry::new(now, subject));
            if entry.add_crash(now, upstream, request, outages) {
                changed.push(subject);
            }
        }
        changed
    }

    /// Joins a copy of a record from the store or a peer; returns whether this ledger then knows
    /// more than the copy.
    pub fn merge(&mut self, now: Duration, subject: Subject, record: &Record) -> bool {
        let is_proven = self.settlements.is_proven(now, subject) || self.is_answered(now, subject);
        for upstream in record.crashes() {
            self.outages_mut(subject).record(now, upstream);
        }
        self.make_room(subject);
        let entry = self.entries.entry(subject).or_insert_with(|| Entry::new(now, subject));
        entry.merge(now, record);
        if is_proven && entry.is_condemned() {
            entry.acquit(now);
        }
        entry.record() != record
    }

    /// Forgets a record that was removed from the store.
    pub fn remove(&mut self, subject: Subject) {
        self.entries.remove(&subject);
        self.dropped.remove(&subject);
    }

    /// Record of a subject, if any.
    pub fn record(&self, subject: Subject) -> Option<&Record> {
        self.entries.get(&subject).map(|entry| entry.record())
    }

    /// All records by subject.
    pub fn records(&self) -> impl Iterator<Item = (Subject, &Record)> {
        self.entries.iter().map(|(subject, entry)| (*subject, entry.record()))
    }

    /// The subject for which a request with these subjects is to be refused.
    pub fn refused(&self, now: Duration, subjects: &[Subject]) -> Option<Subject> {
        let is_kept =
            |subject: &Subject| self.entries.get(subject).is_some_and(|entry| entry.is_kept(now));
        let verdicts = self.verdicts();
        // The last parts of a prompt are the most specific ones.
        let mut refused = subjects.iter().rev().copied();
        refused.find(|subject| is_kept(subject) && verdicts.is_refused(*subject, subjects))
    }

    /// Condemned subjects and suspected requests, for checks without the ledger.
    pub fn verdicts(&self) -> Verdicts {
        let suspected = self.entries.iter().rev().take_while(|(subject, _)| subject.is_request());
        let suspected = suspected.filter(|(_, entry)| entry.record().crashes().len() > 0);
        Verdicts::new(
            explanation::explanations(&self.condemned().collect()),
            suspected.map(|(subject, entry)| (*subject, entry.record().is_repeatable())).collect(),
        )
    }

    /// Removes records past their lifetime; returns the subjects whose records are to be deleted
    /// from the store.
    pub fn expire(&mut self, now: Duration) -> Vec<Subject> {
        let mut removed = std::mem::take(&mut self.dropped);
        self.entries.retain(|subject, entry| {
            let is_kept = entry.is_kept(now);
            if !is_kept {
                removed.insert(*subject);
            }
            is_kept
        });
        removed.into_iter().collect()
    }

    fn condemned(&self) -> impl Iterator<Item = (Subject, &Record)> {
        let condemned = self.entries.iter().filter(|(_, entry)| entry.is_condemned());
        condemned.map(|(subject, entry)| (*subject, entry.record()))
    }

    /// Whether a part is condemned and no part outside the request explains its crashes.
    fn is_refused(&self, part: Subject, subjects: &[Subject]) -> bool {
        let Some(entry) = self.entries.get(&part).filter(|entry| entry.is_condemned()) else {
            return false;
        };
        let is_other = |other: &Subject| !other.is_request() && !subjects.contains(other);
        let mut others = self.condemned().filter(|(other, _)| is_other(other));
        !others.any(|(_, other)| other.explains(entry.record()))
    }

    /// Whether a request was answered so lately that a crash tells nothing about it.
    fn is_answered(&self, now: Duration, subject: Subject) -> bool {
        let answered_at = self.answers.last(now, subject);
        answered_at.is_some_and(|at| now.saturating_sub(at) < ANSWER_LIFETIME)
    }

    /// The subjects to which a crash is attributed: those that have not settled lately, and parts
    /// that are condemned all the same.
    ///
    /// A part that only accompanies the one at fault thus has no crash that this one lacks.
    fn suspects(&self, now: Duration, subjects: &[Subject]) -> BTreeSet<Subject> {
        let is_suspect = |subject: &Subject| {
            if subject.is_request() {
                return !self.is_answered(now, *subject);
            }
            !self.settlements.contains(now, *subject) || self.is_refused(*subject, subjects)
        };
        subjects.iter().copied().filter(is_suspect).collect()
    }

    /// Upstreams that ended lately under subjects of this kind.
    fn outages_mut(&mut self, subject: Subject) -> &mut Outages {
        if subject.is_request() { &mut self.request_outages } else { &mut self.part_outages }
    }

    /// Drops another record of this kind if that of a subject is new and there is no room.
    fn make_room(&mut self, subject: Subject) {
        self.dropped.remove(&subject);
        if self.entries.contains_key(&subject) {
            return;
        }
        let is_alike = |other: &Subject| other.is_request() == subject.is_request();
        if self.entries.keys().filter(|other| is_alike(other)).count() >= MAX_RECORDS {
            self.drop_one(subject.is_request());
        }
    }

    /// Drops the record that changed longest ago: that of a request with one crash first, one of a
    /// condemned subject last.
    fn drop_one(&mut self, is_request: bool) {
        let alike = self.entries.iter().filter(|(subject, _)| subject.is_request() == is_request);
        let order = |(subject, entry): (&Subject, &Entry)| {
            let is_repeated = !is_request || entry.record().crashes().len() >= MIN_ACQUITTED;
            (entry.is_condemned(), is_repeated, entry.changed_at(), *subject)
        };
        if let Some((_, _, _, subject)) = alike.map(order).min()
            && self.entries.remove(&subject).is_some_and(|entry| entry.is_own())
        {
            self.dropped.insert(subject);
        }
    }
}
