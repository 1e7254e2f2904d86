//! Stand-in upstreams for forwarded requests, in process on tokio's clock.
//!
//! An engine prefills prompts one after the other and then sends numbered events. Each of its runs
//! slows the others a little, a prompt in prefill slows them much. An engine drops a run when its
//! connection ends and copies the memory of a run to the backup that the request names; a run has
//! no memory to copy before its first event. A replica of a plain service answers after a fixed
//! time. Both can crash, go silent, fail or stall.

mod node;
mod poison;
mod stream;

pub use node::{Fault, Node, Silence};

use async_trait::async_trait;
use bytes::Bytes;
use coordination::memory::Budget;
use futures::StreamExt as _;
use hyper::{HeaderMap, StatusCode};
use poison::{CALL_CRASH_DELAY, Poison};
use quetzaltiller::fleet::Upstream;
use quetzaltiller::proxy::Request;
use quetzaltiller::upstream::{
    self, Availability, Call, Client, Copy, Error, Limit, Listener, Report, Response,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stream::{Events, broken};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

/// Round trip time to an upstream.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// Time after which an attempt to connect to a silent upstream fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// Time that a replica of a plain service takes for a request.
const WORK: Duration = Duration::from_millis(30);

/// Transport for copies of runs to upstreams in other processes.
pub trait CopyTransport: Send + Sync {
    /// Sends the copy `name` of a run with `events` events to the engine at `to`.
    fn send_copy(&self, to: SocketAddr, origin: SocketAddr, name: &str, events: u32);
}

/// All upstreams of this process; clones share them.
#[derive(Clone, Default)]
pub struct Fleet {
    nodes: Arc<Mutex<BTreeMap<SocketAddr, Node>>>,
    counts: Arc<Mutex<Counts>>,
    transport: Option<Arc<dyn CopyTransport>>,
    listeners: Arc<Mutex<Vec<Arc<dyn Listener>>>>,
    poison: Arc<Mutex<Poison>>,
    /// Times by request until which its connection delivers nothing.
    delays: Arc<Mutex<BTreeMap<String, Instant>>>,
}

/// Counts of what the upstreams did.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Number of runs begun, by request.
    pub runs: BTreeMap<String, u32>,
    /// Highest number of concurrent runs of one request.
    pub at_once: u32,
    /// Number of prompt tokens prefilled.
    pub prefilled: u64,
    /// Number of requests refused without a run.
    pub turned_away: u32,
    /// Number of calls for load reports and cached prompt parts.
    pub reports: u32,
    /// Number of health checks.
    pub checks: u32,
}

impl Fleet {
    /// Creates an empty fleet that sends copies for upstreams of other processes through
    /// `transport`.
    pub fn with_copy_transport(transport: Arc<dyn CopyTransport>) -> Self {
        Self { transport: Some(transport), ..Self::default() }
    }

    /// Stores the copy `name` of a run with `events` events at the engine at `to`, in this process
    /// or in another.
    pub fn store_copy(&self, to: SocketAddr, origin: SocketAddr, name: &str, events: u32) {
        match (self.lock().get_mut(&to), &self.transport) {
            (Some(node), _) => node.store_copy(origin, name, events),
            (None, Some(transport)) => transport.send_copy(to, origin, name, events),
            (None, None) => {}
        }
    }

    /// Adds an upstream or replaces the one at its address; `events` is the number of events of
    /// each answer, 0 for a replica of a plain service.
    pub fn insert(&self, upstream: Upstream, events: u32) {
        self.lock().insert(upstream.address, Node::new(upstream, events));
    }

    /// Changes the upstream `id`, if it exists.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Node)) {
        if let Some(node) = self.lock().values_mut().find(|node| node.upstream.id == id) {
            change(node);
        }
    }

    /// Ends an upstream's process; its connections break, or go silent if `silent`.
    pub fn crash(&self, id: &str, silent: bool) {
        self.change(id, |node| node.crash(silent));
    }

    /// Makes an upstream send nothing for `length`, after which it goes on where it was; unless
    /// `accepts`, it accepts no connections meanwhile.
    pub fn fall_silent(&self, id: &str, length: Duration, accepts: bool) {
        let silence = Silence { until: Instant::now() + length, accepts };
        self.change(id, |node| node.silence = Some(silence));
    }

    /// Delivers nothing on the connection of a request for `length` from now on. What its upstream
    /// sends meanwhile is delivered afterwards, also if the upstream has ended by then.
    pub fn delay(&self, request: &str, length: Duration) {
        let mut delays = self.delays.lock().unwrap_or_else(PoisonError::into_inner);
        delays.insert(request.to_owned(), Instant::now() + length);
    }

    /// Time until which the connection of a request delivers nothing, if that is not over.
    pub(crate) fn delayed_until(&self, request: &str) -> Option<Instant> {
        let delays = self.delays.lock().unwrap_or_else(PoisonError::into_inner);
        delays.get(request).copied().filter(|until| Instant::now() < *until)
    }

    /// Waits until the upstream at `address` is not silent.
    pub(crate) async fn end_of_silence(&self, address: SocketAddr) {
        let silent_until = || self.lock().get(&address).and_then(Node::silent_until);
        while let Some(until) = silent_until() {
            sleep_until(until).await;
        }
    }

    /// Lets prompts with `part`, other than as their last one, crash each engine that begins to
    /// answer them.
    pub fn poison_part(&self, part: u64) {
        self.poisons().add_part(part);
    }

    /// Lets requests with the path and body of `request` crash each upstream that begins to answer
    /// them.
    pub fn poison_request(&self, request: &Request) {
        self.poisons().add_request(request);
    }

    /// Returns the receiver of the ids of upstreams that requests crash from now on.
    pub fn watch_poisoned_crashes(&self) -> mpsc::UnboundedReceiver<String> {
        self.poisons().watch()
    }

    /// Returns the times at which requests that crash upstreams reached one.
    pub fn poisoned_arrivals(&self) -> Vec<Instant> {
        self.poisons().arrivals()
    }

    /// Returns the times at which requests crashed upstreams.
    pub fn poisoned_crashes(&self) -> Vec<Instant> {
        self.poisons().crashes()
    }

    /// Breaks the connection of one run; its engine keeps running.
    pub fn reset(&self, request: &str) {
        self.lock().values_mut().for_each(|node| node.end_run(request));
    }

    /// Starts a new process, with the id `new_id`, at the address of the upstream `id`.
    pub fn restart(&self, id: &str, new_id: &str) {
        self.change(id, |node| node.restart(new_id));
    }

    /// Returns the ids of the upstreams in an availability zone.
    pub fn of_zone(&self, zone: &str) -> Vec<String> {
        let nodes = self.lock();
        let of_zone = nodes.values().filter(|node| node.upstream.zone == zone);
        of_zone.map(|node| node.upstream.id.clone()).collect()
    }

    /// Returns the upstreams as a directory would list them.
    pub fn listing(&self) -> Vec<Upstream> {
        self.lock().values().map(|node| node.upstream.clone()).collect()
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.count().clone()
    }

    /// Returns the id of the upstream that runs a request.
    pub fn place_of(&self, request: &str) -> Option<String> {
        let nodes = self.lock();
        let node = nodes.values().find(|node| node.has_run(request));
        node.map(|node| node.upstream.id.clone())
    }

    /// Returns the ids of the upstreams that hold a copy of a request's run.
    pub fn holders_of(&self, request: &str) -> Vec<String> {
        let nodes = self.lock();
        let holders = nodes.values().filter(|node| node.holds_copy(request));
        holders.map(|node| node.upstream.id.clone()).collect()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Node>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn poisons(&self) -> MutexGuard<'_, Poison> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects to an upstream; fails with `Unsent` at once if nothing listens and after
    /// `CONNECT_TIMEOUT` if the upstream is silent.
    async fn connect(&self, address: SocketAddr) -> Result<(), Error> {
        let (listens, silent) = self.lock().get(&address).map_or((false, false), |node| {
            (node.accepts(), node.is_silent() || node.is_up() && !node.accepts())
        });
        sleep(if silent { CONNECT_TIMEOUT } else { ROUND_TRIP }).await;
        if listens { Ok(()) } else { Err(Error::Unsent) }
    }

    /// Tells all entry VMs of this process that `upstream`, or the process at its address if not
    /// `named`, has said in the answer to a question `took` ago that it accepts no new work.
    pub fn announce_departure(&self, upstream: &Upstream, named: bool, took: Duration) {
        let availability = Availability { leaving: true, ..Availability::default() };
        let id = named.then_some(upstream.id.as_str());
        let exchange = upstream::Exchange { address: upstream.address, upstream: id, took };
        let listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.iter().for_each(|l| l.handle_availability(exchange, availability));
    }

    /// Counts a request that reached its upstream and notifies the listeners of all entry VMs of
    /// this process if the upstream is leaving or closed for a while.
    fn notify_availability(&self, call: &Call<'_>) {
        let address = call.upstream.address;
        let availability = {
            let mut nodes = self.lock();
            let Some(node) = nodes.get_mut(&address) else {
                return;
            };
            node.reached += 1;
            let closed_for = match node.fault {
                Some(Fault::Close(pause)) => Some(pause),
                _ => None,
            };
            let limit = node.limit.map_or(Limit::Unlimited, Limit::PerSecond);
            Availability { leaving: node.departing, closed_for, limit: Some(limit) }
        };
        let upstream = Some(call.upstream.id.as_str());
        let exchange = upstream::Exchange { address, upstream, took: Duration::ZERO };
        let listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.iter().for_each(|l| l.handle_availability(exchange, availability));
    }

    /// Ends the process at `address` that a request crashes, if it is up and `runs` the request.
    pub(crate) fn crash_poisoned(&self, address: SocketAddr, runs: impl FnOnce(&Node) -> bool) {
        let crashed = self.lock().get_mut(&address).and_then(|node| {
            let is_running = node.is_up() && runs(node);
            is_running.then(|| {
                node.crash(false);
                node.upstream.id.clone()
            })
        });
        if let Some(id) = crashed {
            self.poisons().record_crash(id);
        }
    }

    /// Answers a request to a replica of a plain service until the replica's process ends.
    async fn call(&self, call: &Call<'_>) -> Result<Response, Error> {
        let Upstream { address, id, .. } = call.upstream;
        let state = self.lock().get(address).map(|node| node.process_state.subscribe());
        let mut state = state.ok_or(Error::Unsent)?;
        if self.poisons().affects(call.request) {
            self.poisons().record_arrival();
            sleep(CALL_CRASH_DELAY).await;
            self.crash_poisoned(*address, |node| node.upstream.id == *id);
            return Err(Error::Broken);
        }
        let answer = tokio::select! {
            biased;
            error = broken(&mut state) => Err(error),
            answer = self.answer(call) => answer,
        };
        if let Some(until) = self.delayed_until(&call.request.id) {
            sleep_until(until).await;
        }
        answer
    }

    /// Answers a request to a replica of a plain service, as its fault demands.
    async fn answer(&self, call: &Call<'_>) -> Result<Response, Error> {
        let fault = self.lock().get(&call.upstream.address).and_then(|node| node.fault);
        let respond = |status, not_run| {
            let body =
                futures::stream::iter([Ok(Bytes::from(format!("done {}", call.request.id)))])
                    .boxed();
            let (headers, memory) = (HeaderMap::new(), Budget::default());
            Response { status, headers, not_run, delimited: true, body, memory }
        };
        match fault {
            Some(Fault::Shed | Fault::Close(_)) => {
                self.count().turned_away += 1;
                Ok(respond(StatusCode::SERVICE_UNAVAILABLE, true))
            }
            Some(Fault::Hang | Fault::Swallow) => std::future::pending().await,
            Some(Fault::LoseAnswer) => {
                self.record_run(&call.request.id);
                sleep(WORK).await;
                Err(Error::Broken)
            }
            Some(Fault::Fail) => {
                self.record_run(&call.request.id);
                sleep(WORK).await;
                Ok(respond(StatusCode::INTERNAL_SERVER_ERROR, false))
            }
            Some(Fault::Slow(times)) => {
                self.record_run(&call.request.id);
                sleep(WORK * times).await;
                Ok(respond(StatusCode::OK, false))
            }
            None => {
                self.record_run(&call.request.id);
                sleep(WORK).await;
                Ok(respond(StatusCode::OK, false))
            }
        }
    }

    pub(crate) fn record_run(&self, request: &str) {
        *self.count().runs.entry(request.to_owned()).or_default() += 1;
    }
}

#[async_trait]
impl Client for Fleet {
    fn set_listener(&self, listener: Arc<dyn Listener>) {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner).push(listener);
    }

    async fn send(&self, call: Call<'_>) -> Result<Response, Error> {
        let address = call.upstream.address;
        self.connect(address).await?;
        let (found, is_engine) = {
            let nodes = self.lock();
            let node = nodes.get(&address).ok_or(Error::Unsent)?;
            (node.upstream.id == call.upstream.id, node.events > 0)
        };
        if !found {
            return Err(Error::Misdirected);
        }
        self.end_of_silence(address).await;
        self.notify_availability(&call);
        if !is_engine {
            return self.call(&call).await;
        }
        Events::begin(self.clone(), &call).await
    }

    async fn check(&self, address: SocketAddr, limit: Duration) -> bool {
        self.count().checks += 1;
        matches!(tokio::time::timeout(limit, self.connect(address)).await, Ok(Ok(())))
    }

    async fn has_ended(&self, address: SocketAddr, limit: Duration) -> bool {
        self.count().checks += 1;
        let is_silent = self.lock().get(&address).is_some_and(Node::is_silent);
        let connected = tokio::time::timeout(limit, self.connect(address)).await;
        !is_silent && matches!(connected, Ok(Err(_)))
    }

    async fn identify(&self, address: SocketAddr, _path: &str, limit: Duration) -> Option<String> {
        tokio::time::timeout(limit, self.connect(address)).await.ok()?.ok()?;
        self.lock().get(&address).map(|node| node.upstream.id.clone())
    }

    async fn accepts_work(&self, upstream: &Upstream, _path: &str, limit: Duration) -> bool {
        self.count().checks += 1;
        let connected = tokio::time::timeout(limit, self.connect(upstream.address)).await;
        let nodes = self.lock();
        let node = nodes.get(&upstream.address).filter(|node| node.upstream.id == upstream.id);
        matches!(connected, Ok(Ok(()))) && node.is_some_and(|node| !node.departing)
    }

    async fn report(&self, address: SocketAddr, limit: Duration) -> Option<Report> {
        self.count().reports += 1;
        let answer = async {
            self.connect(address).await.ok()?;
            self.end_of_silence(address).await;
            self.lock().get(&address).map(Node::report)
        };
        tokio::time::timeout(limit, answer).await.ok()?
    }

    async fn cached_parts(
        &self,
        address: SocketAddr,
        _model: &str,
        limit: Duration,
    ) -> Option<Vec<u64>> {
        self.count().reports += 1;
        tokio::time::timeout(limit, self.connect(address)).await.ok()?.ok()?;
        self.lock().get(&address).map(Node::cached_prompts)
    }

    async fn copy_run(
        &self,
        from: SocketAddr,
        request: &str,
        to: SocketAddr,
        limit: Duration,
    ) -> Option<Copy> {
        tokio::time::timeout(limit, self.connect(from)).await.ok()?.ok()?;
        let events = self.lock().get(&from)?.events_of(request)?;
        let name = format!("copy-{request}");
        self.store_copy(to, from, &name, events);
        Some(Copy { origin: from, name })
    }

    async fn drop_copy(&self, holder: SocketAddr, copy: &Copy, limit: Duration) {
        if let Ok(Ok(())) = tokio::time::timeout(limit, self.connect(holder)).await
            && let Some(node) = self.lock().get_mut(&holder)
        {
            node.drop_copies(&copy.name);
        }
    }
}
