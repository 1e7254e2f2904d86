//! Stand-in of the store that holds configuration, upstreams, members and quarantine records, in
//! process on tokio's clock.
//!
//! In a drill the store returns from an older copy: its era rises, the revisions after the copy's
//! are given out again, and what the operator and the upstreams wrote since is written again after
//! a while. What entry VMs wrote is lost; quarantine records all are.

mod drill;
mod trouble;

pub use trouble::Kind;

use async_trait::async_trait;
use quetzaltiller::control::{
    Changes, Configuration, Error, Member, Quarantine, QuarantineChange, QuarantineWrite,
    Quarantines, Record, Store, Subject, Version,
};
use quetzaltiller::fleet::{Change, Listing, Upstream};
use quetzaltiller::routes::{Content, Table};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use trouble::Trouble;

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Time limit of a call of a client, not counting the wait of a watch.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// What the store holds at one revision.
#[derive(Clone, Default)]
struct Contents {
    configuration: Content,
    configured_at: u64,
    upstreams: BTreeMap<String, Upstream>,
    members: Vec<Member>,
}

#[derive(Default)]
struct State {
    contents: Contents,
    /// Contents after each change, with their time and revision.
    copies: Vec<(Instant, u64, Contents)>,
    changes: Vec<(u64, Change)>,
    /// Highest revision whose changes are compacted; a watch from before it fails with `Expired`.
    compacted: u64,
    quarantines: BTreeMap<Subject, Quarantine>,
    quarantine_changes: Vec<(u64, QuarantineChange)>,
    quarantine_writes: u64,
    era: u64,
    away: bool,
    /// Whether what is sent is never answered.
    silent: bool,
    troubles: BTreeMap<Kind, Trouble>,
    calls: u64,
    /// Entries of upstreams in all eras, in the order in which they were written.
    written: Vec<Upstream>,
    announcements: Vec<String>,
    /// Time from the reading of an answer until it arrives.
    answer_time: Duration,
    /// Time that a listing of all upstreams takes in addition to that of a call.
    listing_time: Duration,
}

/// In-memory store; clones share its state.
#[derive(Clone)]
pub struct ControlStore {
    state: Arc<Mutex<State>>,
    revision: Arc<watch::Sender<u64>>,
    link: Arc<Link>,
}

/// Connection of one client to the store.
#[derive(Default)]
struct Link {
    cut: AtomicBool,
    silent: AtomicBool,
    calls: AtomicU64,
}

impl Default for ControlStore {
    fn default() -> Self {
        let revision = Arc::new(watch::Sender::new(1));
        Self { state: Arc::default(), revision, link: Arc::default() }
    }
}

impl ControlStore {
    /// Replaces the configuration at a new revision.
    pub fn configure(&self, content: Content) {
        let revision = self.next_revision();
        let mut state = self.lock();
        state.contents.configuration = content;
        state.contents.configured_at = revision;
        state.copy(revision);
    }

    /// Adds or replaces the entry of an upstream.
    pub fn list(&self, upstream: Upstream) {
        let revision = self.next_revision();
        let mut state = self.lock();
        state.contents.upstreams.insert(upstream.id.clone(), upstream.clone());
        state.written.push(upstream.clone());
        state.changes.push((revision, Change::Set(upstream)));
        state.copy(revision);
    }

    /// Removes the entry of an upstream.
    pub fn remove(&self, id: &str) {
        let revision = self.next_revision();
        let mut state = self.lock();
        state.contents.upstreams.remove(id);
        state.changes.push((revision, Change::Removed(id.to_owned())));
        state.copy(revision);
    }

    /// Changes an object of a kind that no entry VM follows.
    pub fn write_other(&self) {
        self.next_revision();
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

    /// Makes the store silent, or lets it answer again. Calls that it receives while it is silent, and
    /// watches that wait then, are never answered; their clients' time limits end them.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
        self.revision.send_modify(|_| {});
    }

    /// Makes the store silent to this client alone, or lets it answer again.
    pub fn set_link_silent(&self, silent: bool) {
        self.link.silent.store(silent, Ordering::Relaxed);
        self.revision.send_modify(|_| {});
    }

    /// Returns a client of this store that can be cut off from it alone.
    pub fn client(&self) -> Self {
        Self { link: Arc::default(), ..self.clone() }
    }

    /// Returns the number of calls of this client so far.
    pub fn own_calls(&self) -> u64 {
        self.link.calls.load(Ordering::Relaxed)
    }

    /// Cuts this client off from the store, or connects it again.
    pub fn set_cut(&self, cut: bool) {
        self.link.cut.store(cut, Ordering::Relaxed);
        self.revision.send_modify(|_| {});
    }

    /// Sets the time from the reading of an answer until it arrives.
    pub fn set_answer_time(&self, time: Duration) {
        self.lock().answer_time = time;
    }

    /// Returns the version of the store.
    pub fn version(&self) -> Version {
        Version { era: self.lock().era, revision: *self.revision.borrow() }
    }

    /// Returns the listed upstreams.
    pub fn listed(&self) -> Vec<Upstream> {
        self.lock().contents.upstreams.values().cloned().collect()
    }

    /// Returns the entries of upstreams in all eras, in the order in which they were written.
    pub fn written(&self) -> Vec<Upstream> {
        self.lock().written.clone()
    }

    /// Returns the number of the stored configuration.
    pub fn configured(&self) -> u64 {
        self.lock().contents.configuration.number
    }

    /// Returns the number of announced entry VMs.
    pub fn members_listed(&self) -> usize {
        self.lock().contents.members.len()
    }

    /// Returns the names in all announcements so far, in order.
    pub fn announcements(&self) -> Vec<String> {
        self.lock().announcements.clone()
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
    pub fn remove_quarantine(&self, subject: Subject) {
        let revision = self.next_revision();
        let mut state = self.lock();
        state.quarantines.remove(&subject);
        state.quarantine_changes.push((revision, QuarantineChange::Removed(subject)));
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
        self.begin_watch(Duration::ZERO).await
    }

    /// Counts a call and waits for its time; a silent store lets it wait for `wait` and the time
    /// limit of calls. Fails if the store is unavailable.
    async fn begin_watch(&self, wait: Duration) -> Result<(), Error> {
        self.lock().calls += 1;
        self.link.calls.fetch_add(1, Ordering::Relaxed);
        if self.is_silent() {
            sleep(wait + CALL_LIMIT).await;
            return Err(Error::Unanswered);
        }
        sleep(CALL_TIME).await;
        if self.is_away() { Err(Error::Unavailable("away".into())) } else { Ok(()) }
    }

    fn is_silent(&self) -> bool {
        self.lock().silent || self.link.silent.load(Ordering::Relaxed)
    }

    fn is_away(&self) -> bool {
        self.lock().away || self.link.cut.load(Ordering::Relaxed)
    }

    /// Delays an answer that was read before.
    async fn delay_answer<T>(&self, answer: T) -> Result<T, Error> {
        let time = self.lock().answer_time;
        sleep(time).await;
        if self.link.cut.load(Ordering::Relaxed) { Err(Error::Lost) } else { Ok(answer) }
    }

    fn changes_since(&self, revision: u64, version: Version) -> Changes {
        let state = self.lock();
        let since = state.changes.iter().filter(|(at, _)| *at > revision);
        let (revisions, changes) = since.cloned().unzip();
        Changes { version, changes, revisions }
    }

    /// Waits until `newer` holds or `wait` has passed; returns the current version. Fails with
    /// `Expired` if the store has no changes after `revision` and with `Lost` if it becomes
    /// unavailable or silent or another era begins.
    async fn wait(
        &self,
        kind: Kind,
        (revision, wait): (u64, Duration),
        newer: impl Fn(&State) -> bool,
    ) -> Result<Version, Error> {
        let (began, limit) = (Instant::now(), Instant::now() + wait + CALL_LIMIT);
        let known_trouble = self.trouble_of(kind);
        self.begin_watch(wait).await?;
        if revision < self.lock().compacted || revision > *self.revision.borrow() {
            return Err(Error::Expired);
        }
        let era = self.lock().era;
        let mut seen = self.revision.subscribe();
        let end = Instant::now() + wait;
        loop {
            let trouble = self.trouble_of(kind);
            let is_new = trouble.map(|t| t.number) > known_trouble.map(|t| t.number);
            if is_new && trouble.is_some_and(|trouble| trouble.resets) {
                return Err(Error::Lost);
            }
            let began_silent = known_trouble.is_some_and(|trouble| began < trouble.silent_until);
            if self.is_silent() || is_new || began_silent {
                sleep_until(limit).await;
                return Err(Error::Unanswered);
            }
            let newer = {
                let state = self.lock();
                state.era != era || newer(&state)
            };
            if self.is_away() || newer || Instant::now() >= end {
                break;
            }
            tokio::select! {
                biased;
                changed = seen.changed() => if changed.is_err() { break },
                () = sleep_until(end) => {}
            }
        }
        if self.is_away() || self.lock().era != era {
            return Err(Error::Lost);
        }
        Ok(self.version())
    }
}

impl State {
    /// Keeps the contents after a change for a later drill.
    fn copy(&mut self, revision: u64) {
        self.copies.push((Instant::now(), revision, self.contents.clone()));
    }
}

#[async_trait]
impl Store for ControlStore {
    async fn configuration(&self) -> Result<Configuration, Error> {
        self.begin_call().await?;
        let table = Table::from(self.lock().contents.configuration.clone());
        let version = self.version();
        let revisions = vec![self.lock().contents.configured_at];
        self.delay_answer(Configuration { version, table: Some(table), revisions }).await
    }

    async fn next_configuration(
        &self,
        since: Version,
        wait: Duration,
    ) -> Result<Configuration, Error> {
        let is_newer = |state: &State| state.contents.configured_at > since.revision;
        let asked = (since.revision, wait);
        let version = self.wait(Kind::Configuration, asked, is_newer).await?;
        let (table, revisions) = {
            let state = self.lock();
            let table = Table::from(state.contents.configuration.clone());
            let newer = is_newer(&state);
            (newer.then_some(table), newer.then_some(state.contents.configured_at))
        };
        let revisions = revisions.into_iter().collect();
        self.delay_answer(Configuration { version, table, revisions }).await
    }

    async fn upstreams(&self) -> Result<Listing, Error> {
        self.begin_call().await?;
        let time = self.lock().listing_time;
        sleep(time).await;
        let listing = Listing { version: self.version(), upstreams: self.listed() };
        self.delay_answer(listing).await
    }

    async fn next_upstreams(&self, since: Version, wait: Duration) -> Result<Changes, Error> {
        let Version { revision, .. } = since;
        let newer = |state: &State| state.changes.last().is_some_and(|(at, _)| *at > revision);
        let version = self.wait(Kind::Upstreams, (revision, wait), newer).await?;
        self.delay_answer(self.changes_since(revision, version)).await
    }

    async fn upstreams_since(&self, since: Version) -> Result<Changes, Error> {
        let asked = (since.revision, Duration::ZERO);
        let version = self.wait(Kind::Upstreams, asked, |_| true).await?;
        self.delay_answer(self.changes_since(since.revision, version)).await
    }

    async fn members(&self) -> Result<Vec<Member>, Error> {
        self.begin_call().await?;
        Ok(self.lock().contents.members.clone())
    }

    async fn announce(&self, member: &Member) -> Result<u64, Error> {
        self.begin_call().await?;
        let revision = *self.revision.borrow();
        let mut state = self.lock();
        state.contents.members.retain(|known| known.name != member.name);
        state.contents.members.push(member.clone());
        state.announcements.push(member.name.clone());
        state.copy(revision);
        Ok(state.era)
    }

    async fn quarantines(&self) -> Result<Quarantines, Error> {
        self.begin_call().await?;
        let changes = self.stored_quarantines().into_iter().map(QuarantineChange::Set).collect();
        let version = Version { era: self.lock().era, revision: *self.revision.borrow() };
        Ok(Quarantines { version, changes })
    }

    async fn next_quarantines(&self, since: Version, wait: Duration) -> Result<Quarantines, Error> {
        let revision = since.revision;
        let newer =
            |state: &State| state.quarantine_changes.last().is_some_and(|(at, _)| *at > revision);
        let newest = self.wait(Kind::Quarantine, (revision, wait), newer).await?;
        let state = self.lock();
        let since = state.quarantine_changes.iter().filter(|(at, _)| *at > revision);
        Ok(Quarantines { version: newest, changes: since.map(|(_, c)| c.clone()).collect() })
    }

    async fn write_quarantine(
        &self,
        subject: Subject,
        known: Option<u64>,
        record: &Record,
    ) -> Result<QuarantineWrite, Error> {
        self.begin_call().await?;
        self.lock().quarantine_writes += 1;
        let held = self.lock().quarantines.get(&subject).cloned();
        if held.as_ref().map(|held| held.revision) != known {
            return Ok(QuarantineWrite::Conflict(held));
        }
        let revision = self.next_revision();
        let written = Quarantine { subject, revision, record: record.clone() };
        let mut state = self.lock();
        state.quarantines.insert(subject, written.clone());
        state.quarantine_changes.push((revision, QuarantineChange::Set(written)));
        Ok(QuarantineWrite::Stored(Some(revision)))
    }

    async fn delete_quarantine(&self, subject: Subject, known: u64) -> Result<(), Error> {
        self.begin_call().await?;
        self.lock().quarantine_writes += 1;
        if self.lock().quarantines.get(&subject).is_none_or(|held| held.revision != known) {
            return Err(Error::Conflict);
        }
        self.remove_quarantine(subject);
        Ok(())
    }
}
