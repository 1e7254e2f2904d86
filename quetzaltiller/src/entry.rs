//! An entry VM that forwards requests: the controller.
//!
//! It follows the store, keeps in touch with the other entry VMs, forwards callers' requests and
//! leaves without cutting any.

use crate::clock::Clock;
use crate::control::{Member, Store};
use crate::drain::{self, Drain, Phase};
use crate::fleet::{Listing, Upstream};
use crate::follower::Follower;
use crate::members::{self, Host, Members, View};
use crate::metrics::Metrics;
use crate::operators::Health;
use crate::own::Own;
use crate::pacer::{self, Pacer};
use crate::peer::{Handler, Link};
use crate::placement::{
    self, Booked, Booking, Load, Peer, Placer, Registrar, Reported, State, Successor, Table,
};
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
use coordination::rendezvous::rank;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::{mpsc, watch};

/// Between heartbeats to a peer. Configuration is in force everywhere in a few of them.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// A peer is left out of what callers are told after three lost heartbeats.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A peer that has something newer is asked for it when the store has not told it in this time.
const PULL_DELAY: Duration = Duration::from_millis(250);
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
/// Up to so many other entry VMs, all hear of everything; more share loads and losses by zone.
const SMALL: usize = 8;
/// Entry VMs of a zone that watch the store's upstreams closely, for the others too.
const RELAYS: usize = 2;
/// Key by which these are ranked.
const STORE: &str = "store";
/// Entry VMs of the callers' zone that suffice for them: fewer could all fail them at once.
const ENOUGH_ENTRIES: usize = 3;
/// Losses are gathered for so long before peers are told, as a zone's engines go together.
const GATHER_LOSSES: Duration = Duration::from_millis(15);
/// Time for a registrar's answer: a round trip between zones and a turn of a busy process.
const BOOKING_LIMIT: Duration = Duration::from_millis(40);
/// Longest time that runs wait for it to be known who else is there; the store tells it in 10 ms.
const SETTLE_LIMIT: Duration = Duration::from_millis(400);
/// Time in which the members that the store told reach the choice of upstreams.
const INTRODUCTION: Duration = Duration::from_millis(5);
/// Pause between announcements that the store does not take.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(1_000);

/// Settings.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the entry VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// Peers to begin with.
    pub peer_seeds: Vec<String>,
    /// Number of this start of the process; must rise with each.
    pub incarnation: u64,
    /// What may change while the process runs.
    pub tunables: Tunables,
    /// An address stays with its service for so long after an upstream has ended.
    pub reuse_after: Duration,
    /// Retries for each request, over all entry VMs.
    pub retry_ratio: f64,
    /// Retries beyond the ratio, over all entry VMs.
    pub retry_slack: f64,
}

/// Settings that may change while the process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tunables {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Longest time that callers keep an answer of which entry VMs to use.
    pub entries_lifetime: Duration,
}

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

/// State of the process.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Dump {
    /// Name.
    pub name: String,
    /// Start of the process.
    pub incarnation: u64,
    /// Step of leaving.
    pub phase: Phase,
    /// Number of the configuration in force.
    pub number: u64,
    /// Revision of the upstreams.
    pub revision: u64,
    /// Open requests.
    pub open: u64,
    /// Other entry VMs.
    pub members: View,
    /// Upstreams.
    pub upstreams: BTreeMap<String, State>,
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
        scope.spawn(take_successors(found, follower.clone()));
        scope.spawn(keep_placer(placer.clone(), follower.clone()));
        let host = EntryHost {
            name: config.name.clone(),
            zone: config.zone.clone(),
            follower: follower.clone(),
            placer: placer.clone(),
            link: ports.link.clone(),
            scope: scope.clone(),
            pulls: Arc::default(),
            members: AtomicUsize::new(0),
        };
        let parts = members::Parts {
            seeds: config.peer_seeds.clone(),
            timing: members::Timing { period: HEARTBEAT, timeout: PEER_TIMEOUT, one_sided: true },
            own: own.clone(),
            clock,
            link: ports.link.clone(),
            host: Arc::new(host),
            metrics: metrics.clone(),
        };
        let members = Members::start(&scope, parts);
        scope.spawn(spread_losses(placer.clone(), members.clone()));
        let member = Member {
            name: config.name.clone(),
            zone: config.zone.clone(),
            peer_address: config.peer_address.clone(),
        };
        scope.spawn(announce(ports.store, member, members.clone(), placer.clone()));
        scope.spawn(settle(placer.clone()));
        let budget = pacer::Settings {
            hedge: HEDGE,
            retry_ratio: config.retry_ratio * BUDGET_SHARE,
            retry_capacity: config.retry_slack * BUDGET_SHARE
                / (config.peer_seeds.len() as f64).max(1.0),
        };
        let grace = config.tunables.grace;
        let drain = Drain::new(clock, drain::Timing { grace, announce: ANNOUNCE });
        let proxy = Proxy::new(Context {
            clock,
            follower: follower.clone(),
            placer: placer.clone(),
            finder: Finder::start(&scope, clock, placer.clone(), ports.client.clone()),
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
                wire::Reply::Accepted(offer(pull.number, table.number(), table.as_ref()))
            }
            wire::Ask::Upstreams(pull) => {
                let listed = self.follower.listed();
                let listing = listed.listing();
                wire::Reply::Upstreams(offer(pull.number, listed.revision(), &listing))
            }
            wire::Ask::Book(book) => {
                let booked = self.placer.book(book.into()).await;
                wire::Reply::Booked(booked.map(wire::Booked::from).unwrap_or_default())
            }
            wire::Ask::Append(_) => wire::Reply::Appended(wire::Appended::default()),
            wire::Ask::Take(_) => wire::Reply::Taken(wire::Taken::default()),
            wire::Ask::Claim(_) => wire::Reply::Claimed(wire::Claimed::default()),
            wire::Ask::Cancel(_) => wire::Reply::Cancelled(wire::Cancelled::default()),
        }
    }
}

/// What a peer that has `known` gets of a value numbered `number`.
fn offer(known: u64, number: u64, value: &impl Serialize) -> wire::Accepted {
    let json = if number > known {
        serde_json::to_string(value).unwrap_or_default()
    } else {
        String::new()
    };
    wire::Accepted { number, json }
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

async fn keep_placer(placer: Placer, follower: Follower) {
    let (mut routes, mut directory) = (follower.watch_routes(), follower.watch_directory());
    loop {
        tokio::select! {
            biased;
            changed = routes.changed() => match changed {
                Ok(()) => placer.configure(routes.borrow_and_update().clone()),
                Err(_) => return,
            },
            changed = directory.changed() => match changed {
                Ok(()) => placer.set_upstreams(directory.borrow_and_update().clone()),
                Err(_) => return,
            },
        }
    }
}

async fn take_successors(mut found: mpsc::UnboundedReceiver<Successor>, follower: Follower) {
    while let Some(successor) = found.recv().await {
        follower.succeed(successor);
    }
}

/// Tells the other entry VMs at once of upstreams that are gone.
async fn spread_losses(placer: Placer, members: Members) {
    let mut lost = placer.lost();
    let mut known = BTreeSet::new();
    while lost.changed().await.is_ok() {
        tokio::time::sleep(GATHER_LOSSES).await;
        let now = BTreeSet::from_iter(lost.borrow_and_update().iter().cloned());
        if !now.is_subset(&known) {
            members.beat_now();
        }
        known = now;
    }
}

/// Announces this entry VM in the store and learns of the others from there.
async fn announce(store: Arc<dyn Store>, own: Member, members: Members, placer: Placer) {
    while let Err(reason) = store.announce(&own).await {
        info!("announcement_failed", kv: { reason:? = reason.to_string() });
        tokio::time::sleep(ANNOUNCE_RETRY).await;
    }
    loop {
        match store.members().await {
            Ok(listed) => {
                members.introduce(listed);
                tokio::time::sleep(INTRODUCTION).await;
                return placer.settle();
            }
            Err(reason) => {
                info!("members_unknown", kv: { reason:? = reason.to_string() });
                tokio::time::sleep(ANNOUNCE_RETRY).await;
            }
        }
    }
}

/// Places runs without knowledge of the other entry VMs when the store does not tell it soon.
async fn settle(placer: Placer) {
    tokio::time::sleep(SETTLE_LIMIT).await;
    placer.settle();
}

/// An entry VM's part in membership.
struct EntryHost {
    name: String,
    zone: String,
    follower: Follower,
    placer: Placer,
    link: Arc<dyn Link>,
    scope: Scope,
    pulls: Arc<AtomicBool>,
    /// Other entry VMs that are alive.
    members: AtomicUsize,
}

impl Host for EntryHost {
    fn is_near(&self, beat: &Heartbeat) -> bool {
        beat.zone == self.zone || self.members.load(Ordering::Relaxed) <= SMALL
    }

    fn describe(&self, beat: &mut wire::Heartbeat, near: bool) {
        beat.number = self.follower.routes().number();
        beat.revision = self.follower.listed().revision();
        beat.ready = beat.number > 0 && !self.follower.directory().is_empty();
        if near || self.follower.is_store_away() {
            let tell = |successor: &Successor| wire::Successor {
                lost: successor.lost.clone(),
                id: successor.upstream.id.clone(),
            };
            beat.successors = self.follower.successors().iter().map(tell).collect();
        }
        // Far members only need what engines hold, to place copies.
        let load = |(upstream, load): (String, Load)| wire::Load {
            upstream,
            in_flight: if near { load.in_flight } else { 0 },
            backlog_ms: if near { load.backlog.as_millis() as u32 } else { 0 },
            tokens: if near { load.tokens } else { 0 },
            reported_tokens: load.reported.map(|reported| reported.tokens),
            reported_requests: load.reported.map_or(0, |reported| reported.requests),
            reported_unread: load.reported.map_or(0, |reported| reported.unread),
        };
        let told = |(_, load): &(String, Load)| near || load.reported.is_some();
        beat.loads = self.placer.loads().into_iter().filter(told).map(load).collect();
        if near {
            beat.lost_upstreams = self.placer.lost().borrow().as_ref().clone();
        }
    }

    fn heard(&self, beat: &wire::Heartbeat) {
        beat.lost_upstreams.iter().for_each(|id| self.placer.reported_gone(id));
        let load = |load: &wire::Load| {
            let backlog = Duration::from_millis(u64::from(load.backlog_ms));
            let (requests, unread) = (load.reported_requests, load.reported_unread);
            let reported = load.reported_tokens.map(|tokens| Reported { tokens, requests, unread });
            let (in_flight, tokens) = (load.in_flight, load.tokens);
            let known = Load { in_flight, backlog, tokens, reported };
            (load.upstream.clone(), known)
        };
        self.placer.hear(&beat.name, beat.loads.iter().map(load).collect());
        let directory = self.follower.directory();
        for told in &beat.successors {
            if let Some(lost) = directory.upstream(&told.lost) {
                let upstream = Upstream { id: told.id.clone(), incarnation: 0, ..(**lost).clone() };
                self.follower.succeed(Successor { lost: told.lost.clone(), upstream });
            }
        }
        // Far members only bring configurations: the own zone has relays, and bytes between zones
        // are dear.
        let near = beat.zone == self.zone || self.members.load(Ordering::Relaxed) <= SMALL;
        let is_newer = beat.number > self.follower.routes().number()
            || near && beat.revision > self.follower.listed().revision();
        if !is_newer || self.pulls.swap(true, Ordering::Relaxed) {
            return;
        }
        let pull = Pull {
            follower: self.follower.clone(),
            link: self.link.clone(),
            beat: beat.clone(),
            near,
        };
        let pulls = self.pulls.clone();
        self.scope.spawn(async move {
            pull.run().await;
            pulls.store(false, Ordering::Relaxed);
        });
    }

    fn changed(&self, _known: Vec<String>, view: &View) {
        let names = |beats: &mut dyn Iterator<Item = &Heartbeat>| {
            beats.map(|beat| beat.name.clone()).collect::<Vec<_>>()
        };
        let peers = view.alive.iter().map(|beat| Peer {
            name: beat.name.clone(),
            zone: beat.zone.clone(),
            address: beat.peer_address.clone(),
            leaving: beat.leaving,
        });
        let peers: Vec<_> = peers.collect();
        let of_zone = view.alive.iter().filter(|beat| beat.zone == self.zone && !beat.leaving);
        let neighbours = names(&mut of_zone.into_iter());
        let ranked = rank(neighbours.iter().chain([&self.name]).map(String::as_str), STORE);
        let relays = ranked.into_iter().take(RELAYS).any(|name| name == self.name);
        self.follower.set_relay(relays || peers.len() <= SMALL);
        self.members.store(peers.len(), Ordering::Relaxed);
        self.placer.set_members(peers);
    }
}

/// Registrars of engines, reached as peers.
struct PeerRegistrar {
    link: Arc<dyn Link>,
}

#[async_trait]
impl Registrar for PeerRegistrar {
    async fn book(&self, booking: &Booking) -> Option<Booked> {
        let ask = wire::Ask::Book(booking.into());
        let call = self.link.call(&booking.registrar, ask);
        match tokio::time::timeout(BOOKING_LIMIT, call).await {
            Ok(Ok(wire::Reply::Booked(booked))) => booked.into(),
            _ => {
                let (registrar, upstream) = (booking.registrar.as_str(), booking.upstream.as_str());
                debug!("booking_unanswered", kv: { registrar, upstream });
                None
            }
        }
    }
}

impl From<&Booking> for wire::Book {
    fn from(booking: &Booking) -> Self {
        Self {
            upstream: booking.upstream.clone(),
            prefill_ms: booking.prefill.as_millis() as u32,
            limit_ms: booking.limit.as_millis() as u32,
            tokens: booking.tokens,
        }
    }
}

impl From<wire::Book> for Booking {
    fn from(book: wire::Book) -> Self {
        Self {
            registrar: String::new(),
            upstream: book.upstream,
            prefill: Duration::from_millis(u64::from(book.prefill_ms)),
            limit: Duration::from_millis(u64::from(book.limit_ms)),
            tokens: book.tokens,
        }
    }
}

impl From<Booked> for wire::Booked {
    fn from(booked: Booked) -> Self {
        let backlog_ms = booked.backlog.as_millis() as u32;
        Self { known: true, accepted: booked.accepted, backlog_ms, memory: booked.memory }
    }
}

impl From<wire::Booked> for Option<Booked> {
    fn from(booked: wire::Booked) -> Self {
        let backlog = Duration::from_millis(u64::from(booked.backlog_ms));
        let (accepted, memory) = (booked.accepted, booked.memory);
        booked.known.then_some(Booked { accepted, backlog, memory })
    }
}

/// Fetches from a peer what the store has not told in time.
struct Pull {
    follower: Follower,
    link: Arc<dyn Link>,
    beat: wire::Heartbeat,
    near: bool,
}

impl Pull {
    async fn run(self) {
        tokio::time::sleep(PULL_DELAY).await;
        let address = &self.beat.peer_address;
        let number = self.follower.routes().number();
        if self.beat.number > number {
            let ask = wire::Ask::Pull(wire::Pull { number });
            if let Ok(wire::Reply::Accepted(accepted)) = self.link.call(address, ask).await
                && let Some(table) = parse(&accepted)
            {
                self.follower.offer_routes(table);
            }
        }
        let revision = self.follower.listed().revision();
        if self.near && self.beat.revision > revision {
            let ask = wire::Ask::Upstreams(wire::Pull { number: revision });
            if let Ok(wire::Reply::Upstreams(accepted)) = self.link.call(address, ask).await
                && let Some(listing) = parse::<Listing>(&accepted)
            {
                self.follower.offer_upstreams(listing);
            }
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(accepted: &wire::Accepted) -> Option<T> {
    if accepted.json.is_empty() {
        return None;
    }
    serde_json::from_str(&accepted.json)
        .inspect_err(|reason| {
            warn!("peer_value_unreadable", kv: {
                number = accepted.number, reason:? = reason.to_string()
            });
        })
        .ok()
}
