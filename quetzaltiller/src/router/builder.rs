//! Builds a router: creates its components and starts their tasks.

use super::Router;
use super::delegate::{RouterDelegate, poll_vms};
use crate::actions::{AbandonedClaims, Actions};
use crate::catalog::Catalog;
use crate::clock::Clock;
use crate::config::Config;
use crate::dispatch::Dispatch;
use crate::engine;
use crate::keeper::Keeper;
use crate::local_member::LocalMember;
use crate::lookups::Lookups;
use crate::members::{self, Members};
use crate::metrics::Metrics;
use crate::pacer::{self, Pacer};
use crate::peer::Link;
use crate::platform::Store;
use crate::prelude::*;
use crate::registry::Registry;
use crate::reports;
use crate::scope::Scope;
use crate::service;
use coordination::claim::Owner;
use coordination::detector::Bounds;
use coordination::journal::Journal;
use coordination::membership::Heartbeat;
use rand::SeedableRng as _;
use rand_chacha::ChaCha12Rng;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;

/// Number of peer timeouts for which a silent router keeps its share of limits before it is
/// removed.
const RETENTION_TIMEOUTS: u32 = 60;

/// Connections to outside systems.
#[derive(Clone)]
pub struct Ports {
    /// Store of the platform.
    pub store: Arc<dyn Store>,
    /// Client for model engines.
    pub engines: Arc<dyn engine::Client>,
    /// Client for plain services.
    pub services: Arc<dyn service::Client>,
    /// Link to the other entry VMs.
    pub link: Arc<dyn Link>,
}

/// Builds a [`Router`].
///
/// ```no_run
/// # use quetzaltiller::{config::Config, router::{Ports, Router}};
/// # async fn start(ports: Ports) {
/// let config = Config::new("vm-1", "zone-a");
/// let router = Router::builder(config, ports).seed(7).start();
/// println!("{:?}", router.entries(None));
/// # }
/// ```
pub struct Builder {
    config: Config,
    ports: Ports,
    seed: Option<u64>,
    incarnation: u64,
}

impl Builder {
    /// Seeds the random generator, so that identifiers are reproducible.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Sets the number of this start of the process; it has to be higher than at every earlier
    /// start.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Starts the router's tasks.
    pub fn start(self) -> Arc<Router> {
        let rng = match self.seed {
            Some(seed) => ChaCha12Rng::seed_from_u64(seed),
            None => ChaCha12Rng::from_os_rng(),
        };
        Arc::new(Router::new(self.config, self.ports, self.incarnation, rng))
    }
}

impl Router {
    /// Creates a builder with a random seed and incarnation 1.
    pub fn builder(config: Config, ports: Ports) -> Builder {
        Builder { config, ports, seed: None, incarnation: 1 }
    }

    fn new(config: Config, ports: Ports, incarnation: u64, rng: ChaCha12Rng) -> Self {
        let (clock, scope) = (Clock::default(), Scope::default());
        let metrics = Arc::new(Metrics::new(config.metrics_address.as_deref()));
        let local = Arc::new(LocalMember::new(Heartbeat {
            name: config.name.clone(),
            incarnation,
            zone: config.zone.clone(),
            caller_address: config.caller_address.clone(),
            peer_address: config.peer_address.clone(),
            ready: true,
            ..Heartbeat::default()
        }));
        let catalog = Catalog::start(&scope, ports.store.clone(), metrics.clone());
        let dispatch = Dispatch::start(&scope, clock, &config.name);
        let delegate = RouterDelegate {
            catalog: catalog.clone(),
            dispatch: dispatch.clone(),
            link: ports.link.clone(),
            scope: scope.clone(),
            leaving: Mutex::default(),
        };
        let members = Members::start(
            &scope,
            members::Dependencies {
                seeds: config.peers.clone(),
                timing: members::Timing {
                    period: config.timing.heartbeat,
                    timeout: config.timing.peer_timeout,
                    retention: config.timing.peer_timeout * RETENTION_TIMEOUTS,
                    one_sided: false,
                    fan_out: usize::MAX,
                },
                local: local.clone(),
                clock,
                link: ports.link.clone(),
                delegate: Arc::new(delegate),
                metrics: metrics.clone(),
            },
        );
        scope.spawn(poll_vms(ports.store.clone(), metrics.clone(), members.clone()));
        let journal = Journal::new(config.timing.journal_retention, config.limits.journal_bytes);
        let keeper = Keeper::start(&scope, clock, journal);
        let registry = Registry::start(&scope);
        start_reports(&scope, &config, &ports, &catalog, &dispatch);
        let actions = Actions {
            store: ports.store.clone(),
            services: ports.services.clone(),
            link: ports.link.clone(),
            members: members.clone(),
            dispatch: dispatch.clone(),
            abandoned_claims: AbandonedClaims::start(&scope),
            metrics: metrics.clone(),
            scope: scope.clone(),
            owner: Owner { name: config.name.clone(), incarnation },
        };
        let hedge = Bounds { min: config.timing.min_hedge, max: config.timing.max_hedge };
        let lookups = Lookups {
            services: ports.services.clone(),
            dispatch: dispatch.clone(),
            pacer: Pacer::start(&scope, pacer::Settings::hedging(hedge)),
            metrics: metrics.clone(),
        };
        let (closed, rng) = (AtomicBool::new(false), Mutex::new(rng));
        info!("router_started", kv: {
            name = config.name, zone = config.zone, incarnation,
            caller_address = config.caller_address, peer_address = config.peer_address,
            operator_address = config.operator_address
        });
        Self {
            config,
            ports,
            clock,
            scope,
            local,
            catalog,
            dispatch,
            members,
            keeper,
            registry,
            actions,
            lookups,
            metrics,
            closed,
            rng,
        }
    }
}

fn start_reports(
    scope: &Scope,
    config: &Config,
    ports: &Ports,
    catalog: &Catalog,
    dispatch: &Dispatch,
) {
    let dependencies = reports::Dependencies {
        engines: ports.engines.clone(),
        catalog: catalog.clone(),
        dispatch: dispatch.clone(),
        period: config.timing.report,
    };
    reports::start(scope, dependencies);
}
