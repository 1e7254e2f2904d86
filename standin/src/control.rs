//! Stand-in of the store that holds configuration, upstreams, members and quarantine records, in
//! process on tokio's clock.

use async_trait::async_trait;
use quetzaltiller::control::{
    Changes, Configuration, Error, Member, Quarantine, QuarantineChange, QuarantineWrite,
    Quarantines, Record, Store,
};
use quetzaltiller::fleet::{Change, Listing, Upstream};
use quetzaltiller::routes::{Content, Table};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Longest wait of a watch without a change.
const WATCH_LIMIT: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    configuration: Content,
    configured_at: u64,
    upstreams: BTreeMap<String, Upstream>,
    changes: Vec<(u64, Change)>,
    /// Highest revision whose changes are compacted; a watch from before it fails with `Expired`.
    compacted: u64,
    members: Vec<Member>,
    quarantines: BTreeMap<u64, Quarantine>,
    quarantine_changes: Vec<(u64, QuarantineChange)>,
    away: bool,
    calls: u64,
    quarantine_writes: u64,
    /// Time that a listing of all upstreams takes in addition to that of a call.
    listing_time: Duration,
}

/// In-memory store; clones share its state.
#[derive(Clone)]
pub struct ControlStore {
    state: Arc<Mutex<State>>,
    revision: Arc<watch::Sender<u64>>,
}

impl Default for ControlStore {
    fn default() -> Self {
        Self { state: Arc::default(), revision: Arc::new(watch::Sender::new(1)) }
    }
}

impl ControlStore {
    /// Replaces the configuration at a new revision.
    pub fn configure(&self, content: Content) {
        let revision = self.next_revision();
        let mut state = self.lock();
        state.configuration = content;
        state.configured_at = revision;
    }

    /// Adds or replaces the entry of an upstream.
    pub fn list(&self, upstream: Upstream) {
        let revision = self.next_revision();
        let mut state = self.lock();
        state.upstreams.insert(upstream.id.clone(), upstream.clone());
        state.changes.push((revision, Change::Set(upstream)));
    }

    /// Removes the entry of an upstream.
    pub fn remove(&self, id: &str) {
        let revision = self.next_revision();
        let mut state = self.lock();
        state.upstreams.remove(id);
        state.changes.push((revision, Change::Removed(id.to_owned())));
    }

    /// Compacts the history of changes up to the current revision.
    pub fn compact(&self) {
        let revision = *self.revision.borrow();
        self.lock().compacted = revision;
    }

    /// Makes the store unavailable or available again.
    pub fn set_away(&self, away: bool) {
        self.lock().away = away;
        self.revision.send_modify(|_| {});
    }

    /// Sets the time that a listing of all upstreams takes in addition to that of a call.
    pub fn set_listing_time(&self, time: Duration) {
        self.lock().listing_time = time;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the number of writes and deletions of quarantine records so far.
    pub fn quarantine_writes(&self) -> u64 {
        self.lock().quarantine_writes
    }

    /// Returns the quarantine records.
    pub fn stored_quarantines(&self) -> Vec<Quarantine> {
        self.lock().quarantines.values().cloned().collect()
    }

    /// Removes all quarantine records without a change in the history, as an older copy of the
    /// store would, and compacts the history.
    pub fn forget_quarantines(&self) {
        self.lock().quarantines.clear();
        self.next_revision();
        self.compact();
    }

    /// Removes a quarantine record, as an operator does.
    pub fn remove_quarantine(&self, part: u64) {
        let revision = self.next_revision();
        let mut state = self.lock();
        state.quarantines.remove(&part);
        state.quarantine_changes.push((revision, QuarantineChange::Removed(part)));
    }

    /// Raises the revision and returns it.
    fn next_revision(&self) -> u64 {
        self.revision.send_modify(|revision| *revision += 1);
        *self.revision.borrow()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and waits for its time; fails if the store is unavailable.
    async fn begin_call(&self) -> Result<(), Error> {
        self.lock().calls += 1;
        sleep(CALL_TIME).await;
        if self.lock().away { Err(Error::Unavailable("away".into())) } else { Ok(()) }
    }

    fn changes_since(&self, revision: u64) -> Vec<Change> {
        let state = self.lock();
        let since = state.changes.iter().filter(|(at, _)| *at > revision);
        since.map(|(_, change)| change.clone()).collect()
    }

    /// Waits until `newer` holds or `WATCH_LIMIT` has passed; returns the current revision. Fails
    /// with `Expired` if the changes after `revision` are compacted and with `Lost` if the store
    /// becomes unavailable.
    async fn wait(&self, revision: u64, newer: impl Fn(&State) -> bool) -> Result<u64, Error> {
        self.begin_call().await?;
        if revision < self.lock().compacted {
            return Err(Error::Expired);
        }
        let mut seen = self.revision.subscribe();
        let changed = async {
            loop {
                let (away, newer) = {
                    let state = self.lock();
                    (state.away, newer(&state))
                };
                if away || newer || seen.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(WATCH_LIMIT, changed).await;
        if self.lock().away {
            return Err(Error::Lost);
        }
        Ok(*self.revision.borrow())
    }
}

#[async_trait]
impl Store for ControlStore {
    async fn configuration(&self) -> Result<Configuration, Error> {
        self.begin_call().await?;
        let table = Table::from(self.lock().configuration.clone());
        Ok(Configuration { revision: *self.revision.borrow(), table: Some(table) })
    }

    async fn next_configuration(&self, revision: u64) -> Result<Configuration, Error> {
        let newest = self.wait(revision, |state| state.configured_at > revision).await?;
        let state = self.lock();
        let newer = state.configured_at > revision;
        let table = newer.then(|| Table::from(state.configuration.clone()));
        Ok(Configuration { revision: newest, table })
    }

    async fn upstreams(&self) -> Result<Listing, Error> {
        self.begin_call().await?;
        let time = self.lock().listing_time;
        sleep(time).await;
        let upstreams = self.lock().upstreams.values().cloned().collect();
        Ok(Listing { revision: *self.revision.borrow(), upstreams })
    }

    async fn next_upstreams(&self, revision: u64) -> Result<Changes, Error> {
        let newer = |state: &State| state.changes.last().is_some_and(|(at, _)| *at > revision);
        let newest = self.wait(revision, newer).await?;
        Ok(Changes { revision: newest, changes: self.changes_since(revision) })
    }

    async fn upstreams_since(&self, revision: u64) -> Result<Changes, Error> {
        let newest = self.wait(revision, |_| true).await?;
        Ok(Changes { revision: newest, changes: self.changes_since(revision) })
    }

    async fn members(&self) -> Result<Vec<Member>, Error> {
        self.begin_call().await?;
        Ok(self.lock().members.clone())
    }

    async fn announce(&self, member: &Member) -> Result<(), Error> {
        self.begin_call().await?;
        let mut state = self.lock();
        state.members.retain(|known| known.name != member.name);
        state.members.push(member.clone());
        Ok(())
    }

    async fn quarantines(&self) -> Result<Quarantines, Error> {
        self.begin_call().await?;
        let changes = self.stored_quarantines().into_iter().map(QuarantineChange::Set).collect();
        Ok(Quarantines { revision: *self.revision.borrow(), changes })
    }

    async fn next_quarantines(&self, revision: u64) -> Result<Quarantines, Error> {
        let newer =
            |state: &State| state.quarantine_changes.last().is_some_and(|(at, _)| *at > revision);
        let newest = self.wait(revision, newer).await?;
        let state = self.lock();
        let since = state.quarantine_changes.iter().filter(|(at, _)| *at > revision);
        Ok(Quarantines { revision: newest, changes: since.map(|(_, c)| c.clone()).collect() })
    }

    async fn write_quarantine(
        &self,
        part: u64,
        known: Option<u64>,
        record: &Record,
    ) -> Result<QuarantineWrite, Error> {
        self.begin_call().await?;
        self.lock().quarantine_writes += 1;
        let held = self.lock().quarantines.get(&part).cloned();
        if held.as_ref().map(|held| held.revision) != known {
            return Ok(QuarantineWrite::Conflict(held));
        }
        let revision = self.next_revision();
        let written = Quarantine { part, revision, record: record.clone() };
        let mut state = self.lock();
        state.quarantines.insert(part, written.clone());
        state.quarantine_changes.push((revision, QuarantineChange::Set(written)));
        Ok(QuarantineWrite::Stored(Some(revision)))
    }

    async fn delete_quarantine(&self, part: u64, known: u64) -> Result<(), Error> {
        self.begin_call().await?;
        self.lock().quarantine_writes += 1;
        if self.lock().quarantines.get(&part).is_none_or(|held| held.revision != known) {
            return Err(Error::Conflict);
        }
        self.remove_quarantine(part);
        Ok(())
    }
}
