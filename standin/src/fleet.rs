//! Upstreams that forwarded requests go to, in process on tokio's clock.
//!
//! An engine reads prompts one after the other, then sends numbered events; each of its runs slows
//! the others a little, a prompt being read slows them much. It drops a run with its connection,
//! copies a run's memory to the backup that the request names, and has no memory of a run before
//! its first event. A replica answers after a fixed time. Both may crash, go dark, fail or stall.

mod node;
mod stream;

pub use node::{Fault, Node};

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt as _;
use hyper::{HeaderMap, StatusCode};
use quetzaltiller::fleet::Upstream;
use quetzaltiller::upstream::{
    Availability, Call, Client, Copy, Error, Listener, Report, Response,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stream::Events;
use tokio::time::sleep;

/// Round trip to an upstream.
const ROUND_TRIP: Duration = Duration::from_millis(3);
/// Time after which a connection to a dark upstream is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// Time that a replica of a plain service works.
const WORK: Duration = Duration::from_millis(30);

/// Brings copies of runs to upstreams of other processes.
pub trait Carrier: Send + Sync {
    /// Brings a copy with so many events to the engine at `to`.
    fn carry(&self, to: SocketAddr, origin: SocketAddr, name: &str, events: u32);
}

/// All upstreams of this process; clones are the same.
#[derive(Clone, Default)]
pub struct Fleet {
    nodes: Arc<Mutex<BTreeMap<SocketAddr, Node>>>,
    counts: Arc<Mutex<Counts>>,
    carrier: Option<Arc<dyn Carrier>>,
    listeners: Arc<Mutex<Vec<Arc<dyn Listener>>>>,
}

/// What happened.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Runs begun, by request.
    pub runs: BTreeMap<String, u32>,
    /// Most runs of one request at work at once.
    pub at_once: u32,
    /// Prompt tokens read.
    pub prefilled: u64,
    /// Requests that were turned away.
    pub turned_away: u32,
    /// Reports asked for.
    pub reports: u32,
    /// Connections made only to see whether an upstream lives.
    pub checks: u32,
}

impl Fleet {
    /// Upstreams of one process among others.
    pub fn carried_by(carrier: Arc<dyn Carrier>) -> Self {
        Self { carrier: Some(carrier), ..Self::default() }
    }

    /// Stores a copy at the engine at `to`, here or in another process.
    pub fn store_copy(&self, to: SocketAddr, origin: SocketAddr, name: &str, events: u32) {
        match (self.lock().get_mut(&to), &self.carrier) {
            (Some(node), _) => node.store(origin, name, events),
            (None, Some(carrier)) => carrier.carry(to, origin, name, events),
            (None, None) => {}
        }
    }

    /// Adds an upstream, or replaces the one at its address.
    pub fn insert(&self, upstream: Upstream, events: u32) {
        self.lock().insert(upstream.address, Node::new(upstream, events));
    }

    /// Changes one upstream.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Node)) {
        if let Some(node) = self.lock().values_mut().find(|node| node.upstream.id == id) {
            change(node);
        }
    }

    /// Ends an upstream's process; `dark` leaves its connections silent.
    pub fn crash(&self, id: &str, dark: bool) {
        self.change(id, |node| node.crash(dark));
    }

    /// Breaks the connection of one run; its engine goes on.
    pub fn reset(&self, request: &str) {
        self.lock().values_mut().for_each(|node| node.end(request));
    }

    /// Starts another process where one was.
    pub fn restart(&self, id: &str, new_id: &str) {
        self.change(id, |node| node.restart(new_id));
    }

    /// Ids of the upstreams of a zone.
    pub fn of_zone(&self, zone: &str) -> Vec<String> {
        let nodes = self.lock();
        let of_zone = nodes.values().filter(|node| node.upstream.zone == zone);
        of_zone.map(|node| node.upstream.id.clone()).collect()
    }

    /// Upstreams as a directory would list them.
    pub fn listing(&self) -> Vec<Upstream> {
        self.lock().values().map(|node| node.upstream.clone()).collect()
    }

    /// What happened so far.
    pub fn counts(&self) -> Counts {
        self.count().clone()
    }

    /// Upstream at which a request runs.
    pub fn place_of(&self, request: &str) -> Option<String> {
        let nodes = self.lock();
        let node = nodes.values().find(|node| node.has_run(request));
        node.map(|node| node.upstream.id.clone())
    }

    /// Upstreams that hold a copy of a request's run.
    pub fn holders_of(&self, request: &str) -> Vec<String> {
        let nodes = self.lock();
        let holders = nodes.values().filter(|node| node.holds_copy(request));
        holders.map(|node| node.upstream.id.clone()).collect()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Node>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects: refused where nothing listens, given up where nothing answers.
    async fn connect(&self, address: SocketAddr) -> Result<(), Error> {
        let (listens, dark) =
            self.lock().get(&address).map_or((false, false), |node| (node.is_up(), node.is_dark()));
        sleep(if dark { CONNECT_TIMEOUT } else { ROUND_TRIP }).await;
        if listens { Ok(()) } else { Err(Error::Unsent) }
    }

    /// Tells all entry VMs of this process what an upstream says of itself.
    fn tell_standing(&self, call: &Call<'_>) {
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
            Availability { leaving: node.departing, closed_for }
        };
        if availability != Availability::default() {
            let listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
            listeners.iter().for_each(|l| {
                l.handle_availability(address, Some(&call.upstream.id), availability)
            });
        }
    }

    async fn answer(&self, call: &Call<'_>) -> Result<Response, Error> {
        let fault = self.lock().get(&call.upstream.address).and_then(|node| node.fault);
        let respond = |status, not_run| {
            let body =
                futures::stream::iter([Ok(Bytes::from(format!("done {}", call.request.id)))])
                    .boxed();
            Response { status, headers: HeaderMap::new(), not_run, body }
        };
        match fault {
            Some(Fault::Shed | Fault::Close(_)) => {
                self.count().turned_away += 1;
                Ok(respond(StatusCode::SERVICE_UNAVAILABLE, true))
            }
            Some(Fault::Hang | Fault::Swallow) => std::future::pending().await,
            Some(Fault::LoseAnswer) => {
                self.note_run(&call.request.id);
                sleep(WORK).await;
                Err(Error::Broken)
            }
            Some(Fault::Fail) => {
                self.note_run(&call.request.id);
                sleep(WORK).await;
                Ok(respond(StatusCode::INTERNAL_SERVER_ERROR, false))
            }
            Some(Fault::Slow(times)) => {
                self.note_run(&call.request.id);
                sleep(WORK * times).await;
                Ok(respond(StatusCode::OK, false))
            }
            None => {
                self.note_run(&call.request.id);
                sleep(WORK).await;
                Ok(respond(StatusCode::OK, false))
            }
        }
    }

    pub(crate) fn note_run(&self, request: &str) {
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
        self.tell_standing(&call);
        if !is_engine {
            return self.answer(&call).await;
        }
        Events::begin(self.clone(), &call).await
    }

    async fn check(&self, address: SocketAddr, limit: Duration) -> bool {
        self.count().checks += 1;
        matches!(tokio::time::timeout(limit, self.connect(address)).await, Ok(Ok(())))
    }

    async fn identify(&self, address: SocketAddr, _path: &str, limit: Duration) -> Option<String> {
        tokio::time::timeout(limit, self.connect(address)).await.ok()?.ok()?;
        self.lock().get(&address).map(|node| node.upstream.id.clone())
    }

    async fn report(&self, address: SocketAddr, limit: Duration) -> Option<Report> {
        self.count().reports += 1;
        tokio::time::timeout(limit, self.connect(address)).await.ok()?.ok()?;
        self.lock().get(&address).map(Node::report)
    }

    async fn cached_parts(
        &self,
        address: SocketAddr,
        _model: &str,
        limit: Duration,
    ) -> Option<Vec<u64>> {
        self.count().reports += 1;
        tokio::time::timeout(limit, self.connect(address)).await.ok()?.ok()?;
        self.lock().get(&address).map(Node::kept_prompts)
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
            node.free(&copy.name);
        }
    }
}
