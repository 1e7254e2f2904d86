//! An entry VM that forwards requests: the controller.
//!
//! It follows the store, keeps in touch with the other entry VMs, forwards callers' requests and
//! leaves without cutting any.

mod config;
mod dump;
mod host;
mod neighbours;
mod pull;
mod registrar;
mod startup;

pub use config::{Config, Tunables};
pub use dump::Dump;

use crate::clock::Clock;
use crate::control::{Member, Store};
use crate::drain::{self, Drain, Phase};
use crate::follower::Follower;
use crate::members::{self, Members};
use crate::metrics::Metrics;
use crate::operators::Health;
use crate::own::Own;
use crate::pacer::{self, Pacer};
use crate::peer::{Handler, Link};
use crate::placement::{self, Placer, Table};
use crate::prelude::*;
use crate::prompts::Finder;
use crate::proxy::{Context, Proxy};
use crate::routes;
use crate::scope::Scope;
use crate::upstream::Client;
use crate::wire;
use async_trait::async_trait;
use coordination::detector::Bounds;
use coordination::membership::Heartbeat;
use host::EntryHost;
use neighbours::PeerNeighbours;
use pull::offer;
use registrar::PeerRegistrar;
use tokio::sync::{mpsc, watch};

/// Heartbeats between entry VMs: configuration is in force everywhere in a few periods, and a peer is
/// left out of what callers are told after three lost ones. The fan-out lets each of 27 entry VMs call
/// all others, and keeps 380 within 13 kB/s.
const TIMING: members::Timing = members::Timing {
    period: Duration::from_millis(400),
    timeout: Duration::from_millis(1_300),
    one_sided: true,
    fan_out: 20,
};
/// Bounds of the time after which a lookup is sent to a second replica: twice the mean of a
/// lookup, and the users' objective for them.
const HEDGE: Bounds = Bounds { min: Duration::from_millis(60), max: Duration::from_millis(200) };
/// Callers are told to ask again after this time; shorter than the longest allowed, so that a VM
/// that leaves is soon forgotten.
const ENTRIES_LIFETIME: Duration = Duration::from_millis(2_000);
/// Time between SIGTERM and refusing connections: in it most callers ask again.
const ANNOUNCE: Duration = Duration::from_millis(2_000);
/// Part of the retry budget that is used, as requests that arrive count late.
const BUDGET_SHARE: f64 = 0.8;
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
    own: Arc<Own>,
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
        let (clock, scope) = (Clock::default(), Scope::default());
        let metrics = Arc::new(Metrics::new(None));
        let own = Arc::new(Own::new(heartbeat(&config)));
        let follower = Follower::start(&scope, clock, ports.store.clone(), metrics.clone());
        let table = Table::new(&config.name, &config.zone);
        let (successors, found) = mpsc::unbounded_channel();
        let parts = placement::Parts {
            clock,
            table,
            client: ports.client.clone(),
            reuse_after: config.reuse_after,
            successors,
            registrar: Arc::new(PeerRegistrar { link: ports.link.clone() }),
        };
        let placer = Placer::start(&scope, parts);
        scope.spawn(startup::take_successors(found, follower.clone()));
        scope.spawn(startup::keep_placer(placer.clone(), follower.clone()));
        let host = EntryHost::new(
            (&config.name, &config.zone),
            follower.clone(),
            placer.clone(),
            ports.link.clone(),
            scope.clone(),
        );
        let parts = members::Parts {
            seeds: config.peer_seeds.clone(),
            timing: TIMING,
            own: own.clone(),
            clock,
            link: ports.link.clone(),
            host: Arc::new(host),
            metrics: metrics.clone(),
        };
        let members = Members::start(&scope, parts);
        scope.spawn(startup::spread_losses(placer.clone(), members.clone()));
        let member = Member {
            name: config.name.clone(),
            zone: config.zone.clone(),
            peer_address: config.peer_address.clone(),
        };
        scope.spawn(startup::announce(ports.store, member, members.clone(), placer.clone()));
        scope.spawn(startup::settle(placer.clone()));
        let budget = pacer::Settings {
            hedge: HEDGE,
            retry_ratio: config.retry_ratio * BUDGET_SHARE,
            retry_capacity: config.retry_slack * BUDGET_SHARE
                / (config.peer_seeds.len() as f64).max(1.0),
        };
        let grace = config.tunables.grace;
        let drain = Drain::new(clock, drain::Timing { grace, announce: ANNOUNCE });
        let neighbours = PeerNeighbours {
            zone: config.zone.clone(),
            members: members.clone(),
            link: ports.link.clone(),
        };
        let finder = Finder::start(
            &scope,
            clock,
            placer.clone(),
            ports.client.clone(),
            Arc::new(neighbours),
        );
        let proxy = Proxy::new(Context {
            clock,
            follower: follower.clone(),
            placer: placer.clone(),
            finder: finder.clone(),
            pacer: Pacer::start(&scope, budget),
            client: ports.client,
            drain: drain.clone(),
            own: own.clone(),
            metrics: metrics.clone(),
            scope: scope.clone(),
        });
        info!("entry_started", kv: {
            name = config.name, zone = config.zone, incarnation = config.incarnation
        });
        let tunables = watch::Sender::new(config.tunables);
        Arc::new(Self {
            config,
            tunables,
            own,
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
    pub async fn reached(&self, phase: Phase) {
        self.drain.reached(phase).await;
    }

    /// Whether callers should come.
    pub fn is_ready(&self) -> bool {
        let knows = self.follower.routes().number() > 0 && !self.follower.directory().is_empty();
        knows && !self.own.is_leaving()
    }

    /// Health for operators.
    pub fn health(&self) -> Health {
        match (self.is_ready(), self.own.is_leaving()) {
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
        self.drain.run(&self.own).await;
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
            open: self.own.open(),
            members: self.members.view().as_ref().clone(),
            upstreams: self.placer.dump().await,
        }
    }
}

#[async_trait]
impl Handler for Entry {
    async fn answer(&self, ask: wire::Ask) -> wire::Reply {
        match ask {
            wire::Ask::Heartbeat(beat) => wire::Reply::Heartbeat(self.members.answer(beat)),
            wire::Ask::Pull(pull) => {
                let table = self.follower.routes();
                let newer = (table.number() > pull.number).then_some(table.as_ref());
                wire::Reply::Accepted(offer(table.number(), newer))
            }
            wire::Ask::Upstreams(pull) => {
                let news = self.follower.news_since(pull.number).await;
                wire::Reply::Upstreams(offer(self.follower.listed().revision(), news.as_ref()))
            }
            wire::Ask::Book(book) => {
                let booked = self.placer.book(book.into()).await;
                wire::Reply::Booked(booked.map(wire::Booked::from).unwrap_or_default())
            }
            wire::Ask::Find(find) => {
                let engine = self.finder.find_here(&find.into()).await.unwrap_or_default();
                wire::Reply::Found(wire::Found { engine })
            }
            wire::Ask::Append(_) => wire::Reply::Appended(wire::Appended::default()),
            wire::Ask::Take(_) => wire::Reply::Taken(wire::Taken::default()),
            wire::Ask::Claim(_) => wire::Reply::Claimed(wire::Claimed::default()),
            wire::Ask::Cancel(_) => wire::Reply::Cancelled(wire::Cancelled::default()),
        }
    }
}

fn heartbeat(config: &Config) -> Heartbeat {
    Heartbeat {
        name: config.name.clone(),
        incarnation: config.incarnation,
        zone: config.zone.clone(),
        caller_address: config.caller_address.clone(),
        peer_address: config.peer_address.clone(),
        ..Heartbeat::default()
    }
}
