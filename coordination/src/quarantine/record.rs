//! Record of one subject, which members share.
//!
//! Records of a subject form a join semilattice: copies may arrive late, twice and in any order.

use super::Subject;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Crashes of distinct engines after which a part is condemned.
const MIN_CRASHES: usize = 4;
/// Distinct moments at which these engines crashed, if most engines that crashed then did so under
/// this part. What ends many engines at once, such as the loss of a rack, makes one moment.
const MIN_FOCUSED: u32 = 2;
/// The same if others crashed as well.
const MIN_MOMENTS: u32 = 7;
/// Crashes of distinct upstreams after which a request is condemned that was never acquitted, if most
/// upstreams that crashed at one moment did so under it.
const MIN_REQUEST_CRASHES: usize = 3;
/// Crashes after which any request is condemned.
const MIN_UNFOCUSED_REQUEST_CRASHES: usize = 4;
/// Distinct moments at which these crashes happened.
const MIN_REQUEST_MOMENTS: u32 = 2;
/// Requests that a record keeps.
const MAX_REQUESTS: usize = 2;
/// Crashes that a record keeps.
const MAX_CRASHES: usize = 256;
/// Crashes of an explained part that the explaining part has no share in.
const MAX_UNEXPLAINED: usize = 1;

/// Crashes of upstreams that began to run a request with one subject.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, rename_all = "snake_case")]
pub struct Record {
    /// Number of times that the subject was acquitted.
    round: u32,
    /// Names of the upstreams that crashed in this round, one for each start of a process.
    crashes: BTreeSet<String>,
    /// Number of moments at which they crashed.
    moments: u32,
    /// Number of moments at which most upstreams that crashed did so under this subject.
    focused: u32,
    /// Digests of requests that brought a part to these crashes, as far as they are needed.
    requests: BTreeSet<u64>,
}

impl Record {
    /// Joins another copy of the record; returns whether this one changed.
    pub fn merge(&mut self, other: &Record) -> bool {
        if other.round < self.round {
            return false;
        }
        let before = self.clone();
        if other.round > self.round {
            *self = Self { round: other.round, ..Self::default() };
        }
        self.crashes.extend(other.crashes.iter().cloned());
        self.requests.extend(&other.requests);
        self.truncate();
        self.moments = self.moments.max(other.moments);
        self.focused = self.focused.max(other.focused);
        *self != before
    }

    /// Whether `subject`, which the record is about, is at fault unless another explains its
    /// crashes.
    pub fn is_condemned(&self, subject: Subject) -> bool {
        let crashes = self.crashes.len();
        if subject.is_request() {
            let is_focused = self.focused > 0 && self.round == 0;
            return (crashes >= MIN_REQUEST_CRASHES && is_focused)
                || (crashes >= MIN_UNFOCUSED_REQUEST_CRASHES
                    && self.moments >= MIN_REQUEST_MOMENTS);
        }
        // A part that one request alone brings may be sound, and that request at fault.
        crashes >= MIN_CRASHES
            && self.requests.len() != 1
            && (self.focused >= MIN_FOCUSED || self.moments >= MIN_MOMENTS)
    }

    /// Whether a request has crashed so few upstreams that it may be sent to several at a time.
    pub(super) fn is_repeatable(&self) -> bool {
        self.crashes.len() < MIN_REQUEST_CRASHES
    }

    /// Number of times that the subject was acquitted.
    pub fn round(&self) -> u32 {
        self.round
    }

    /// Names of the upstreams that crashed in this round.
    pub fn crashes(&self) -> impl ExactSizeIterator<Item = &str> {
        self.crashes.iter().map(String::as_str)
    }

    /// Number of moments at which they crashed.
    pub fn moments(&self) -> u32 {
        self.moments
    }

    /// Number of moments at which most upstreams that crashed did so under this subject.
    pub fn focused(&self) -> u32 {
        self.focused
    }

    /// Whether an upstream crashed in this round.
    pub(super) fn has_crash(&self, upstream: &str) -> bool {
        self.crashes.contains(upstream)
    }

    /// Whether the part of this record accounts for the crashes of another part, which was only
    /// present at them.
    pub(super) fn explains(&self, other: &Record) -> bool {
        let is_full = self.crashes.len() >= MAX_CRASHES;
        // Names beyond the last one of a full record may have been left out.
        let is_known = |name: &&String| !is_full || Some(*name) <= self.crashes.last();
        let unexplained = other.crashes.difference(&self.crashes).filter(is_known);
        unexplained.take(MAX_UNEXPLAINED + 1).count() <= MAX_UNEXPLAINED
            && !self.crashes.is_disjoint(&other.crashes)
    }

    /// Whether another record has all crashes of this one.
    pub(super) fn is_covered_by(&self, other: &Record) -> bool {
        self.crashes.is_subset(&other.crashes)
    }

    /// Crashes of which a record that explains this one has at least one.
    pub(super) fn indicators(&self) -> impl Iterator<Item = &str> {
        self.crashes().take(MAX_UNEXPLAINED + 1)
    }

    /// Adds a crash; returns whether it was not known. A full record may not keep it.
    pub(super) fn add_crash(&mut self, engine: &str) -> bool {
        let is_new = self.crashes.insert(engine.to_owned());
        self.truncate();
        is_new
    }

    /// Adds a request that brought the part to a crash.
    pub(super) fn add_request(&mut self, digest: u64) {
        self.requests.insert(digest);
        self.truncate();
    }

    /// Adds a moment at which an engine crashed.
    pub(super) fn add_moment(&mut self) {
        self.moments = self.moments.saturating_add(1);
    }

    /// Adds a moment at which most engines that crashed did so under this part.
    pub(super) fn add_focused(&mut self) {
        self.focused = self.focused.saturating_add(1);
    }

    /// Begins a new round without crashes.
    pub(super) fn acquit(&mut self) {
        *self = Self { round: self.round.saturating_add(1), ..Self::default() };
    }

    /// Keeps the same crashes and requests at each VM: those whose names come first.
    fn truncate(&mut self) {
        while self.requests.len() > MAX_REQUESTS {
            self.requests.pop_last();
        }
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
    }
}
