//! Stand-in of the platform: versioned objects with watches, and a list of VMs that lags.

use crate::network::Network;
use async_trait::async_trait;
use quetzaltiller::platform::{Error, Store, Stored, Vm};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Name of the platform on the network.
pub const PARTY: &str = "platform";

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether every call fails.
    pub outage: bool,
    /// Time added to every call.
    pub slowness: Duration,
    /// Share of writes that take effect but whose answer is lost.
    pub answer_lost: f64,
    /// Age of the list of VMs.
    pub vm_lag: Duration,
}

struct State {
    objects: BTreeMap<String, (u64, String)>,
    deleted: BTreeMap<String, u64>,
    version: u64,
    vms: Vec<(Instant, Vec<Vm>)>,
    faults: Faults,
    calls: u64,
    rng: ChaCha12Rng,
}

/// In-memory platform; clones share its state.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changes: Arc<Notify>,
}

impl Platform {
    /// Creates a platform without objects and VMs; `seed` decides which answers are lost.
    pub fn new(seed: u64) -> Self {
        let state = State {
            objects: BTreeMap::new(),
            deleted: BTreeMap::new(),
            version: 0,
            vms: Vec::new(),
            faults: Faults::default(),
            calls: 0,
            rng: ChaCha12Rng::seed_from_u64(seed),
        };
        Self { state: Arc::new(Mutex::new(state)), changes: Arc::default() }
    }

    /// Changes the faults of the platform.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Replaces the list of VMs; readers see the new one after `vm_lag`.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms.push((Instant::now(), vms));
    }

    /// Returns the number of calls so far; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the faults that precede it.
    async fn begin_call(&self) -> Result<(), Error> {
        let faults = {
            let mut state = self.lock();
            state.calls += 1;
            state.faults
        };
        if !faults.slowness.is_zero() {
            tokio::time::sleep(faults.slowness).await;
        }
        if faults.outage { Err(Error::Unreachable) } else { Ok(()) }
    }

    fn write(&self, key: &str, expected: Option<u64>, value: Option<&str>) -> Result<u64, Error> {
        if value.is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return Err(Error::TooLarge);
        }
        let mut state = self.lock();
        if state.objects.get(key).map(|(version, _)| *version) != expected {
            return Err(Error::Conflict);
        }
        state.version += 1;
        let version = state.version;
        match value {
            Some(value) => drop(state.objects.insert(key.into(), (version, value.into()))),
            None => {
                state.objects.remove(key);
                state.deleted.insert(key.into(), version);
            }
        }
        let (lost, outage) = (state.faults.answer_lost, state.faults.outage);
        let lost = outage || lost > 0.0 && state.rng.random_bool(lost);
        drop(state);
        self.changes.notify_waiters();
        if lost { Err(Error::Lost) } else { Ok(version) }
    }

    /// Returns the newest version of an object under `prefix`, removed ones included.
    fn newest_version(&self, prefix: &str) -> u64 {
        let state = self.lock();
        let present = state.objects.range(prefix.to_owned()..);
        let present = present.take_while(|(key, _)| key.starts_with(prefix));
        let deleted = state.deleted.iter().filter(|(key, _)| key.starts_with(prefix));
        let versions = present.map(|(_, (version, _))| *version);
        versions.chain(deleted.map(|(_, version)| *version)).max().unwrap_or_default()
    }
}

#[async_trait]
impl Store for Platform {
    async fn create(&self, key: &str, value: &str) -> Result<u64, Error> {
        self.begin_call().await?;
        self.write(key, None, Some(value))
    }

    async fn replace(&self, key: &str, version: u64, value: &str) -> Result<u64, Error> {
        self.begin_call().await?;
        self.write(key, Some(version), Some(value))
    }

    async fn remove(&self, key: &str, version: u64) -> Result<(), Error> {
        self.begin_call().await?;
        self.write(key, Some(version), None).map(drop)
    }

    async fn read(&self, key: &str) -> Result<Option<Stored>, Error> {
        self.begin_call().await?;
        let state = self.lock();
        let found = state.objects.get(key);
        Ok(found.map(|(version, value)| stored(key, *version, value)))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Stored>, Error> {
        self.begin_call().await?;
        let state = self.lock();
        let found = state.objects.range(prefix.to_owned()..);
        let found = found.take_while(|(key, _)| key.starts_with(prefix));
        Ok(found.map(|(key, (version, value))| stored(key, *version, value)).collect())
    }

    async fn watch(&self, prefix: &str, after: u64) -> Result<u64, Error> {
        /// Longest wait of a watch without a change.
        const WATCH_LIMIT: Duration = Duration::from_secs(20);
        self.begin_call().await?;
        let changed = async {
            loop {
                let changed = self.changes.notified();
                if self.newest_version(prefix) > after {
                    return;
                }
                changed.await;
            }
        };
        let _ = timeout(WATCH_LIMIT, changed).await;
        if self.lock().faults.outage { Err(Error::Lost) } else { Ok(self.newest_version(prefix)) }
    }

    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.begin_call().await?;
        let state = self.lock();
        let visible_until = Instant::now().checked_sub(state.faults.vm_lag);
        let visible =
            state.vms.iter().rev().find(|(at, _)| visible_until.is_some_and(|until| *at <= until));
        Ok(visible.map(|(_, vms)| vms.clone()).unwrap_or_default())
    }
}

fn stored(key: &str, version: u64, value: &str) -> Stored {
    Stored { key: key.to_owned(), version, value: value.to_owned() }
}

/// Client through which one party reaches the platform in process, over the network.
#[derive(Clone)]
pub struct Access {
    platform: Platform,
    network: Network,
    party: Arc<str>,
}

impl Access {
    /// Creates the client of `party`.
    pub fn new(platform: Platform, network: Network, party: &str) -> Self {
        Self { platform, network, party: party.into() }
    }

    async fn reach(&self) -> Result<(), Error> {
        let limit = Duration::from_secs(2);
        let passed = timeout(limit, self.network.deliver(&self.party, PARTY)).await;
        passed.map_err(|_| Error::Unreachable)?.map_err(|_| Error::Unreachable)
    }

    async fn answer<T>(&self, result: Result<T, Error>) -> Result<T, Error> {
        let limit = Duration::from_secs(2);
        let passed = timeout(limit, self.network.deliver(PARTY, &self.party)).await;
        passed.map_err(|_| Error::Lost)?.map_err(|_| Error::Lost)?;
        result
    }
}

#[async_trait]
impl Store for Access {
    async fn create(&self, key: &str, value: &str) -> Result<u64, Error> {
        self.reach().await?;
        self.answer(self.platform.create(key, value).await).await
    }

    async fn replace(&self, key: &str, version: u64, value: &str) -> Result<u64, Error> {
        self.reach().await?;
        self.answer(self.platform.replace(key, version, value).await).await
    }

    async fn remove(&self, key: &str, version: u64) -> Result<(), Error> {
        self.reach().await?;
        self.answer(self.platform.remove(key, version).await).await
    }

    async fn read(&self, key: &str) -> Result<Option<Stored>, Error> {
        self.reach().await?;
        self.answer(self.platform.read(key).await).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Stored>, Error> {
        self.reach().await?;
        self.answer(self.platform.list(prefix).await).await
    }

    async fn watch(&self, prefix: &str, after: u64) -> Result<u64, Error> {
        self.reach().await?;
        self.answer(self.platform.watch(prefix, after).await).await
    }

    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.reach().await?;
        self.answer(self.platform.vms().await).await
    }
}
