//! An entry VM that forwards requests: the controller.
//!
//! It follows the store, keeps in touch with the other entry VMs, forwards callers' requests and
//! leaves without cutting any.

mod config;
mod delegate;
mod dump;
mod lag;
mod neighbours;
mod parts;
mod pull;
mod registrar;
mod startup;

pub use config::{Config, Tunables};
pub use dump::Dump;
pub use lag::Lag;

use crate::control::Store;
use crate::drain::{Drain, Phase};
use crate::follower::Follower;
use crate::local_member::LocalMember;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::operators::Health;
use crate::peer::{Handler, Link};
use crate::placement::Placer;
use crate::prelude::*;
use crate::prompts::Finder;
use crate::proxy::{Context, Proxy};
use crate::routes;
use crate::scope::Scope;
use crate::upstream::Client;
use crate::wire;
use async_trait::async_trait;
use parts::Parts;
use pull::offer;
use tokio::sync::watch;

/// Callers are told to ask again after this time; shorter than the longest allowed, so that a VM
/// that leaves is soon forgotten.
const ENTRIES_LIFETIME: Duration = Duration::from_millis(2_000);
/// Entry VMs of the callers' zone that suffice for them: fewer could all fail them at once.
const ENOUGH_ENTRIES: usize = 3;

/// Outside systems.
pub struct Ports {
    /// Store.
    pub store: Arc<dyn Store>,
    /// Upstreams.
    pub client: Arc<dyn Client>,
    /// Other entry VMs.
    pub link: Arc<dyn Link>,
}

/// Entry VMs to use.
#[derive(Clone, Debug)]
pub struct Entries {
    /// Callers' addresses.
    pub addresses: Vec<String>,
    /// How long they may be kept.
    pub lifetime: Duration,
}

/// Entry VM.
pub struct Entry {
    config: Config,
    tunables: watch::Sender<Tunables>,
    local: Arc<LocalMember>,
    follower: Follower,
    placer: Placer,
    members: Members,
    drain: Drain,
    finder: Finder,
    proxy: Proxy,
    scope: Scope,
    metrics: Arc<Metrics>,
}

impl Entry {
    /// Starts the tasks.
    pub fn start(config: Config, ports: Ports) -> Arc<Self> {
        let parts = Parts::new(&config, &ports);
        let placer = parts.start_placer();
        let members = parts.start_members(&placer);
        let finder = parts.start_finder(&placer, &members);
        let drain = parts.drain();
        let proxy = Proxy::new(Context {
            clock: parts.clock,
            follower: parts.follower.clone(),
            placer: placer.clone(),
            finder: finder.clone(),
            pacer: parts.start_pacer(),
            client: ports.client.clone(),
            drain: drain.clone(),
            local: parts.local.clone(),
            metrics: parts.metrics.clone(),
            scope: parts.scope.clone(),
        });
        let Parts { local, follower, metrics, scope, .. } = parts;
        info!("entry_started", kv: {
            name = config.name, zone = config.zone, incarnation = config.incarnation
        });
        let tunables = watch::Sender::new(config.tunables);
        Arc::new(Self {
            config,
            tunables,
            local,
            follower,
            placer,
            members,
            drain,
            finder,
            proxy,
            scope,
            metrics,
        })
    }

    /// Forwards requests.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    /// Address for callers.
    pub fn caller_address(&self) -> &str {
        &self.config.caller_address
    }

    /// Configuration in force.
    pub fn routes(&self) -> Arc<routes::Table> {
        self.follower.routes()
    }

    /// Step of leaving.
    pub fn phase(&self) -> Phase {
        self.drain.phase()
    }

    /// Waits for a step of leaving.
    pub async fn wait_for_phase(&self, phase: Phase) {
        self.drain.wait_for_phase(phase).await;
    }

    /// Whether callers should come.
    pub fn is_ready(&self) -> bool {
        self.follower.is_ready() && !self.local.is_leaving()
    }

    /// Health for operators.
    pub fn health(&self) -> Health {
        match (self.is_ready(), self.local.is_leaving()) {
            (_, true) => Health::Leaving,
            (true, _) => Health::Ready,
            (false, _) => Health::Waiting,
        }
    }

    /// Entry VMs that callers in `zone` should use: those of the zone where they are enough.
    pub fn entries(&self, zone: Option<&str>) -> Entries {
        let view = self.members.view();
        let others = view.alive.iter().filter(|beat| beat.ready && !beat.leaving);
        let mut entries: Vec<_> =
            others.map(|beat| (beat.zone.as_str(), beat.caller_address.clone())).collect();
        if self.is_ready() {
            entries.push((&self.config.zone, self.config.caller_address.clone()));
        }
        let of_zone = entries.iter().filter(|(known, _)| Some(*known) == zone).count();
        if of_zone >= ENOUGH_ENTRIES {
            entries.retain(|(known, _)| Some(*known) == zone);
        }
        let addresses = entries.into_iter().map(|(_, address)| address).collect();
        let lifetime = ENTRIES_LIFETIME.min(self.tunables.borrow().entries_lifetime);
        Entries { addresses, lifetime }
    }

    /// Puts settings in force that may change while the process runs.
    pub fn configure(&self, tunables: Tunables) {
        info!("settings_in_force", kv: { tunables:? = tunables });
        self.drain.set_grace(tunables.grace);
        self.tunables.send_replace(tunables);
    }

    /// Leaves; returns when nothing is open or the time is over.
    pub async fn leave(&self) {
        self.drain.run(&self.local).await;
    }

    /// Stops all tasks.
    pub fn stop(&self) {
        self.scope.stop();
    }

    /// Counters.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// State now.
    pub async fn dump(&self) -> Dump {
        Dump {
            name: self.config.name.clone(),
            incarnation: self.config.incarnation,
            phase: self.drain.phase(),
            number: self.follower.routes().number(),
            revision: self.follower.directory().revision(),
            open: self.local.open(),
            members: self.members.view().as_ref().clone(),
            upstreams: self.placer.dump().await,
        }
    }
}

#[async_trait]
impl Handler for Entry {
    async fn answer(&self, ask: wire::Ask) -> wire::Reply {
        match ask {
            wire::Ask::Heartbeat(beat) => {
                wire::Reply::Heartbeat(self.members.handle_heartbeat(beat))
            }
            wire::Ask::Pull(pull) => {
                let table = self.follower.routes();
                let newer = (table.number() > pull.number).then_some(table.as_ref());
                wire::Reply::Accepted(offer(table.number(), newer))
            }
            wire::Ask::Upstreams(pull) => {
                let update = self.follower.update_since(pull.number).await;
                wire::Reply::Upstreams(offer(self.follower.revision(), update.as_ref()))
            }
            wire::Ask::Book(book) => {
                let booked = self.placer.book(book.into()).await;
                wire::Reply::Booked(booked.map(wire::Booked::from).unwrap_or_default())
            }
            wire::Ask::Find(find) => {
                let engine = self.finder.find_local(&find.into()).await.unwrap_or_default();
                wire::Reply::Found(wire::Found { engine })
            }
            wire::Ask::Append(_) => wire::Reply::Appended(wire::Appended::default()),
            wire::Ask::Take(_) => wire::Reply::Taken(wire::Taken::default()),
            wire::Ask::Claim(_) => wire::Reply::Claimed(wire::Claimed::default()),
            wire::Ask::Cancel(_) => wire::Reply::Cancelled(wire::Cancelled::default()),
        }
    }
}
