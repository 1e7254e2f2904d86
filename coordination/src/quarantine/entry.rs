//! Record of a subject and what this member alone knows of it.
//!
//! Times are local: each member counts moments and lifetimes from when it learned of a change.

use super::outages::Outages;
use super::{Record, Subject};
use std::time::Duration;

/// Time without another crash after which the next one makes a new moment.
const MOMENT: Duration = Duration::from_millis(500);
/// Time since its last change for which a record is kept.
const LIFETIME: Duration = Duration::from_secs(10 * 60);
/// The same for the record of a condemned subject.
const CONDEMNED_LIFETIME: Duration = Duration::from_secs(60 * 60);
/// Additional time for records that another VM changed last, so that one VM deletes each.
const DELEGATED_LIFETIME: Duration = Duration::from_secs(60);

/// Record of a subject and what this VM alone knows of it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    subject: Subject,
    record: Record,
    /// Whether this VM changed the record last.
    is_own: bool,
    changed_at: Duration,
    /// Times at which this VM learned of the last moment and of the last focused one.
    moment_at: Duration,
    focused_at: Duration,
}

impl Entry {
    /// Entry without crashes.
    pub(super) fn new(now: Duration, subject: Subject) -> Self {
        Self {
            subject,
            record: Record::default(),
            is_own: false,
            changed_at: now,
            moment_at: now,
            focused_at: now,
        }
    }

    /// Begins a new round without crashes.
    pub(super) fn acquit(&mut self, now: Duration) {
        self.record.acquit();
        self.is_own = true;
        self.changed_at = now;
    }

    /// Adds a crash; returns whether the record changed.
    pub(super) fn add_crash(
        &mut self,
        now: Duration,
        upstream: &str,
        request: Option<u64>,
        outages: &Outages,
    ) -> bool {
        let before = self.record.clone();
        if !self.record.add_crash(upstream) {
            return false;
        }
        if let Some(request) = request.filter(|_| !self.subject.is_request()) {
            self.record.add_request(request);
        }
        if self.record.moments() == 0 || now >= self.moment_at + MOMENT {
            self.record.add_moment();
            self.moment_at = now;
        }
        let may_focus = self.record.focused() == 0 || now >= self.focused_at + MOMENT;
        if may_focus && outages.are_focused(now, &self.record) {
            self.record.add_focused();
            self.focused_at = now;
        }
        if self.record == before {
            return false;
        }
        self.is_own = true;
        self.changed_at = now;
        true
    }

    /// Joins a copy of the record.
    pub(super) fn merge(&mut self, now: Duration, record: &Record) {
        let before = self.record.clone();
        if self.record.merge(record) {
            self.is_own = false;
            self.changed_at = now;
        }
        let is_other_round = self.record.round() != before.round();
        if is_other_round || self.record.moments() != before.moments() {
            self.moment_at = now;
        }
        if is_other_round || self.record.focused() != before.focused() {
            self.focused_at = now;
        }
    }

    /// Whether the record is within its lifetime.
    pub(super) fn is_kept(&self, now: Duration) -> bool {
        let lifetime = if self.is_condemned() { CONDEMNED_LIFETIME } else { LIFETIME };
        let delegated = if self.is_own { Duration::ZERO } else { DELEGATED_LIFETIME };
        now.saturating_sub(self.changed_at) < lifetime + delegated
    }

    /// Whether the subject is condemned.
    pub(super) fn is_condemned(&self) -> bool {
        self.record.is_condemned(self.subject)
    }

    /// Record of the subject.
    pub(super) fn record(&self) -> &Record {
        &self.record
    }

    /// Whether this VM changed the record last.
    pub(super) fn is_own(&self) -> bool {
        self.is_own
    }

    /// Time of the last change.
    pub(super) fn changed_at(&self) -> Duration {
        self.changed_at
    }
}
