//! Parts whose runs have settled at this member.
//!
//! One settled run spares a part from suspicion; two at distinct times prove it sound.

use super::Subject;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a settled run speaks for its parts.
const LIFETIME: Duration = Duration::from_secs(60);
/// Minimum time between two settled runs that together prove a part sound. A delayed connection
/// may make a single run seem settled though its engine has crashed.
const MIN_PROOF: Duration = Duration::from_secs(1);
/// Parts that are remembered; those that settled longest ago are forgotten first.
const MAX_PARTS: usize = 16_384;

/// First and last of the runs with a part that settled.
#[derive(Clone, Copy, Debug)]
struct Span {
    first: Duration,
    last: Duration,
}

impl Span {
    fn is_proof(&self) -> bool {
        self.last - self.first >= MIN_PROOF
    }
}

/// Parts whose runs have settled at this VM.
#[derive(Clone, Debug, Default)]
pub(super) struct Settlements {
    spans: BTreeMap<Subject, Span>,
    by_last: BTreeSet<(Duration, Subject)>,
}

impl Settlements {
    /// Records a settled run.
    pub(super) fn record(&mut self, now: Duration, part: Subject) {
        let first = self.span(now, part).map_or(now, |span| span.first);
        self.remove(part);
        self.spans.insert(part, Span { first, last: now });
        self.by_last.insert((now, part));
        if self.spans.len() > MAX_PARTS
            && let Some((_, oldest)) = self.by_last.pop_first()
        {
            self.spans.remove(&oldest);
        }
    }

    /// Takes back what settled runs prove: a proven part has only settled, another has not.
    pub(super) fn doubt(&mut self, part: Subject) {
        match self.spans.get_mut(&part) {
            Some(span) if span.is_proof() => span.first = span.last,
            _ => self.remove(part),
        }
    }

    fn remove(&mut self, part: Subject) {
        if let Some(span) = self.spans.remove(&part) {
            self.by_last.remove(&(span.last, part));
        }
    }

    /// Whether a run with the part has settled lately.
    pub(super) fn contains(&self, now: Duration, part: Subject) -> bool {
        self.span(now, part).is_some()
    }

    /// Time at which a run with the part settled last.
    pub(super) fn last(&self, now: Duration, part: Subject) -> Option<Duration> {
        self.span(now, part).map(|span| span.last)
    }

    /// Whether runs with the part have settled at distinct times.
    pub(super) fn is_proven(&self, now: Duration, part: Subject) -> bool {
        self.span(now, part).is_some_and(|span| span.is_proof())
    }

    fn span(&self, now: Duration, part: Subject) -> Option<&Span> {
        self.spans.get(&part).filter(|span| now.saturating_sub(span.last) < LIFETIME)
    }
}
