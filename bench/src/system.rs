//! A complete system in one process: routers and a steward on stand-ins of the engines, the plain
//! service and the platform, connected by a simulated network.

mod hub;

pub use hub::{CutStream, Hub};

use crate::deployment::{self, Deployment};
use crate::load::Target;
use hub::{HubLink, HubTransport};
use quetzaltiller::apply;
use quetzaltiller::caller::Caller;
use quetzaltiller::config::Config;
use quetzaltiller::metrics::{Counter, Metrics};
use quetzaltiller::objects::Object;
use quetzaltiller::platform::Vm;
use quetzaltiller::router::{Ports, Router};
use quetzaltiller::scope::Scope;
use quetzaltiller::steward::Steward;
use standin::engine::{Engine, Fleet, Settings, Work};
use standin::network::Network;
use standin::platform::{Access, Platform};
use standin::service::{self, Replicas, Service};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Number of entry VMs.
pub const ENTRY_VMS: usize = 4;
/// Availability zones; entry VMs are spread over them in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// One-way latency of the simulated network.
const ONE_WAY_LATENCY: Duration = Duration::from_millis(1);
/// Maximum time until the first configuration is in force.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Address and availability zone of an upstream.
#[derive(Clone, Debug)]
pub struct Location {
    /// Name of the upstream.
    pub name: String,
    /// Address, which is also the name of its party on the network.
    pub address: String,
    /// Availability zone.
    pub zone: String,
}

/// Overrides of the deployment's settings.
#[derive(Clone, Default)]
pub struct Tuning {
    /// Resume weight of all pools, in engine seconds for each second of waiting; `None` keeps the
    /// configured ones.
    pub resume_weight: Option<f64>,
    /// Slots of each engine; `None` keeps the configured ones.
    pub slots: Option<u32>,
    /// Number of engines kept, from the first; `None` keeps all.
    pub max_engines: Option<usize>,
    /// Function that changes the settings of each entry VM.
    pub config: Option<ConfigChange>,
}

/// Function that changes the settings of an entry VM.
pub type ConfigChange = Arc<dyn Fn(&mut Config) + Send + Sync>;

/// A running system.
pub struct System {
    /// Deployment that was built.
    pub deployment: Deployment,
    /// Simulated network that carries every call.
    pub network: Network,
    /// Stand-in of the platform.
    pub platform: Platform,
    /// Engines by address.
    pub engines: Arc<BTreeMap<String, Engine>>,
    /// Locations of the engines.
    pub engine_locations: Vec<Location>,
    /// Stand-in of the plain service, shared by its replicas.
    pub service: Service,
    /// Locations of the replicas of the plain service.
    pub replicas: Vec<Location>,
    /// Running entry VMs and the connections to them.
    pub hub: Hub,
    /// Configuration objects applied at the start.
    pub objects: Vec<Object>,
    services: Arc<BTreeMap<String, Service>>,
    incarnations: Mutex<BTreeMap<String, u64>>,
    tuning: Tuning,
    scope: Scope,
    seed: u64,
    retired_counters: Mutex<BTreeMap<&'static str, u64>>,
}

impl System {
    /// Starts a system on tokio's clock and waits until its configuration is in force. Panics if
    /// that takes longer than `START_LIMIT`.
    pub async fn start(deployment: Deployment, seed: u64, tuning: Tuning) -> Arc<Self> {
        let network = Network::new(ONE_WAY_LATENCY);
        let mut objects = deployment.objects();
        apply_tuning(&mut objects, &tuning);
        let mut engines = BTreeMap::new();
        let (mut engine_locations, mut replicas) = (Vec::new(), Vec::new());
        let service = Service::new(service::Settings::default(), seed);
        let mut services = BTreeMap::new();
        for (index, (upstream, pool)) in deployment::upstreams(&objects).into_iter().enumerate() {
            let location = Location {
                name: upstream.name.clone(),
                address: upstream.address.clone(),
                zone: upstream.zone.clone(),
            };
            if let (Some(model), Some(version)) = (&pool.model, &pool.version) {
                let mut settings = Settings::new(&upstream.address, model, version);
                settings.max_batch = upstream.slots as usize;
                let engine = Engine::start(settings, network.clone(), seed * 1_000 + index as u64);
                engines.insert(upstream.address.clone(), engine);
                engine_locations.push(location);
            } else {
                services.insert(upstream.address.clone(), service.clone());
                replicas.push(location);
            }
        }
        let system = Arc::new(Self {
            deployment,
            platform: Platform::new(seed),
            engines: Arc::new(engines),
            engine_locations,
            service,
            replicas,
            hub: Hub::new(network.clone()),
            network,
            objects,
            services: Arc::new(services),
            incarnations: Mutex::new(BTreeMap::new()),
            tuning,
            scope: Scope::default(),
            seed,
            retired_counters: Mutex::new(BTreeMap::new()),
        });
        system.start_routers_and_steward().await;
        system
    }

    async fn start_routers_and_steward(&self) {
        for index in 0..ENTRY_VMS {
            self.start_router(&entry_name(index));
        }
        self.publish_vms(None);
        let store = Arc::new(Access::new(self.platform.clone(), self.network.clone(), "steward"));
        self.scope.spawn(Steward::new(store, Arc::new(Metrics::new(None))).run());
        self.apply(&self.objects).await;
        let waited = tokio::time::timeout(START_LIMIT, self.wait_in_force()).await;
        assert!(waited.is_ok(), "the configuration does not come in force");
    }

    /// Writes configuration objects to the platform, as an operator does. Errors of the platform
    /// are ignored.
    pub async fn apply(&self, objects: &[Object]) {
        let present = apply::stored_objects(&self.platform).await.unwrap_or_default();
        let rows = apply::diff(&present, objects, false);
        let _ = apply::write(&self.platform, &present, objects, &rows).await;
    }

    /// Waits until the stored configuration is accepted and in force on every running entry VM;
    /// returns its number.
    pub async fn wait_in_force(&self) -> u64 {
        loop {
            if let Ok(apply::Progress::Accepted(number)) = apply::progress(&self.platform).await
                && self.hub.routers().iter().all(|router| router.number() >= number)
            {
                return number;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Starts an entry VM's router, each time with a higher incarnation.
    pub fn start_router(&self, name: &str) -> Arc<Router> {
        let index: usize = name.trim_start_matches("entry-").parse().unwrap_or_default();
        let mut config = Config::new(name, ZONES[index % ZONES.len()]);
        config.caller_address = name.to_owned();
        config.peer_address = name.to_owned();
        config.peers = (0..ENTRY_VMS).map(entry_name).filter(|peer| peer != name).collect();
        if let Some(change) = &self.tuning.config {
            change(&mut config);
        }
        let incarnation = self.next_incarnation(name);
        let ports = Ports {
            store: Arc::new(Access::new(self.platform.clone(), self.network.clone(), name)),
            engines: Arc::new(Fleet::new(self.engines.clone(), self.network.clone(), name)),
            services: Arc::new(Replicas::new(self.services.clone(), self.network.clone(), name)),
            link: Arc::new(HubLink::new(self.hub.clone(), name)),
        };
        self.network.set_dead(name, false);
        let seed = self.seed * 100 + index as u64 + incarnation * 10;
        let router = Router::builder(config, ports).seed(seed).incarnation(incarnation).start();
        self.hub.insert(name, router.clone());
        router
    }

    /// Kills an entry VM's router without a drain.
    pub fn kill_router(&self, name: &str) {
        self.network.set_dead(name, true);
        self.retire(name);
    }

    /// Pauses or continues an entry VM's process; messages to and from it are held back while it is
    /// paused.
    pub fn freeze_router(&self, name: &str, frozen: bool) {
        self.network.set_frozen(name, frozen);
        if let Some(router) = self.hub.get(name) {
            router.scope().set_frozen(frozen);
        }
    }

    /// Removes a router from the hub, adds its counters to those of retired routers and stops it.
    pub fn retire(&self, name: &str) {
        if let Some(router) = self.hub.remove(name) {
            let mut retired_counters =
                self.retired_counters.lock().unwrap_or_else(PoisonError::into_inner);
            for (counter, value) in router.metrics().snapshot().counters() {
                *retired_counters.entry(counter).or_default() += value;
            }
            router.stop();
        }
    }

    /// Sum of a counter over all routers, including retired ones.
    pub fn count(&self, counter: Counter) -> u64 {
        let routers = self.hub.routers();
        let retired_counters = self.retired_counters.lock().unwrap_or_else(PoisonError::into_inner);
        let from_retired = retired_counters.get(counter.name()).copied().unwrap_or_default();
        from_retired + routers.iter().map(|router| router.metrics().value(counter)).sum::<u64>()
    }

    /// Sets the platform's list of all VMs; `leaving` names the one that is listed as leaving.
    pub fn publish_vms(&self, leaving: Option<&str>) {
        let entry = (0..ENTRY_VMS).map(|index| (entry_name(index), entry_name(index), true));
        let engines =
            self.engine_locations.iter().map(|p| (p.name.clone(), p.address.clone(), false));
        let vms = entry.chain(engines).map(|(name, address, entry)| Vm {
            leaving: leaving == Some(name.as_str()),
            name,
            address,
            entry,
        });
        self.platform.set_vms(vms.collect());
    }

    /// Total work of all engines so far, in tokens.
    pub fn work(&self) -> Work {
        let mut total = Work::default();
        for work in self.engines.values().map(Engine::work) {
            total.prefilled += work.prefilled;
            total.cached += work.cached;
            total.decoded += work.decoded;
            total.resumed += work.resumed;
        }
        total
    }

    /// Addresses of the upstreams in a zone.
    pub fn upstreams_in_zone(&self, zone: &str) -> Vec<String> {
        let locations = self.engine_locations.iter().chain(&self.replicas);
        locations
            .filter(|location| location.zone == zone)
            .map(|location| location.address.clone())
            .collect()
    }

    /// Names of the entry VMs in a zone.
    pub fn entries_in_zone(&self, zone: &str) -> Vec<String> {
        let is_in_zone = |index: &usize| ZONES[index % ZONES.len()] == zone;
        (0..ENTRY_VMS).filter(is_in_zone).map(entry_name).collect()
    }

    /// Stops all routers and the steward.
    pub fn stop(&self) {
        self.scope.stop();
        self.hub.routers().iter().for_each(|router| router.stop());
    }

    fn next_incarnation(&self, name: &str) -> u64 {
        let mut incarnations = self.incarnations.lock().unwrap_or_else(PoisonError::into_inner);
        let incarnation = incarnations.entry(name.to_owned()).or_default();
        *incarnation += 1;
        *incarnation
    }
}

impl Target for System {
    fn deployment(&self) -> Deployment {
        self.deployment
    }

    fn caller(&self, account: &str, index: usize) -> Caller {
        let transport = HubTransport::new(self.hub.clone(), &deployment::key(account));
        let seeds = (0..ENTRY_VMS).map(|turn| entry_name((index + turn) % ENTRY_VMS)).collect();
        Caller::new(Arc::new(transport), seeds)
    }
}

/// Name of an entry VM, which is also its address.
pub fn entry_name(index: usize) -> String {
    format!("entry-{index}")
}

fn apply_tuning(objects: &mut Vec<Object>, tuning: &Tuning) {
    let pools: Vec<_> = objects.iter().filter_map(Object::as_pool).cloned().collect();
    let serves_model = |name: &str| pools.iter().any(|p| p.name == name && p.model.is_some());
    let mut engines = 0;
    objects.retain_mut(|object| match object {
        Object::Pool(pool) => {
            pool.resume_weight = tuning.resume_weight.unwrap_or(pool.resume_weight);
            true
        }
        Object::Upstream(upstream) if serves_model(&upstream.pool) => {
            upstream.slots = tuning.slots.unwrap_or(upstream.slots);
            engines += 1;
            tuning.max_engines.is_none_or(|max| engines <= max)
        }
        _ => true,
    });
}
