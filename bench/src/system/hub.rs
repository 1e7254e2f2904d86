//! In-process connections between callers and entry VMs and among entry VMs. Every message passes
//! through the simulated network, which may delay or lose it.

use async_trait::async_trait;
use prost::Message as _;
use quetzaltiller::caller::{Failure, Frame, Frames, Transport};
use quetzaltiller::generation::{EventId, Position, Request};
use quetzaltiller::objects::Labels;
use quetzaltiller::peer::{Error, Handler as _, Link};
use quetzaltiller::refusal::Refusal;
use quetzaltiller::router::{Caller as Client, Entries, Router};
use quetzaltiller::service::{Answer, Call};
use quetzaltiller::session::Subscription;
use quetzaltiller::wire::{Ask, Reply, Request as Question, Response};
use standin::network::Network;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Network party of all callers.
const CALLER: &str = "caller";
/// Interval of keep-alive frames on an idle stream.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(250);
/// Time limit of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames buffered for a caller that reads slowly.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// A stream that an entry VM ended without its last event.
#[derive(Clone, Debug)]
pub struct CutStream {
    /// Name of the entry VM.
    pub entry: String,
    /// Time of the cut.
    pub at: Instant,
}

#[derive(Default)]
struct State {
    routers: BTreeMap<String, Arc<Router>>,
    cuts: Vec<CutStream>,
    peer_bytes: u64,
}

/// Running entry VMs by address, and the connections to them.
#[derive(Clone)]
pub struct Hub {
    state: Arc<Mutex<State>>,
    network: Network,
}

impl Hub {
    /// A hub without entry VMs.
    pub fn new(network: Network) -> Self {
        Self { state: Arc::default(), network }
    }

    /// Adds or replaces an entry VM.
    pub fn insert(&self, name: &str, router: Arc<Router>) {
        self.lock().routers.insert(name.to_owned(), router);
    }

    /// Removes an entry VM and returns its router.
    pub fn remove(&self, name: &str) -> Option<Arc<Router>> {
        self.lock().routers.remove(name)
    }

    /// Router of the entry VM `name`.
    pub fn get(&self, name: &str) -> Option<Arc<Router>> {
        self.lock().routers.get(name).cloned()
    }

    /// Routers of all entry VMs.
    pub fn routers(&self) -> Vec<Arc<Router>> {
        self.lock().routers.values().cloned().collect()
    }

    /// Streams that ended without their last event.
    pub fn cuts(&self) -> Vec<CutStream> {
        self.lock().cuts.clone()
    }

    /// Bytes that entry VMs sent to each other.
    pub fn peer_bytes(&self) -> u64 {
        self.lock().peer_bytes
    }

    /// Delivers a message from a caller to an entry VM and returns its router.
    async fn connect(&self, entry: &str) -> Result<Arc<Router>, Failure> {
        self.network.deliver(CALLER, entry).await.map_err(|_| Failure::Unreachable)?;
        self.get(entry).ok_or(Failure::Unreachable)
    }

    /// Delivers the result of a call from an entry VM to the caller.
    async fn deliver_result<T>(
        &self,
        entry: &str,
        result: Result<T, Refusal>,
    ) -> Result<T, Failure> {
        self.network.deliver(entry, CALLER).await.map_err(|_| Failure::Broken)?;
        result.map_err(Failure::Refused)
    }

    /// Forwards the events of a subscription to a caller until either side closes. Records a cut if
    /// the entry VM closes it without a last event.
    async fn forward_events(
        self,
        entry: String,
        mut subscription: Subscription,
        to: mpsc::Sender<Frame>,
    ) {
        let mut position = Position::new(subscription.generation);
        loop {
            let frame = match timeout(KEEP_ALIVE_PERIOD, subscription.events.recv()).await {
                Err(_) => Frame::KeepAlive,
                Ok(Some(event)) => Frame::Event(position.after(&event), event),
                Ok(None) => break,
            };
            let last = matches!(&frame, Frame::Event(_, event) if event.is_last());
            if self.network.deliver(&entry, CALLER).await.is_err() || to.send(frame).await.is_err()
            {
                return;
            }
            if last {
                return;
            }
        }
        self.lock().cuts.push(CutStream { entry, at: Instant::now() });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Running entry VMs by address, and the connections to them.
pub struct HubTransport {
    hub: Hub,
    key: String,
}

impl HubTransport {
    /// A transport that authenticates with `key`.
    pub fn new(hub: Hub, key: &str) -> Self {
        Self { hub, key: key.to_owned() }
    }

    fn client(&self, router: &Router) -> Result<Client, Refusal> {
        let account = router.authenticate(&self.key)?;
        Ok(Client { account, labels: Labels::new(), patience: None })
    }
}

#[async_trait]
impl Transport for HubTransport {
    async fn entries(&self, entry: &str) -> Result<Entries, Failure> {
        let entries = self.hub.connect(entry).await?.entries(None);
        self.hub.deliver_result(entry, Ok(entries)).await
    }

    async fn generate(
        &self,
        entry: &str,
        request: &Request,
        last: Option<&EventId>,
    ) -> Result<Frames, Failure> {
        let router = self.hub.connect(entry).await?;
        let started = match self.client(&router) {
            Ok(client) => router.generate(&client, request.clone(), last.cloned()).await,
            Err(refusal) => Err(refusal),
        };
        let subscription = self.hub.deliver_result(entry, started).await?;
        let (sender, frames) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        tokio::spawn(self.hub.clone().forward_events(entry.to_owned(), subscription, sender));
        Ok(frames)
    }

    async fn call(&self, entry: &str, service: &str, call: &Call) -> Result<Answer, Failure> {
        let router = self.hub.connect(entry).await?;
        let result = match self.client(&router) {
            Ok(client) => router.call(&client, service, call.clone()).await,
            Err(refusal) => Err(refusal),
        };
        self.hub.deliver_result(entry, result).await
    }
}

/// Running entry VMs by address, and the connections to them.
pub struct HubLink {
    hub: Hub,
    name: String,
}

impl HubLink {
    /// The link of the entry VM `name`.
    pub fn new(hub: Hub, name: &str) -> Self {
        Self { hub, name: name.to_owned() }
    }

    async fn exchange(&self, address: &str, ask: Ask) -> Result<Reply, Error> {
        let question = Question { sequence: 0, ask: Some(ask.clone()) };
        self.hub.lock().peer_bytes += question.encoded_len() as u64;
        let network = &self.hub.network;
        network.deliver(&self.name, address).await.map_err(|_| Error::Unreachable)?;
        let router = self.hub.get(address).ok_or(Error::Unreachable)?;
        let reply = router.answer(ask).await;
        let response = Response { sequence: 0, reply: Some(reply.clone()) };
        self.hub.lock().peer_bytes += response.encoded_len() as u64;
        network.deliver(address, &self.name).await.map_err(|_| Error::Unreachable)?;
        Ok(reply)
    }
}

#[async_trait]
impl Link for HubLink {
    async fn call(&self, address: &str, ask: Ask) -> Result<Reply, Error> {
        let exchange = self.exchange(address, ask);
        timeout(PEER_TIMEOUT, exchange).await.map_err(|_| Error::Timeout)?
    }
}
