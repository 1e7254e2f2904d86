//! Task that owns the ledger of the quarantine.

use super::message::Message;
use super::{Dependencies, State};
use crate::control::{
    Error, Quarantine, QuarantineChange, QuarantineWrite, Quarantines, Record, Store, Subject,
};
use crate::mailbox::Mailbox;
use crate::metrics::Counter;
use crate::prelude::*;
use crate::scope::Scope;
use coordination::quarantine::{Ledger, Verdicts};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, watch};
use xxhash_rust::xxh3::xxh3_64;

/// Minimum interval between writes of this entry VM.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after the first failed write; doubles with each further failure up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay between writes to a store that can't be reached.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Delay before the first crash of a request is written: a lookup that only lost its replica is
/// answered by another meanwhile, and its record forgotten.
const FIRST_CRASH_DELAY: Duration = Duration::from_millis(150);
/// Delay before the crash of an upstream that may not have begun the request is written, unless the
/// subject has crashed [`MIN_URGENT`] upstreams: runs with a sound part mostly settle meanwhile, and the
/// record is forgotten. Each write wakes the watches of all entry VMs.
const WAITING_CRASH_DELAY: Duration = Duration::from_secs(2);
/// The same for the first such crash: most generations are whole by then.
const FIRST_WAITING_CRASH_DELAY: Duration = Duration::from_secs(10);
/// Crashes from which a record is written at once: those that condemn a request.
const MIN_URGENT: usize = 3;
/// Time over which entry VMs spread writes of what the store was found to lack; the first write
/// spares most of the others theirs.
const REWRITE_SPREAD: Duration = Duration::from_millis(2_000);
/// Interval between searches for records past their lifetime.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Time over which entry VMs spread deletions of such records; others keep a record for longer than
/// the VM that changed it last, which spares them the deletion.
const DELETION_SPREAD: Duration = Duration::from_secs(30);
/// Maximum number of records that wait to be written or deleted.
const MAX_PENDING: usize = 1_024;

/// Origin of a change of the ledger.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Own,
    Store,
}

impl Origin {
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Store => "store",
        }
    }
}

/// Task of the quarantine.
pub struct Task {
    dependencies: Dependencies,
    scope: Scope,
    mailbox: Mailbox<Message>,
    verdicts: watch::Sender<Verdicts>,
    ledger: Ledger,
    /// Revisions of the records that the store holds, by subject.
    revisions: BTreeMap<Subject, u64>,
    /// Times at which records are to be written, or deleted if the ledger has none, by subject.
    pending: BTreeMap<Subject, Duration>,
    /// Whether a call of the store is in progress.
    is_calling: bool,
    /// Time before which no further write begins.
    next_write_at: Duration,
    retry_delay: Duration,
    expire_at: Duration,
}

impl Task {
    /// Creates the task; it sends the results of its writes to itself through `mailbox`.
    pub fn new(
        dependencies: Dependencies,
        scope: Scope,
        mailbox: Mailbox<Message>,
        verdicts: watch::Sender<Verdicts>,
    ) -> Self {
        let expire_at = dependencies.clock.now() + EXPIRY_INTERVAL;
        Self {
            dependencies,
            scope,
            mailbox,
            verdicts,
            ledger: Ledger::new(),
            revisions: BTreeMap::new(),
            pending: BTreeMap::new(),
            is_calling: false,
            next_write_at: Duration::ZERO,
            retry_delay: MIN_RETRY_DELAY,
            expire_at,
        }
    }

    /// Handles messages and writes records until the process ends.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let clock = self.dependencies.clock;
        loop {
            let write_at = self.write_at();
            tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                () = clock.sleep_until(write_at.unwrap_or_default()), if write_at.is_some() => {
                    self.start_write();
                }
                () = clock.sleep_until(self.expire_at) => self.expire(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::Settled(subjects) => {
                let before = self.copy_records(&subjects);
                let changed = self.ledger.record_settled(now, &subjects);
                self.record_own_changes(&changed, &before, true);
                self.forget_unwritten(&subjects);
            }
            Message::Crashed { subjects, upstream, begun } => {
                let before = self.copy_records(&subjects);
                let changed = self.ledger.record_crash(now, &subjects, &upstream);
                self.record_own_changes(&changed, &before, begun);
            }
            Message::Listed(listed) => self.handle_listing(listed),
            Message::Changed(changed) => {
                changed.changes.into_iter().for_each(|change| self.apply(change));
                self.publish();
            }
            Message::Written { subject, record, result } => {
                self.handle_write(subject, &record, result)
            }
            Message::Deleted { subject, result } => self.handle_deletion(subject, result),
            Message::StateRequested(reply) => {
                let _ = reply.send(self.state());
            }
        }
    }

    fn record_own_changes(
        &mut self,
        changed: &[Subject],
        before: &BTreeMap<Subject, Record>,
        begun: bool,
    ) {
        for subject in changed {
            let before = before.get(subject);
            self.log_change(*subject, before, Origin::Own);
            // All entry VMs soon acquit a subject that sound requests share.
            let was_condemned = before.is_some_and(|record| record.is_condemned(*subject));
            let is_urgent = was_condemned || !self.is_acquitted(*subject, before);
            let delay = if is_urgent {
                self.write_delay(*subject, begun)
            } else {
                self.jitter(*subject, REWRITE_SPREAD)
            };
            self.schedule(*subject, delay);
        }
        if !changed.is_empty() {
            self.publish();
        }
    }

    /// Delay before the record of a subject is written after a crash.
    fn write_delay(&self, subject: Subject, begun: bool) -> Duration {
        let crashes = self.ledger.record(subject).map_or(0, |record| record.crashes().len());
        match (begun, subject.is_request(), crashes) {
            (true, true, 1) => FIRST_CRASH_DELAY,
            (false, _, 1) => FIRST_WAITING_CRASH_DELAY,
            (false, _, crashes) if crashes < MIN_URGENT => WAITING_CRASH_DELAY,
            _ => Duration::ZERO,
        }
    }

    /// Removes records of requests, and those of parts that are not condemned, that have settled before
    /// another VM could learn of them.
    fn forget_unwritten(&mut self, subjects: &[Subject]) {
        let is_unwritten = |subject: &&Subject| {
            let record = self.ledger.record(**subject);
            record.is_some_and(|record| subject.is_request() || !record.is_condemned(**subject))
                && !self.revisions.contains_key(subject)
        };
        let unwritten: Vec<Subject> = subjects.iter().filter(is_unwritten).copied().collect();
        for subject in &unwritten {
            self.ledger.remove(*subject);
            self.pending.remove(subject);
        }
        if !unwritten.is_empty() {
            self.publish();
        }
    }

    /// Joins a list of all records. A record that it lacks is written again, as the store may be
    /// an older copy of itself.
    fn handle_listing(&mut self, listed: Quarantines) {
        self.revisions.clear();
        listed.changes.into_iter().for_each(|change| self.apply(change));
        let known = self.ledger.records().map(|(subject, _)| subject);
        let lacking: Vec<Subject> =
            known.filter(|subject| !self.revisions.contains_key(subject)).collect();
        for subject in lacking {
            self.schedule(subject, self.jitter(subject, REWRITE_SPREAD));
        }
        self.publish();
    }

    fn apply(&mut self, change: QuarantineChange) {
        match change {
            QuarantineChange::Set(quarantine) => {
                let subject = quarantine.subject;
                if self.merge(quarantine) {
                    self.schedule(subject, self.jitter(subject, REWRITE_SPREAD));
                } else {
                    self.pending.remove(&subject);
                }
            }
            QuarantineChange::Removed(subject) => {
                self.revisions.remove(&subject);
                self.pending.remove(&subject);
                self.ledger.remove(subject);
                info!("quarantine_released", kv: { subject: = subject });
            }
        }
    }

    /// Joins a stored record; returns whether the ledger then knows more than the store.
    fn merge(&mut self, quarantine: Quarantine) -> bool {
        let Quarantine { subject, revision, record } = quarantine;
        let newest = self.revisions.entry(subject).or_default();
        *newest = revision.max(*newest);
        let before = self.ledger.record(subject).cloned();
        let knows_more = self.ledger.merge(self.now(), subject, &record);
        self.log_change(subject, before.as_ref(), Origin::Store);
        knows_more
    }

    /// Time at which the next write is due, unless one is in progress.
    fn write_at(&self) -> Option<Duration> {
        let due = self.pending.values().min()?;
        (!self.is_calling).then(|| self.next_write_at.max(*due))
    }

    /// Writes the record with the most crashes of those that are due, or deletes it if the ledger
    /// has none.
    fn start_write(&mut self) {
        let now = self.now();
        let crashes = |subject| self.ledger.record(subject).map_or(0, |r| r.crashes().len());
        let order = |(subject, due): &(&Subject, &Duration)| {
            (**due > now, Reverse(crashes(**subject)), **due)
        };
        let Some((&subject, _)) = self.pending.iter().min_by_key(order) else {
            return;
        };
        self.pending.remove(&subject);
        let known = self.revisions.get(&subject).copied();
        let record = self.ledger.record(subject).cloned();
        if record.is_none() && known.is_none() {
            return;
        }
        self.is_calling = true;
        self.next_write_at = self.now() + WRITE_INTERVAL;
        self.dependencies.metrics.count(Counter::StoreCall);
        let (store, mailbox) = (self.dependencies.store.clone(), self.mailbox.clone());
        self.scope.spawn(call(store, mailbox, subject, known, record));
    }

    fn handle_write(
        &mut self,
        subject: Subject,
        sent: &Record,
        result: Result<QuarantineWrite, Error>,
    ) {
        self.is_calling = false;
        match result {
            Ok(QuarantineWrite::Stored(revision)) => {
                self.retry_delay = MIN_RETRY_DELAY;
                if let Some(revision) = revision {
                    let newest = self.revisions.entry(subject).or_default();
                    *newest = revision.max(*newest);
                }
                if self.ledger.record(subject) == Some(sent) {
                    self.pending.remove(&subject);
                }
            }
            Ok(QuarantineWrite::Conflict(Some(stored))) => {
                if self.merge(stored) {
                    self.schedule(subject, Duration::ZERO);
                } else {
                    self.pending.remove(&subject);
                }
                self.publish();
            }
            // The watch tells soon if the record was removed; otherwise it is created.
            Ok(QuarantineWrite::Conflict(None)) => {
                self.revisions.remove(&subject);
                self.schedule(subject, REWRITE_SPREAD);
            }
            Err(reason) => {
                debug!("quarantine_unwritten", kv: {
                    subject: = subject, reason:? = reason.to_string()
                });
                self.postpone_writes();
                self.schedule(subject, Duration::ZERO);
            }
        }
    }

    fn handle_deletion(&mut self, subject: Subject, result: Result<(), Error>) {
        self.is_calling = false;
        match result {
            Ok(()) => {
                self.revisions.remove(&subject);
            }
            // Another entry VM has changed the record and keeps it.
            Err(Error::Conflict) => {}
            Err(_) => {
                self.postpone_writes();
                self.schedule(subject, DELETION_SPREAD);
            }
        }
    }

    fn postpone_writes(&mut self) {
        self.next_write_at = self.now() + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
    }

    fn expire(&mut self) {
        let now = self.now();
        self.expire_at = now + EXPIRY_INTERVAL;
        let expired = self.ledger.expire(now);
        for subject in &expired {
            self.pending.remove(subject);
            if self.revisions.contains_key(subject) {
                self.schedule(*subject, self.jitter(*subject, DELETION_SPREAD));
            }
        }
        if !expired.is_empty() {
            self.publish();
        }
    }

    /// Schedules a record to be written after `delay`, or earlier if it already was to be.
    fn schedule(&mut self, subject: Subject, delay: Duration) {
        let at = self.now() + delay;
        if self.pending.len() < MAX_PENDING || self.pending.contains_key(&subject) {
            let due = self.pending.entry(subject).or_insert(at);
            *due = at.min(*due);
        }
    }

    /// Delay within `spread` by lot of this entry VM and the subject.
    fn jitter(&self, subject: Subject, spread: Duration) -> Duration {
        let lot = xxh3_64(format!("{}/{subject}", self.dependencies.name).as_bytes());
        spread.mul_f64(lot as f64 / u64::MAX as f64)
    }

    fn now(&self) -> Duration {
        self.dependencies.clock.now()
    }

    fn publish(&self) {
        self.verdicts.send_replace(self.ledger.verdicts());
    }

    /// Whether a subject was acquitted since it had the record `before`.
    fn is_acquitted(&self, subject: Subject, before: Option<&Record>) -> bool {
        let record = self.ledger.record(subject);
        before.zip(record).is_some_and(|(before, record)| before.round() < record.round())
    }

    fn copy_records(&self, subjects: &[Subject]) -> BTreeMap<Subject, Record> {
        let record = |subject: &Subject| Some((*subject, self.ledger.record(*subject)?.clone()));
        subjects.iter().filter_map(record).collect()
    }

    fn log_change(&self, subject: Subject, before: Option<&Record>, origin: Origin) {
        let Some(record) = self.ledger.record(subject).filter(|record| before != Some(*record))
        else {
            return;
        };
        let was_condemned = before.is_some_and(|record| record.is_condemned(subject));
        let event = if self.is_acquitted(subject, before) {
            "quarantine_acquitted"
        } else if record.is_condemned(subject) && !was_condemned {
            "quarantine_condemned"
        } else {
            "quarantine_suspected"
        };
        let (crashes, moments) = (record.crashes().len(), record.moments());
        // Each victim of a crash is suspected, so other entry VMs' suspicions are many.
        if matches!(origin, Origin::Store) && event == "quarantine_suspected" {
            debug!("{}", event, kv: { subject: = subject, crashes, moments, source = "store" });
            return;
        }
        info!("{}", event, kv: { subject: = subject, crashes, moments, source = origin.name() });
    }

    fn state(&self) -> State {
        let verdicts = self.ledger.verdicts();
        let is_condemned = |subject: &Subject| verdicts.refused(&[*subject]).is_some();
        let condemned = self.ledger.records().map(|(subject, _)| subject).filter(is_condemned);
        State {
            condemned: condemned.map(|subject| subject.to_string()).collect(),
            records: self.ledger.records().map(|(p, r)| (p.to_string(), r.clone())).collect(),
            pending: self.pending.keys().map(Subject::to_string).collect(),
        }
    }
}

/// Writes `record`, or deletes the stored one without it, and sends the result to the task.
async fn call(
    store: Arc<dyn Store>,
    mailbox: Mailbox<Message>,
    subject: Subject,
    known: Option<u64>,
    record: Option<Record>,
) {
    mailbox.send(match (record, known) {
        (Some(record), _) => {
            let result = store.write_quarantine(subject, known, &record).await;
            Message::Written { subject, record, result }
        }
        (None, Some(known)) => {
            let result = store.delete_quarantine(subject, known).await;
            Message::Deleted { subject, result }
        }
        (None, None) => return,
    });
}
