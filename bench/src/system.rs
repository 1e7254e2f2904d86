//! A system in process: routers and a steward over stand-ins, joined by a network.

mod hub;

pub use hub::{Cut, Hub};

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

/// Entry VMs.
pub const ENTRY_VMS: usize = 4;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const LATENCY: Duration = Duration::from_millis(1);
const START_LIMIT: Duration = Duration::from_secs(30);

/// An upstream and where it stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// Name.
    pub name: String,
    /// Address, which is its party on the network.
    pub address: String,
    /// Availability zone.
    pub zone: String,
}

/// Adjusts settings of a system before it starts.
#[derive(Clone, Default)]
pub struct Tuning {
    /// Weight of a second's wait in all pools, if not the configured one.
    pub resume_weight: Option<f64>,
    /// Slots of each engine, if not the configured ones.
    pub slots: Option<u32>,
    /// Engines kept.
    pub engines: Option<usize>,
    /// Changes each entry VM's settings.
    pub config: Option<Change>,
}

/// A change of an entry VM's settings.
pub type Change = Arc<dyn Fn(&mut Config) + Send + Sync>;

/// The running system.
pub struct System {
    /// Deployment.
    pub deployment: Deployment,
    /// What every call passes.
    pub network: Network,
    /// Platform.
    pub platform: Platform,
    /// Engines by address.
    pub engines: Arc<BTreeMap<String, Engine>>,
    /// Where the engines stand.
    pub places: Vec<Place>,
    /// Records of the plain service.
    pub service: Service,
    /// Where its replicas stand.
    pub replicas: Vec<Place>,
    /// Entry VMs by address.
    pub hub: Hub,
    /// Objects applied at the start.
    pub objects: Vec<Object>,
    services: Arc<BTreeMap<String, Service>>,
    incarnations: Mutex<BTreeMap<String, u64>>,
    tuning: Tuning,
    scope: Scope,
    seed: u64,
    retired: Mutex<BTreeMap<&'static str, u64>>,
}

impl System {
    /// Starts a system on tokio's clock and waits until its configuration is in force.
    pub async fn start(deployment: Deployment, seed: u64, tuning: Tuning) -> Arc<Self> {
        let network = Network::new(LATENCY);
        let mut objects = deployment.objects();
        tune(&mut objects, &tuning);
        let mut engines = BTreeMap::new();
        let (mut places, mut replicas) = (Vec::new(), Vec::new());
        let service = Service::new(service::Settings::default(), seed);
        let mut services = BTreeMap::new();
        for (index, (upstream, pool)) in deployment::upstreams(&objects).into_iter().enumerate() {
            let place = Place {
                name: upstream.name.clone(),
                address: upstream.address.clone(),
                zone: upstream.zone.clone(),
            };
            if let (Some(model), Some(version)) = (&pool.model, &pool.version) {
                let mut settings = Settings::new(&upstream.address, model, version);
                settings.max_batch = upstream.slots as usize;
                let engine = Engine::start(settings, network.clone(), seed * 1_000 + index as u64);
                engines.insert(upstream.address.clone(), engine);
                places.push(place);
            } else {
                services.insert(upstream.address.clone(), service.clone());
                replicas.push(place);
            }
        }
        let system = Arc::new(Self {
            deployment,
            platform: Platform::new(seed),
            engines: Arc::new(engines),
            places,
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
            retired: Mutex::new(BTreeMap::new()),
        });
        system.start_control().await;
        system
    }

    async fn start_control(&self) {
        for index in 0..ENTRY_VMS {
            self.start_router(&entry_name(index));
        }
        self.list_vms(None);
        let store = Arc::new(Access::new(self.platform.clone(), self.network.clone(), "steward"));
        self.scope.spawn(Steward::new(store, Arc::new(Metrics::new(None))).run());
        self.apply(&self.objects).await;
        let waited = tokio::time::timeout(START_LIMIT, self.wait_in_force()).await;
        assert!(waited.is_ok(), "the configuration does not come in force");
    }

    /// Writes objects as an operator does.
    pub async fn apply(&self, objects: &[Object]) {
        let present = apply::stored_objects(&self.platform).await.unwrap_or_default();
        let rows = apply::diff(&present, objects, false);
        let _ = apply::write(&self.platform, &present, objects, &rows).await;
    }

    /// Waits until what is stored is accepted and in force on every entry VM that lives.
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

    /// Starts an entry VM's router, as a new incarnation when it ran before.
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

    /// Ends an entry VM's router at once.
    pub fn kill_router(&self, name: &str) {
        self.network.set_dead(name, true);
        self.retire(name);
    }

    /// Stops or continues an entry VM's process; messages to and from it wait meanwhile.
    pub fn freeze_router(&self, name: &str, frozen: bool) {
        self.network.set_frozen(name, frozen);
        if let Some(router) = self.hub.get(name) {
            router.scope().set_frozen(frozen);
        }
    }

    /// Takes a router that has left off the air.
    pub fn retire(&self, name: &str) {
        if let Some(router) = self.hub.remove(name) {
            let mut retired = self.retired.lock().unwrap_or_else(PoisonError::into_inner);
            for (counter, value) in router.metrics().snapshot().counters() {
                *retired.entry(counter).or_default() += value;
            }
            router.stop();
        }
    }

    /// Sum of a counter over all routers, past ones included.
    pub fn count(&self, counter: Counter) -> u64 {
        let routers = self.hub.routers();
        let retired = self.retired.lock().unwrap_or_else(PoisonError::into_inner);
        let past = retired.get(counter.name()).copied().unwrap_or_default();
        past + routers.iter().map(|router| router.metrics().value(counter)).sum::<u64>()
    }

    /// Lists all VMs at the platform, one of them as leaving.
    pub fn list_vms(&self, leaving: Option<&str>) {
        let entry = (0..ENTRY_VMS).map(|index| (entry_name(index), entry_name(index), true));
        let engines = self.places.iter().map(|p| (p.name.clone(), p.address.clone(), false));
        let vms = entry.chain(engines).map(|(name, address, entry)| Vm {
            leaving: leaving == Some(name.as_str()),
            name,
            address,
            entry,
        });
        self.platform.set_vms(vms.collect());
    }

    /// Engine work so far.
    pub fn work(&self) -> Work {
        let mut sum = Work::default();
        for work in self.engines.values().map(Engine::work) {
            sum.prefilled += work.prefilled;
            sum.cached += work.cached;
            sum.decoded += work.decoded;
            sum.resumed += work.resumed;
        }
        sum
    }

    /// Addresses of a zone's upstreams.
    pub fn in_zone(&self, zone: &str) -> Vec<String> {
        let places = self.places.iter().chain(&self.replicas);
        places.filter(|place| place.zone == zone).map(|place| place.address.clone()).collect()
    }

    /// Names of the entry VMs of a zone.
    pub fn entries_in_zone(&self, zone: &str) -> Vec<String> {
        let in_zone = |index: &usize| ZONES[index % ZONES.len()] == zone;
        (0..ENTRY_VMS).filter(in_zone).map(entry_name).collect()
    }

    /// Stops everything.
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

/// Name and address of an entry VM.
pub fn entry_name(index: usize) -> String {
    format!("entry-{index}")
}

fn tune(objects: &mut Vec<Object>, tuning: &Tuning) {
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
            tuning.engines.is_none_or(|kept| engines <= kept)
        }
        _ => true,
    });
}
