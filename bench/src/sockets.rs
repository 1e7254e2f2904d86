//! A complete system in one process, connected by real sockets on loopback.

use crate::deployment::{self, Deployment};
use crate::load::Target;
use quetzaltiller::adapters::{HttpEngine, HttpService, HttpStore, TcpPeer, serve_peers};
use quetzaltiller::apply::{self, Progress};
use quetzaltiller::caller::{Caller, Http};
use quetzaltiller::config::Config;
use quetzaltiller::daemon::serve_http;
use quetzaltiller::front;
use quetzaltiller::metrics::Metrics;
use quetzaltiller::objects::{Object, Pool, Upstream};
use quetzaltiller::operators::{self, Health, Process};
use quetzaltiller::platform::{Store, Vm};
use quetzaltiller::router::{Ports, Router};
use quetzaltiller::scope::Scope;
use quetzaltiller::steward::Steward;
use salvo::async_trait;
use salvo::server::ServerHandle;
use serde_json::Value;
use standin::engine::{Engine, Settings};
use standin::network::Network;
use standin::platform::Platform;
use standin::serve::{serve_engine, serve_platform, serve_service};
use standin::service::{self, Service};
use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Loopback address with a port that the kernel selects.
const LOOPBACK: &str = "127.0.0.1:0";
/// Availability zones; entry VMs are spread over them in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Maximum number of connections of each HTTP server.
const MAX_CONNECTIONS: usize = 20_000;
/// Maximum time until the first configuration is in force.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Function that changes an engine's settings before it starts.
pub type AdjustEngine<'a> = &'a (dyn Fn(&mut Settings) + Send + Sync);

/// An engine and its HTTP server.
pub struct EngineProcess {
    /// Engine.
    pub engine: Engine,
    /// Address of the server.
    pub address: String,
    server: ServerHandle,
}

impl EngineProcess {
    /// Stops the engine and its server at once: streams are lost, open connections break and new
    /// ones are refused.
    pub fn kill(&self) {
        self.engine.kill();
        self.server.stop_forceful();
    }
}

/// A running system.
pub struct System {
    /// Addresses of the entry VMs for callers.
    pub entries: Vec<String>,
    /// Addresses of the entry VMs for operators.
    pub operators: Vec<String>,
    /// Address of the platform.
    pub platform_address: String,
    /// Engines by upstream name.
    pub engines: BTreeMap<String, EngineProcess>,
    /// Stand-in of the plain service.
    pub service: Service,
    /// Simulated network that calls to upstreams pass, for injecting faults.
    pub network: Network,
    /// Routers of the entry VMs.
    pub routers: Vec<Arc<Router>>,
    /// Deployment that was built.
    pub deployment: Deployment,
    scope: Scope,
}

impl System {
    /// Starts all servers and waits until the configuration is in force. Returns an error if that
    /// takes longer than `START_TIMEOUT`.
    pub async fn start(
        deployment: Deployment,
        entry_vms: usize,
        adjust: AdjustEngine<'_>,
    ) -> Result<Self, Box<dyn Error>> {
        let platform = Platform::new(1);
        let listener = TcpListener::bind(LOOPBACK).await?;
        let mut system = Self {
            entries: Vec::new(),
            operators: Vec::new(),
            platform_address: listener.local_addr()?.to_string(),
            engines: BTreeMap::new(),
            service: Service::new(service::Settings::default(), 1),
            network: Network::new(Duration::ZERO),
            routers: Vec::new(),
            deployment,
            scope: Scope::default(),
        };
        serve_platform(&system.scope, listener, &platform)?;
        let objects = system.start_upstreams(adjust).await?;
        system.start_entry_vms(&platform, entry_vms).await?;
        let store = Arc::new(HttpStore::new(&system.platform_address));
        let metrics = Arc::new(Metrics::new(None));
        system.scope.spawn(Steward::new(store.clone(), metrics).run());
        let present = apply::stored_objects(store.as_ref()).await?;
        let rows = apply::diff(&present, &objects, false);
        let written = apply::write(store.as_ref(), &present, &objects, &rows).await;
        written.map_err(|(id, error)| format!("{id}: {error}"))?;
        system.wait_until_in_force(store.as_ref()).await?;
        Ok(system)
    }

    /// Stops all routers and servers.
    pub fn stop(&self) {
        self.routers.iter().for_each(|router| router.stop());
        self.scope.stop();
    }

    async fn start_upstreams(
        &mut self,
        adjust: AdjustEngine<'_>,
    ) -> Result<Vec<Object>, Box<dyn Error>> {
        let mut objects = self.deployment.objects();
        let pools: Vec<Pool> = objects.iter().filter_map(Object::as_pool).cloned().collect();
        for object in &mut objects {
            let Object::Upstream(upstream) = object else {
                continue;
            };
            let pool = pools.iter().find(|pool| pool.name == upstream.pool);
            let pool = pool.ok_or("an upstream names no pool")?;
            self.start_upstream(upstream, pool, adjust).await?;
        }
        Ok(objects)
    }

    async fn start_upstream(
        &mut self,
        upstream: &mut Upstream,
        pool: &Pool,
        adjust: AdjustEngine<'_>,
    ) -> Result<(), Box<dyn Error>> {
        let listener = TcpListener::bind(LOOPBACK).await?;
        upstream.address = listener.local_addr()?.to_string();
        let name = upstream.name.as_str();
        let (Some(model), Some(version)) = (&pool.model, &pool.version) else {
            serve_service(&self.scope, listener, (name, self.service.clone()), &self.network)?;
            return Ok(());
        };
        let seed = self.engines.len() as u64;
        let mut settings = Settings::new(name, model, version);
        adjust(&mut settings);
        let engine = Engine::start(settings, self.network.clone(), seed);
        let server = serve_engine(&self.scope, listener, (name, engine.clone()), &self.network)?;
        let address = upstream.address.clone();
        self.engines.insert(name.to_owned(), EngineProcess { engine, address, server });
        Ok(())
    }

    async fn start_entry_vms(
        &mut self,
        platform: &Platform,
        entry_vms: usize,
    ) -> Result<(), Box<dyn Error>> {
        let mut vms = Vec::new();
        for index in 0..entry_vms {
            let zone = ZONES[index % ZONES.len()];
            let name = format!("entry-{}", index + 1);
            let callers = TcpListener::bind(LOOPBACK).await?;
            let peers = TcpListener::bind(LOOPBACK).await?;
            let operators = TcpListener::bind(LOOPBACK).await?;
            let mut config = Config::new(&name, zone);
            config.caller_address = callers.local_addr()?.to_string();
            config.peer_address = peers.local_addr()?.to_string();
            config.operator_address = operators.local_addr()?.to_string();
            config.platform_address = self.platform_address.clone();
            self.entries.push(config.caller_address.clone());
            self.operators.push(config.operator_address.clone());
            let address = config.peer_address.clone();
            vms.push(Vm { name, address, entry: true, leaving: false });
            let ports = Ports {
                store: Arc::new(HttpStore::new(&self.platform_address)),
                engines: Arc::new(HttpEngine),
                services: Arc::new(HttpService),
                link: Arc::new(TcpPeer::default()),
            };
            let router = Router::builder(config, ports).start();
            serve_peers(&self.scope, peers, router.clone());
            serve_http(&self.scope, callers, front::routes(&router), MAX_CONNECTIONS)?;
            let process: Arc<dyn Process> = Arc::new(RouterProcess(router.clone()));
            serve_http(&self.scope, operators, operators::routes(&process), MAX_CONNECTIONS)?;
            self.routers.push(router);
        }
        platform.set_vms(vms);
        Ok(())
    }

    async fn wait_until_in_force(&self, store: &dyn Store) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if let Progress::Accepted(number) = apply::progress(store).await?
                && self.is_in_force(number).await
            {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err("the configuration did not come in force".into())
    }

    /// Whether every router has at least configuration `number` and regards all others as alive.
    async fn is_in_force(&self, number: u64) -> bool {
        for router in &self.routers {
            let alive = router.dump().await.members.alive.len();
            if router.number() < number || alive + 1 < self.routers.len() {
                return false;
            }
        }
        true
    }
}

impl Target for System {
    fn deployment(&self) -> Deployment {
        self.deployment
    }

    fn caller(&self, account: &str, index: usize) -> Caller {
        let mut seeds = self.entries.clone();
        seeds.rotate_left(index % self.entries.len());
        Caller::new(Arc::new(Http::new(&deployment::key(account))), seeds)
    }
}

/// A router as seen by the operators' interface.
struct RouterProcess(Arc<Router>);

#[async_trait]
impl Process for RouterProcess {
    async fn dump(&self) -> Value {
        serde_json::to_value(self.0.dump().await).unwrap_or_default()
    }

    fn metrics(&self) -> String {
        self.0.metrics().text()
    }

    fn health(&self) -> Health {
        self.0.health()
    }

    fn leave(&self) {
        let router = self.0.clone();
        tokio::spawn(async move { router.drain().await });
    }
}
