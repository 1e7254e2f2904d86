//! Starts the components of an entry VM.

use super::delegate::EntryDelegate;
use super::neighbours::PeerNeighbours;
use super::registrar::PeerRegistrar;
use super::{Config, Ports, startup};
use crate::admission::Admission;
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
use crate::quarantine::{self, Quarantine};
use crate::scope::Scope;
use coordination::detector::Bounds;
use coordination::membership::Heartbeat;
use tokio::sync::mpsc;

/// Heartbeats between entry VMs. A configuration is in force everywhere after a few periods, and a
/// peer is removed from the callers' list after three lost heartbeats. Regions can be partitioned
/// for an hour, after which both sides must still know each other. The fan-out lets each of 27
/// entry VMs call all others in one round.
const TIMING: members::Timing = members::Timing {
    period: Duration::from_millis(400),
    timeout: Duration::from_millis(1_300),
    retention: Duration::from_secs(4_200),
    one_sided: true,
    fan_out: 20,
};
/// Bounds of the delay before a lookup is sent to a second replica: twice the mean duration of a
/// lookup, and the users' objective for lookups.
const HEDGE_BOUNDS: Bounds =
    Bounds { min: Duration::from_millis(60), max: Duration::from_millis(200) };
/// Time between SIGTERM and refusing connections; most callers fetch a new list of entry VMs within
/// it.
const ANNOUNCE_DURATION: Duration = Duration::from_millis(2_000);
/// Share of the retry budget that is used, as new requests are added to the count with a delay.
const RETRY_BUDGET_SHARE: f64 = 0.8;

/// Starts the components of an entry VM from its settings, and holds what they share.
pub struct Builder<'a> {
    config: &'a Config,
    ports: &'a Ports,
    /// Clock of all components.
    pub clock: Clock,
    /// Scope of all tasks.
    pub scope: Scope,
    /// Counters of this entry VM.
    pub metrics: Arc<Metrics>,
    /// This entry VM as a member.
    pub local: Arc<LocalMember>,
    /// Follower of the store's configuration and upstreams.
    pub follower: Follower,
}

impl<'a> Builder<'a> {
    /// Starts the follower of the store.
    pub fn new(config: &'a Config, ports: &'a Ports) -> Self {
        let (clock, scope) = (Clock::default(), Scope::default());
        let metrics = Arc::new(Metrics::new(None));
        let local = Arc::new(LocalMember::new(heartbeat(config)));
        let (store, recovery) = (ports.store.clone(), config.recovery);
        let follower = Follower::start(&scope, clock, store, metrics.clone(), recovery);
        Self { config, ports, clock, scope, metrics, local, follower }
    }

    /// Starts the placer, which chooses upstreams, and the tasks that feed it.
    pub fn start_placer(&self) -> Placer {
        let (successors, found_successors) = mpsc::unbounded_channel();
        let dependencies = placement::Dependencies {
            clock: self.clock,
            table: Table::new(&self.config.name, &self.config.zone),
            client: self.ports.client.clone(),
            reuse_after: self.config.reuse_after,
            successors,
            registrar: Arc::new(PeerRegistrar { link: self.ports.link.clone() }),
        };
        let placer = Placer::start(&self.scope, dependencies);
        self.scope.spawn(startup::apply_successors(found_successors, self.follower.clone()));
        self.scope.spawn(startup::update_placer(placer.clone(), self.follower.clone()));
        self.scope.spawn(startup::limit_wait_for_members(placer.clone()));
        let client = self.ports.client.clone();
        self.scope.spawn(startup::check_disputed(client, self.follower.clone()));
        placer
    }

    /// Starts heartbeats with the other entry VMs and announces this one in the store.
    pub fn start_members(&self, placer: &Placer, quarantine: &Quarantine) -> Members {
        let Config { name, zone, peer_address, peer_seeds, .. } = self.config;
        let delegate = EntryDelegate::new(
            (name, zone),
            (self.follower.clone(), placer.clone(), quarantine.clone()),
            self.ports.link.clone(),
            (self.scope.clone(), self.clock),
        );
        let dependencies = members::Dependencies {
            seeds: peer_seeds.clone(),
            timing: TIMING,
            local: self.local.clone(),
            clock: self.clock,
            link: self.ports.link.clone(),
            delegate: Arc::new(delegate),
            metrics: self.metrics.clone(),
        };
        let members = Members::start(&self.scope, dependencies);
        self.scope.spawn(startup::broadcast_losses(placer.clone(), members.clone()));
        let member =
            Member { name: name.clone(), zone: zone.clone(), peer_address: peer_address.clone() };
        let store = self.ports.store.clone();
        let known = (members.clone(), self.follower.clone());
        self.scope.spawn(startup::announce(store, member, known, placer.clone()));
        members
    }

    /// Starts the finder of cached prompts.
    pub fn start_finder(&self, placer: &Placer, members: &Members) -> Finder {
        let neighbours = PeerNeighbours {
            zone: self.config.zone.clone(),
            members: members.clone(),
            link: self.ports.link.clone(),
        };
        let client = self.ports.client.clone();
        Finder::start(&self.scope, self.clock, placer.clone(), client, Arc::new(neighbours))
    }

    /// Starts the pacer, which limits retries and hedges.
    pub fn start_pacer(&self) -> Pacer {
        let Config { retry_ratio, retry_slack, peer_seeds, .. } = self.config;
        let settings = pacer::Settings {
            hedge: HEDGE_BOUNDS,
            retry_ratio: retry_ratio * RETRY_BUDGET_SHARE,
            retry_capacity: retry_slack * RETRY_BUDGET_SHARE / (peer_seeds.len() as f64).max(1.0),
        };
        Pacer::start(&self.scope, settings)
    }

    /// Starts the quarantine of parts of prompts that crash engines.
    pub fn start_quarantine(&self) -> Quarantine {
        let dependencies = quarantine::Dependencies {
            name: self.config.name.clone(),
            clock: self.clock,
            store: self.ports.store.clone(),
            metrics: self.metrics.clone(),
            watches: self.follower.watches(),
        };
        Quarantine::start(&self.scope, dependencies)
    }

    /// Creates the admission of clients.
    pub fn admission(&self) -> Admission {
        let Config { resources, memory, .. } = self.config;
        Admission::new(self.clock, *resources, memory, self.metrics.clone())
    }

    /// Creates the drain, which runs the phases of the shutdown.
    pub fn drain(&self) -> Drain {
        let grace = self.config.tunables.grace;
        Drain::new(self.clock, drain::Timing { grace, announce: ANNOUNCE_DURATION })
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
