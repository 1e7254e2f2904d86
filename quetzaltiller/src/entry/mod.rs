//! An entry VM that forwards requests to upstreams which a control store lists.
//!
//! [`Entry`] follows the store, exchanges heartbeats with the other entry VMs, forwards callers'
//! requests and shuts down gracefully: open requests finish first, within the grace period.

mod builder;
mod config;
mod delegate;
mod dump;
mod lag;
mod neighbours;
mod pull;
mod registrar;
mod startup;

pub use config::{Config, Tunables};
pub use dump::Dump;
pub use lag::Lag;

use crate::admission::Admission;
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
use crate::quarantine::Quarantine;
use crate::routes;
use crate::scope::Scope;
use crate::upstream::Client;
use crate::wire;
use async_trait::async_trait;
use builder::Builder;
use pull::encode_newer;
use tokio::sync::watch;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Lifetime of a list of entry VMs at callers; shorter than the allowed maximum, so that callers
/// soon drop a VM that leaves.
const ENTRIES_LIFETIME: Duration = Duration::from_millis(2_000);
/// Minimum number of entry VMs in the caller's zone for a list of these alone; fewer could all be
/// lost at once.
const MIN_ZONE_ENTRIES: usize = 3;

/// Connections to outside systems.
pub struct Ports {
    /// Store with the configuration, the upstreams and the entry VMs.
    pub store: Arc<dyn Store>,
    /// Client for upstreams.
    pub client: Arc<dyn Client>,
    /// Link to the other entry VMs.
    pub link: Arc<dyn Link>,
}

/// Entry VMs that a caller should use.
#[derive(Clone, Debug)]
pub struct Entries {
    /// Addresses for callers.
    pub addresses: Vec<String>,
    /// Time for which a caller may keep the list.
    pub lifetime: Duration,
}

/// One entry VM: its tasks, and the handles to them.
pub struct Entry {
    config: Config,
    tunables: watch::Sender<Tunables>,
    local: Arc<LocalMember>,
    follower: Follower,
    placer: Placer,
    members: Members,
    drain: Drain,
    admission: Admission,
    finder: Finder,
    quarantine: Quarantine,
    proxy: Proxy,
    scope: Scope,
    metrics: Arc<Metrics>,
}

impl Entry {
    /// Starts the tasks of an entry VM.
    pub fn start(config: Config, ports: Ports) -> Arc<Self> {
        let builder = Builder::new(&config, &ports);
        let placer = builder.start_placer();
        let quarantine = builder.start_quarantine();
        let members = builder.start_members(&placer, &quarantine);
        let finder = builder.start_finder(&placer, &members);
        let drain = builder.drain();
        let admission = builder.admission();
        let proxy = Proxy::new(Context {
            clock: builder.clock,
            follower: builder.follower.clone(),
            placer: placer.clone(),
            finder: finder.clone(),
            pacer: builder.start_pacer(),
            quarantine: quarantine.clone(),
            client: ports.client.clone(),
            drain: drain.clone(),
            local: builder.local.clone(),
            metrics: builder.metrics.clone(),
            scope: builder.scope.clone(),
        });
        let Builder { local, follower, metrics, scope, .. } = builder;
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
            admission,
            finder,
            quarantine,
            proxy,
            scope,
            metrics,
        })
    }

    /// Proxy that forwards requests.
    pub fn proxy(&self) -> &Proxy {
        &self.proxy
    }

    /// Admission of clients on all ports.
    pub fn admission(&self) -> &Admission {
        &self.admission
    }

    /// Address of this entry VM for callers.
    pub fn caller_address(&self) -> &str {
        &self.config.caller_address
    }

    /// Routes of the configuration in force.
    pub fn routes(&self) -> Arc<routes::Table> {
        self.follower.routes()
    }

    /// Current phase of the shutdown.
    pub fn phase(&self) -> Phase {
        self.drain.phase()
    }

    /// Waits until the shutdown reaches `phase`.
    pub async fn wait_for_phase(&self, phase: Phase) {
        self.drain.wait_for_phase(phase).await;
    }

    /// Registers a caller's connection as open until the result is dropped; a shutdown waits for it.
    pub fn open_connection(&self) -> TaskTrackerToken {
        self.drain.open_connection()
    }

    /// Whether callers should send requests to this entry VM.
    pub fn is_ready(&self) -> bool {
        self.follower.is_ready() && !self.local.is_leaving()
    }

    /// Health of this entry VM, for operators.
    pub fn health(&self) -> Health {
        match (self.is_ready(), self.local.is_leaving()) {
            (_, true) => Health::Leaving,
            (true, _) => Health::Ready,
            (false, _) => Health::Waiting,
        }
    }

    /// Entry VMs that callers in `zone` should use: those of the zone alone if they are at least
    /// `MIN_ZONE_ENTRIES`, otherwise all.
    pub fn entries(&self, zone: Option<&str>) -> Entries {
        let view = self.members.view();
        let others = view.alive.iter().filter(|beat| beat.ready && !beat.leaving);
        let mut entries: Vec<_> =
            others.map(|beat| (beat.zone.as_str(), beat.caller_address.clone())).collect();
        if self.is_ready() {
            entries.push((&self.config.zone, self.config.caller_address.clone()));
        }
        let in_zone = entries.iter().filter(|(entry_zone, _)| Some(*entry_zone) == zone).count();
        if in_zone >= MIN_ZONE_ENTRIES {
            entries.retain(|(entry_zone, _)| Some(*entry_zone) == zone);
        }
        let addresses = entries.into_iter().map(|(_, address)| address).collect();
        let lifetime = ENTRIES_LIFETIME.min(self.tunables.borrow().entries_lifetime);
        Entries { addresses, lifetime }
    }

    /// Applies settings that may change while the process runs.
    pub fn configure(&self, tunables: Tunables) {
        info!("settings_in_force", kv: { tunables:? = tunables });
        self.drain.set_grace(tunables.grace);
        self.tunables.send_replace(tunables);
    }

    /// Shuts down gracefully; returns when no request and no connection is open or the grace period
    /// is over.
    pub async fn leave(&self) {
        self.drain.run(&self.local).await;
    }

    /// Stops all tasks at once.
    pub fn stop(&self) {
        self.scope.stop();
    }

    /// Counters of this entry VM.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Current state, for operators.
    pub async fn dump(&self) -> Dump {
        Dump {
            name: self.config.name.clone(),
            incarnation: self.config.incarnation,
            phase: self.drain.phase(),
            number: self.follower.routes().number(),
            configuration: self.follower.configuration_age(),
            store: self.follower.directory().version(),
            open: self.local.open(),
            admission: self.admission.state(),
            members: self.members.view().as_ref().clone(),
            upstreams: self.placer.dump().await,
            quarantine: self.quarantine.dump().await,
        }
    }
}

#[async_trait]
impl Handler for Entry {
    async fn answer(&self, ask: wire::Ask) -> wire::Reply {
        match ask {
            wire::Ask::Heartbeat(beat) => {
                wire::Reply::Heartbeat(Box::new(self.members.handle_heartbeat(beat)))
            }
            wire::Ask::Pull(pull) => {
                let table = self.follower.routes();
                let newer = (table.number() > pull.number).then_some(table.as_ref());
                wire::Reply::Accepted(encode_newer(table.number(), newer))
            }
            wire::Ask::Upstreams(pull) => {
                let update = self.follower.update_since(pull.into()).await;
                let revision = self.follower.version().revision;
                wire::Reply::Upstreams(encode_newer(revision, update.as_ref()))
            }
            wire::Ask::Book(book) => {
                let booked = self.placer.book(book.into()).await;
                wire::Reply::Booked(booked.map(wire::Booked::from).unwrap_or_default())
            }
            wire::Ask::Find(find) => {
                let engine = self.finder.find_local(&find.into()).await.unwrap_or_default();
                wire::Reply::Found(wire::Found { engine })
            }
            wire::Ask::Borrow(borrow) => {
                let accepted = self.placer.lend(&borrow.upstream).await;
                wire::Reply::Lent(wire::Lent { accepted })
            }
            wire::Ask::Append(_) => wire::Reply::Appended(wire::Appended::default()),
            wire::Ask::Take(_) => wire::Reply::Taken(wire::Taken::default()),
            wire::Ask::Claim(_) => wire::Reply::Claimed(wire::Claimed::default()),
            wire::Ask::Cancel(_) => wire::Reply::Cancelled(wire::Cancelled::default()),
        }
    }
}
