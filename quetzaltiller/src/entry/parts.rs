//! The parts of an entry VM, started one after the other.

use super::delegate::EntryDelegate;
use super::neighbours::PeerNeighbours;
use super::registrar::PeerRegistrar;
use super::{Config, Ports, startup};
use crate::clock::Clock;
use crate::control::Member;
use crate::drain::{self, Drain};
use crate::follower::Follower;
use crate::local_member::LocalMember;
use crate::members::{self, Members};
use crate::metrics::Metrics;
use crate::pacer::{self, Pacer};
use crate::placement::{self, Placer, Table};
use crate::prelude::*;
use crate::prompts::Finder;
use crate::scope::Scope;
use coordination::detector::Bounds;
use coordination::membership::Heartbeat;
use tokio::sync::mpsc;

/// Heartbeats between entry VMs: configuration is in force everywhere in a few periods, and a peer is
/// left out of what callers are told after three lost ones. Regions part for an hour, after which both
/// sides must still know each other. The fan-out lets each of 27 entry VMs call all others in a round.
const TIMING: members::Timing = members::Timing {
    period: Duration::from_millis(400),
    timeout: Duration::from_millis(1_300),
    retention: Duration::from_secs(4_200),
    one_sided: true,
    fan_out: 20,
};
/// Bounds of the time after which a lookup is sent to a second replica: twice the mean of a
/// lookup, and the users' objective for them.
const HEDGE: Bounds = Bounds { min: Duration::from_millis(60), max: Duration::from_millis(200) };
/// Time between SIGTERM and refusing connections: in it most callers ask again.
const ANNOUNCE: Duration = Duration::from_millis(2_000);
/// Part of the retry budget that is used, as requests that arrive count late.
const BUDGET_SHARE: f64 = 0.8;

/// What the parts of an entry VM share, and from what they are started.
pub struct Parts<'a> {
    config: &'a Config,
    ports: &'a Ports,
    /// Clock.
    pub clock: Clock,
    /// All tasks.
    pub scope: Scope,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// This process.
    pub local: Arc<LocalMember>,
    /// What the store tells.
    pub follower: Follower,
}

impl<'a> Parts<'a> {
    /// Starts to follow the store.
    pub fn new(config: &'a Config, ports: &'a Ports) -> Self {
        let (clock, scope) = (Clock::default(), Scope::default());
        let metrics = Arc::new(Metrics::new(None));
        let local = Arc::new(LocalMember::new(heartbeat(config)));
        let follower = Follower::start(&scope, clock, ports.store.clone(), metrics.clone());
        Self { config, ports, clock, scope, metrics, local, follower }
    }

    /// Starts the choice of upstreams.
    pub fn start_placer(&self) -> Placer {
        let (successors, found) = mpsc::unbounded_channel();
        let parts = placement::Dependencies {
            clock: self.clock,
            table: Table::new(&self.config.name, &self.config.zone),
            client: self.ports.client.clone(),
            reuse_after: self.config.reuse_after,
            successors,
            registrar: Arc::new(PeerRegistrar { link: self.ports.link.clone() }),
        };
        let placer = Placer::start(&self.scope, parts);
        self.scope.spawn(startup::take_successors(found, self.follower.clone()));
        self.scope.spawn(startup::keep_placer(placer.clone(), self.follower.clone()));
        self.scope.spawn(startup::settle(placer.clone()));
        placer
    }

    /// Starts heartbeats with the other entry VMs, and announces this one.
    pub fn start_members(&self, placer: &Placer) -> Members {
        let Config { name, zone, peer_address, peer_seeds, .. } = self.config;
        let host = EntryDelegate::new(
            (name, zone),
            self.follower.clone(),
            placer.clone(),
            self.ports.link.clone(),
            (self.scope.clone(), self.clock),
        );
        let parts = members::Dependencies {
            seeds: peer_seeds.clone(),
            timing: TIMING,
            local: self.local.clone(),
            clock: self.clock,
            link: self.ports.link.clone(),
            delegate: Arc::new(host),
            metrics: self.metrics.clone(),
        };
        let members = Members::start(&self.scope, parts);
        self.scope.spawn(startup::spread_losses(placer.clone(), members.clone()));
        let member =
            Member { name: name.clone(), zone: zone.clone(), peer_address: peer_address.clone() };
        let store = self.ports.store.clone();
        self.scope.spawn(startup::announce(store, member, members.clone(), placer.clone()));
        members
    }

    /// Starts the search for cached prompts.
    pub fn start_finder(&self, placer: &Placer, members: &Members) -> Finder {
        let neighbours = PeerNeighbours {
            zone: self.config.zone.clone(),
            members: members.clone(),
            link: self.ports.link.clone(),
        };
        let client = self.ports.client.clone();
        Finder::start(&self.scope, self.clock, placer.clone(), client, Arc::new(neighbours))
    }

    /// Starts the budget of retries and hedges.
    pub fn start_pacer(&self) -> Pacer {
        let Config { retry_ratio, retry_slack, peer_seeds, .. } = self.config;
        let budget = pacer::Settings {
            hedge: HEDGE,
            retry_ratio: retry_ratio * BUDGET_SHARE,
            retry_capacity: retry_slack * BUDGET_SHARE / (peer_seeds.len() as f64).max(1.0),
        };
        Pacer::start(&self.scope, budget)
    }

    /// Steps of leaving.
    pub fn drain(&self) -> Drain {
        let grace = self.config.tunables.grace;
        Drain::new(self.clock, drain::Timing { grace, announce: ANNOUNCE })
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
