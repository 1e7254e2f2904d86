//! An entry VM's part in membership: what its heartbeats tell, and what it takes from others.

use super::lag::Lag;
use super::pull::Pull;
use crate::clock::Clock;
use crate::fleet::Upstream;
use crate::follower::{Follower, Role};
use crate::members::{Delegate, View};
use crate::peer::Link;
use crate::placement::{Load, Peer, Placer, Reported, Successor};
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use coordination::rendezvous::rank;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Up to so many other entry VMs, all hear of everything; more share loads and losses by zone.
const SMALL: usize = 8;
/// Up to so many other entry VMs, those of other zones hear what engines hold; where there are more,
/// their turns are so far apart that it would be too old.
const FRESH: usize = 40;
/// Key for which the entry VMs of a zone rank first that watch the store's upstreams for the others.
const STORE: &str = "store";

/// Entry VMs of a zone that watch the store for the others.
const WATCHERS: usize = 2;

/// An entry VM's part in membership.
pub struct EntryDelegate {
    name: String,
    zone: String,
    follower: Follower,
    placer: Placer,
    link: Arc<dyn Link>,
    scope: Scope,
    /// A pull is at work.
    pulls: Arc<AtomicBool>,
    /// Other entry VMs that are alive.
    members: AtomicUsize,
    clock: Clock,
    watchers: Mutex<Watchers>,
}

/// Who watches the store.
#[derive(Default)]
struct Watchers {
    /// Names of those that watch it for this zone.
    names: Vec<String>,
    /// How far this entry VM is behind other zones.
    lag: Lag,
}

impl EntryDelegate {
    /// Part of the entry VM `name` in `zone`.
    pub fn new(
        (name, zone): (&str, &str),
        follower: Follower,
        placer: Placer,
        link: Arc<dyn Link>,
        (scope, clock): (Scope, Clock),
    ) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            follower,
            placer,
            link,
            scope,
            pulls: Arc::default(),
            members: AtomicUsize::new(0),
            clock,
            watchers: Mutex::default(),
        }
    }

    fn watchers(&self) -> MutexGuard<'_, Watchers> {
        self.watchers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a member has upstreams that are worth a pull. Far members are only asked where the own
    /// zone does not tell, as bytes between zones are dear.
    fn has_newer_upstreams(&self, beat: &wire::Heartbeat) -> bool {
        let known = self.follower.revision();
        if self.is_near(&beat.zone) {
            return beat.revision > known;
        }
        self.watchers().lag.note(self.clock.now(), beat.revision, known)
    }
}

impl Delegate for EntryDelegate {
    fn is_near(&self, zone: &str) -> bool {
        zone == self.zone || self.members.load(Ordering::Relaxed) <= SMALL
    }

    fn fill_heartbeat(&self, beat: &mut wire::Heartbeat, near: bool) {
        beat.number = self.follower.routes().number();
        beat.revision = self.follower.revision();
        beat.ready = self.follower.is_ready();
        if near || self.follower.is_store_unreachable() {
            let tell = |successor: &Successor| wire::Successor {
                lost: successor.lost.clone(),
                id: successor.upstream.id.clone(),
            };
            beat.successors = self.follower.successors().iter().map(tell).collect();
        }
        // Far members only need what engines hold, to place copies.
        let load = |(upstream, load): (&String, &Load)| wire::Load {
            upstream: upstream.clone(),
            in_flight: if near { load.in_flight } else { 0 },
            backlog_ms: if near { load.backlog.as_millis() as u32 } else { 0 },
            tokens: if near { load.tokens } else { 0 },
            reported_tokens: load.reported.map(|reported| reported.tokens),
            reported_requests: load.reported.map_or(0, |reported| reported.requests),
            reported_unread: load.reported.map_or(0, |reported| reported.unread),
        };
        let fresh = self.members.load(Ordering::Relaxed) <= FRESH;
        let told = |(_, load): &(&String, &Load)| near || fresh && load.reported.is_some();
        beat.loads = self.placer.loads().iter().filter(told).map(load).collect();
        let departure = |(id, incarnation): (&String, &u64)| wire::Departure {
            upstream: id.clone(),
            incarnation: *incarnation,
        };
        beat.departures = self.placer.departing().iter().map(departure).collect();
        if near {
            beat.lost_upstreams = self.placer.lost().borrow().as_ref().clone();
        }
    }

    fn handle_heartbeat(&self, beat: &wire::Heartbeat) {
        beat.lost_upstreams.iter().for_each(|id| self.placer.record_peer_unreachable(id));
        for departure in &beat.departures {
            self.placer.record_peer_departure(&departure.upstream, departure.incarnation);
        }
        let load = |load: &wire::Load| {
            let backlog = Duration::from_millis(u64::from(load.backlog_ms));
            let (requests, unread) = (load.reported_requests, load.reported_unread);
            let reported = load.reported_tokens.map(|tokens| Reported { tokens, requests, unread });
            let (in_flight, tokens) = (load.in_flight, load.tokens);
            let known = Load { in_flight, backlog, tokens, reported };
            (load.upstream.clone(), known)
        };
        self.placer.record_loads(&beat.name, beat.loads.iter().map(load).collect());
        let directory = self.follower.directory();
        for told in &beat.successors {
            if let Some(lost) = directory.upstream(&told.lost) {
                let upstream = Upstream { id: told.id.clone(), incarnation: 0, ..(**lost).clone() };
                self.follower.apply_successor(Successor { lost: told.lost.clone(), upstream });
            }
        }
        if self.watchers().names.contains(&beat.name) {
            self.follower.record_relay_contact();
        }
        let upstreams = self.has_newer_upstreams(beat);
        let is_newer = upstreams || beat.number > self.follower.routes().number();
        if !is_newer || self.pulls.swap(true, Ordering::Relaxed) {
            return;
        }
        let pull = Pull {
            follower: self.follower.clone(),
            link: self.link.clone(),
            beat: beat.clone(),
            upstreams,
        };
        let pulls = self.pulls.clone();
        self.scope.spawn(async move {
            pull.run().await;
            pulls.store(false, Ordering::Relaxed);
        });
    }

    fn handle_view_change(&self, _known: Vec<String>, view: &View) {
        let peers = view.alive.iter().map(|beat| Peer {
            name: beat.name.clone(),
            zone: beat.zone.clone(),
            address: beat.peer_address.clone(),
            leaving: beat.leaving,
        });
        let peers: Vec<_> = peers.collect();
        let of_zone = view.alive.iter().filter(|beat| beat.zone == self.zone && !beat.leaving);
        let names = of_zone.map(|beat| beat.name.as_str()).chain([self.name.as_str()]);
        let ranked = rank(names, STORE);
        let role = match ranked.iter().position(|name| *name == self.name) {
            _ if peers.len() <= SMALL => Role::Relay,
            Some(0) => Role::Relay,
            Some(1) => Role::Deputy,
            _ => Role::Relayed,
        };
        self.watchers().names = ranked.into_iter().take(WATCHERS).map(str::to_owned).collect();
        self.follower.set_role(role);
        self.members.store(peers.len(), Ordering::Relaxed);
        self.placer.set_members(peers);
    }
}
