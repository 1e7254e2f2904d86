//! Injects the faults of a plan into a deployment at their times and ends them.

use crate::deployment::Deployment;
use crate::plan::{Event, Fault, Plan, StoreFault, Watch};
use crate::proxy::Proxy;
use hyper::Method;
use nix::sys::signal::Signal;
use platform_standin::calls::call;
use platform_standin::operator;
use platform_standin::store::{Drill, Faults, Mode};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Delay of each piece of data on a slow connection, in milliseconds.
const DELAY_MS: u64 = 120;
/// Delay of each answer of a slow store, in milliseconds.
const SLOW_STORE_MS: u64 = 250;
/// Share of writes whose answer a lossy store drops.
const LOST_ANSWER_SHARE: f64 = 0.5;
/// Pause between attempts to write a configuration, and between checks whether a leaving upstream
/// has exited.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Newest configuration and the account key that callers use with it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Configured {
    /// Number of the newest configuration that the store acknowledged.
    pub version: u64,
    /// Account key that this configuration accepts.
    pub key: String,
}

/// Injects faults into a deployment and ends them; clones share the deployment.
#[derive(Clone)]
pub struct Injector {
    deployment: Arc<Mutex<Deployment>>,
    store: SocketAddr,
    configured: Arc<watch::Sender<Configured>>,
    /// Held while a configuration is written, so that no other has the same number.
    writing: Arc<Mutex<()>>,
    began: Instant,
    restarts: Arc<std::sync::Mutex<Vec<(usize, Duration)>>>,
}

impl Injector {
    /// Takes over a running `deployment`; the load starts now.
    pub fn new(deployment: Deployment) -> Self {
        let store = deployment.layout.store();
        let configured = Configured { version: 1, key: account_key(1) };
        Self {
            deployment: Arc::new(Mutex::new(deployment)),
            store,
            configured: Arc::new(watch::Sender::new(configured)),
            writing: Arc::default(),
            began: Instant::now(),
            restarts: Arc::default(),
        }
    }

    /// Returns a receiver of the newest configuration and its account key.
    pub fn configured(&self) -> watch::Receiver<Configured> {
        self.configured.subscribe()
    }

    /// Returns the start of the load.
    pub fn began(&self) -> Instant {
        self.began
    }

    /// Locks the deployment.
    pub async fn deployment(&self) -> MutexGuard<'_, Deployment> {
        self.deployment.lock().await
    }

    /// Returns the starts and stops of entry VMs, as time since the start of the load.
    pub fn restarts(&self) -> Vec<(usize, Duration)> {
        self.restarts.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone()
    }

    /// Writes the next configuration, with a new account key if `revoke`; retries until the store
    /// accepts it.
    pub async fn configure(&self, revoke: bool) {
        let _writing = self.writing.lock().await;
        let Configured { version, key: current_key } = self.configured.borrow().clone();
        let version = version + 1;
        let key = if revoke { account_key(version) } else { current_key };
        while operator::configure(self.store, version, &[&key]).await.is_err() {
            sleep(RETRY_PAUSE).await;
        }
        self.configured.send_replace(Configured { version, key });
    }

    /// Injects the faults of a plan; returns when all of them have ended.
    pub async fn play(&self, plan: &Plan) {
        let mut faults = Vec::new();
        for event in plan.events.clone() {
            let injector = self.clone();
            faults.push(tokio::spawn(async move {
                sleep_until(injector.began + event.at).await;
                injector.inject(event).await;
            }));
        }
        for fault in faults {
            let _ = fault.await;
        }
        self.end_all_faults().await;
    }

    async fn inject(&self, Event { fault, lasts, .. }: Event) {
        match fault {
            Fault::KillUpstream(upstream) => self.restart_upstreams(&[upstream], lasts).await,
            Fault::KillZone(zone) => {
                let engines = self.deployment().await.engines_of(zone);
                self.restart_upstreams(&engines, lasts).await;
            }
            Fault::StopUpstream(upstream) => {
                self.signal_upstream(upstream, Signal::SIGSTOP).await;
                sleep(lasts).await;
                self.signal_upstream(upstream, Signal::SIGCONT).await;
            }
            Fault::LeaveUpstream(upstream) => {
                let id = self.deployment().await.upstreams[upstream].process.id();
                self.signal_upstream(upstream, Signal::SIGTERM).await;
                while id.is_some() && self.deployment().await.upstreams[upstream].process.id() == id
                {
                    sleep(RETRY_PAUSE).await;
                }
                let _ = self.deployment().await.start_upstream(upstream);
            }
            Fault::DelayUpstream(upstream) => {
                self.impair_upstream(upstream, lasts, DELAY_MS, false).await
            }
            Fault::HalveUpstream(upstream) => self.impair_upstream(upstream, lasts, 0, true).await,
            Fault::SilenceUpstream(upstream) => {
                self.deployment().await.upstreams[upstream].proxy.silence_open();
            }
            Fault::ResetUpstream(upstream) => {
                self.deployment().await.upstreams[upstream].proxy.reset_open();
            }
            Fault::BabbleUpstream(upstream) => {
                self.deployment().await.upstreams[upstream].proxy.set_babbling(true);
                sleep(lasts).await;
                self.deployment().await.upstreams[upstream].proxy.set_babbling(false);
            }
            Fault::KillEntry(entry) => self.restart_entries(&[entry], lasts).await,
            Fault::KillEntries => {
                let all: Vec<_> = (0..self.deployment().await.size.entries).collect();
                self.restart_entries(&all, lasts.min(Duration::from_secs(1))).await;
            }
            Fault::StopEntry(entry) => {
                self.signal_entry(entry, Signal::SIGSTOP).await;
                sleep(lasts).await;
                self.signal_entry(entry, Signal::SIGCONT).await;
            }
            Fault::EndEntry(entry) => self.end_entry(entry).await,
            Fault::Settings(entry) => {
                let _ = self.deployment().await.write_settings(entry, 9);
                self.signal_entry(entry, Signal::SIGHUP).await;
            }
            Fault::CutStore(entry) => {
                self.deployment().await.entries[entry].store.set(0, true, true);
                sleep(lasts).await;
                self.deployment().await.entries[entry].store.set(0, false, false);
            }
            Fault::SilenceWatch(watch, entry) => {
                let deployment = self.deployment().await;
                stores(&deployment, entry).for_each(|store| store.silence_carriers(request(watch)));
            }
            Fault::ResetWatch(watch, entry) => self.reset_watch(watch, entry, lasts).await,
            Fault::Compact(deaf_ms) => {
                let faults = Faults { compact_ms: Some(deaf_ms), ..Faults::default() };
                self.set_store_faults(faults).await;
            }
            Fault::Store(fault) => self.inject_store_fault(fault, lasts).await,
            Fault::Drill(drill) => self.drill_store(drill, lasts).await,
            Fault::Configure => self.configure(false).await,
            Fault::Revoke => self.configure(true).await,
        }
    }

    /// Stops an entry VM gracefully and starts it again.
    pub async fn end_entry(&self, entry: usize) {
        let id = self.deployment().await.entries[entry].process.id();
        self.signal_entry(entry, Signal::SIGTERM).await;
        self.record_restart(entry);
        while id.is_some() && self.deployment().await.entries[entry].process.id() == id {
            sleep(Duration::from_millis(20)).await;
        }
        let _ = self.deployment().await.entries[entry].process.start();
        self.record_restart(entry);
    }

    async fn restart_upstreams(&self, upstreams: &[usize], lasts: Duration) {
        for upstream in upstreams {
            self.deployment().await.upstreams[*upstream].process.kill();
        }
        sleep(lasts).await;
        for upstream in upstreams {
            let _ = self.deployment().await.start_upstream(*upstream);
        }
    }

    async fn restart_entries(&self, entries: &[usize], lasts: Duration) {
        for entry in entries {
            self.deployment().await.entries[*entry].process.kill();
            self.record_restart(*entry);
        }
        sleep(lasts).await;
        for entry in entries {
            let _ = self.deployment().await.entries[*entry].process.start();
            self.record_restart(*entry);
        }
    }

    fn record_restart(&self, entry: usize) {
        let mut restarts = self.restarts.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        restarts.push((entry, self.began.elapsed()));
    }

    async fn signal_upstream(&self, upstream: usize, signal: Signal) {
        self.deployment().await.upstreams[upstream].process.signal(signal);
    }

    async fn signal_entry(&self, entry: usize, signal: Signal) {
        self.deployment().await.entries[entry].process.signal(signal);
    }

    async fn impair_upstream(
        &self,
        upstream: usize,
        lasts: Duration,
        delay_ms: u64,
        cut_back: bool,
    ) {
        self.deployment().await.upstreams[upstream].proxy.set(delay_ms, false, cut_back);
        sleep(lasts).await;
        self.deployment().await.upstreams[upstream].proxy.set(0, false, false);
    }

    async fn reset_watch(&self, watch: Watch, entry: Option<usize>, lasts: Duration) {
        let deployment = self.deployment().await;
        stores(&deployment, entry).for_each(|store| {
            store.set_silencing_new(true);
            store.reset_carriers(request(watch));
        });
        drop(deployment);
        sleep(lasts).await;
        let deployment = self.deployment().await;
        stores(&deployment, entry).for_each(|store| store.set_silencing_new(false));
    }

    async fn inject_store_fault(&self, fault: StoreFault, lasts: Duration) {
        let faults = match fault {
            StoreFault::Busy => Faults { mode: Mode::Busy, ..Faults::default() },
            StoreFault::Reset => Faults { mode: Mode::Reset, ..Faults::default() },
            StoreFault::Silent => Faults { mode: Mode::Silent, ..Faults::default() },
            StoreFault::Slow => Faults { slow_ms: SLOW_STORE_MS, ..Faults::default() },
            StoreFault::Lossy => Faults { lost: LOST_ANSWER_SHARE, ..Faults::default() },
            StoreFault::Forgetful => Faults { forget: true, ..Faults::default() },
            StoreFault::Lapsed => Faults { mode: Mode::Busy, lapse: true, ..Faults::default() },
            StoreFault::Stopped => {
                self.deployment().await.store.signal(Signal::SIGSTOP);
                sleep(lasts).await;
                self.deployment().await.store.signal(Signal::SIGCONT);
                return;
            }
        };
        self.set_store_faults(faults).await;
        sleep(lasts).await;
        self.set_store_faults(Faults::default()).await;
    }

    async fn drill_store(&self, drill: Drill, away: Duration) {
        if !away.is_zero() {
            self.set_store_faults(Faults { mode: Mode::Reset, ..Faults::default() }).await;
            sleep(away).await;
        }
        self.set_store_faults(Faults { drill: Some(drill), ..Faults::default() }).await;
    }

    async fn set_store_faults(&self, faults: Faults) {
        let body = serde_json::to_value(faults).unwrap_or(Value::Null);
        // A stopped store reads this when it continues; `end_all_faults` sends it again in any
        // case.
        let _ = call(self.store, Method::POST, "/faults", &body).await;
    }

    /// Ends all remaining faults and starts every process that does not run.
    pub async fn end_all_faults(&self) {
        let mut deployment = self.deployment().await;
        deployment.store.signal(Signal::SIGCONT);
        for upstream in 0..deployment.upstreams.len() {
            deployment.upstreams[upstream].process.signal(Signal::SIGCONT);
            deployment.upstreams[upstream].proxy.set(0, false, false);
            deployment.upstreams[upstream].proxy.set_babbling(false);
            let _ = deployment.start_upstream(upstream);
        }
        for entry in &mut deployment.entries {
            entry.process.signal(Signal::SIGCONT);
            entry.store.set(0, false, false);
            entry.store.set_silencing_new(false);
            let _ = entry.process.start();
        }
        drop(deployment);
        self.set_store_faults(Faults::default()).await;
    }
}

/// Proxies to the store of one entry VM, or of all.
fn stores(deployment: &Deployment, entry: Option<usize>) -> impl Iterator<Item = &Proxy> {
    let entries = deployment.entries.iter().enumerate();
    let selected = entries.filter(move |(number, _)| entry.is_none_or(|entry| entry == *number));
    selected.map(|(_, entry)| &entry.store)
}

/// Part of the requests of a watch that no others have.
fn request(watch: Watch) -> &'static str {
    match watch {
        Watch::Configuration => "/config?watch=",
        Watch::Upstreams => "/servers?watch=",
        Watch::Quarantine => "-quarantine?watch=",
    }
}

/// Account key that a configuration introduces.
pub fn account_key(version: u64) -> String {
    format!("soak-key-{version}")
}
