//! An entry VM's part in membership: what its heartbeats tell, and what it takes from others.

use super::pull::Pull;
use crate::fleet::Upstream;
use crate::follower::Follower;
use crate::members::{Host, View};
use crate::peer::Link;
use crate::placement::{Load, Peer, Placer, Reported, Successor};
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use coordination::rendezvous::first;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Up to so many other entry VMs, all hear of everything; more share loads and losses by zone.
const SMALL: usize = 8;
/// Up to so many other entry VMs, those of other zones hear what engines hold; where there are more,
/// their turns are so far apart that it would be too old.
const FRESH: usize = 40;
/// Key for which the entry VM of a zone ranks first that watches the store's upstreams closely, for the
/// others too.
const STORE: &str = "store";

/// An entry VM's part in membership.
pub struct EntryHost {
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
}

impl EntryHost {
    /// Part of the entry VM `name` in `zone`.
    pub fn new(
        (name, zone): (&str, &str),
        follower: Follower,
        placer: Placer,
        link: Arc<dyn Link>,
        scope: Scope,
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
        }
    }
}

impl Host for EntryHost {
    fn is_near(&self, zone: &str) -> bool {
        zone == self.zone || self.members.load(Ordering::Relaxed) <= SMALL
    }

    fn describe(&self, beat: &mut wire::Heartbeat, near: bool) {
        beat.number = self.follower.routes().number();
        beat.revision = self.follower.revision();
        beat.ready = self.follower.is_ready();
        if near || self.follower.is_store_away() {
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

    fn heard(&self, beat: &wire::Heartbeat) {
        beat.lost_upstreams.iter().for_each(|id| self.placer.reported_gone(id));
        for departure in &beat.departures {
            self.placer.reported_departing(&departure.upstream, departure.incarnation);
        }
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
        let near = self.is_near(&beat.zone);
        let is_newer = beat.number > self.follower.routes().number()
            || near && beat.revision > self.follower.revision();
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
        let peers = view.alive.iter().map(|beat| Peer {
            name: beat.name.clone(),
            zone: beat.zone.clone(),
            address: beat.peer_address.clone(),
            leaving: beat.leaving,
        });
        let peers: Vec<_> = peers.collect();
        let of_zone = view.alive.iter().filter(|beat| beat.zone == self.zone && !beat.leaving);
        let names = of_zone.map(|beat| beat.name.as_str()).chain([self.name.as_str()]);
        let relays = first(names, STORE) == Some(&self.name);
        self.follower.set_relay(relays || peers.len() <= SMALL);
        self.members.store(peers.len(), Ordering::Relaxed);
        self.placer.set_members(peers);
    }
}
