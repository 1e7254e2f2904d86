//! The store that entry VMs follow, in process on tokio's clock.

use async_trait::async_trait;
use quetzaltiller::control::{Changes, Configuration, Error, Member, Store};
use quetzaltiller::fleet::{Change, Listing, Upstream};
use quetzaltiller::routes::{Content, Table};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
/// Longest wait of a watch.
const WATCH: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    configuration: Content,
    configured_at: u64,
    upstreams: BTreeMap<String, Upstream>,
    changes: Vec<(u64, Change)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    members: Vec<Member>,
    away: bool,
    calls: u64,
    /// Time that a listing of all upstreams takes besides.
    listing_time: Duration,
}

/// Store; clones are the same one.
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
    /// Replaces the configuration.
    pub fn configure(&self, content: Content) {
        let revision = self.next();
        let mut state = self.lock();
        state.configuration = content;
        state.configured_at = revision;
    }

    /// Lists an upstream, or changes its entry.
    pub fn list(&self, upstream: Upstream) {
        let revision = self.next();
        let mut state = self.lock();
        state.upstreams.insert(upstream.id.clone(), upstream.clone());
        state.changes.push((revision, Change::Set(upstream)));
    }

    /// Removes the entry of an upstream.
    pub fn remove(&self, id: &str) {
        let revision = self.next();
        let mut state = self.lock();
        state.upstreams.remove(id);
        state.changes.push((revision, Change::Removed(id.to_owned())));
    }

    /// Forgets the history of changes.
    pub fn compact(&self) {
        let revision = *self.revision.borrow();
        self.lock().forgotten = revision;
    }

    /// Takes the store away, or brings it back.
    pub fn set_away(&self, away: bool) {
        self.lock().away = away;
        self.revision.send_modify(|_| {});
    }

    /// Sets how long a listing of all upstreams takes besides.
    pub fn set_listing_time(&self, time: Duration) {
        self.lock().listing_time = time;
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn next(&self) -> u64 {
        self.revision.send_modify(|revision| *revision += 1);
        *self.revision.borrow()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn enter(&self) -> Result<(), Error> {
        self.lock().calls += 1;
        sleep(ANSWER).await;
        if self.lock().away { Err(Error::Unavailable("away".into())) } else { Ok(()) }
    }

    fn changes_since(&self, revision: u64) -> Vec<Change> {
        let state = self.lock();
        let since = state.changes.iter().filter(|(at, _)| *at > revision);
        since.map(|(_, change)| change.clone()).collect()
    }

    /// Waits until something is newer than `revision`, or for a while.
    async fn wait(&self, revision: u64, newer: impl Fn(&State) -> bool) -> Result<u64, Error> {
        self.enter().await?;
        if revision < self.lock().forgotten {
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
        let _ = timeout(WATCH, changed).await;
        if self.lock().away {
            return Err(Error::Lost);
        }
        Ok(*self.revision.borrow())
    }
}

#[async_trait]
impl Store for ControlStore {
    async fn configuration(&self) -> Result<Configuration, Error> {
        self.enter().await?;
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
        self.enter().await?;
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
        self.enter().await?;
        Ok(self.lock().members.clone())
    }

    async fn announce(&self, member: &Member) -> Result<(), Error> {
        self.enter().await?;
        let mut state = self.lock();
        state.members.retain(|known| known.name != member.name);
        state.members.push(member.clone());
        Ok(())
    }
}
