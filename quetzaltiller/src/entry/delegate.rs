//! Membership delegate of an entry VM: fills its heartbeats and handles those of other entry VMs.

use super::lag::Lag;
use super::pull::Pull;
use crate::clock::Clock;
use crate::control::Member;
use crate::fleet::Upstream;
use crate::follower::{Follower, Role};
use crate::members::{Delegate, View};
use crate::peer::Link;
use crate::placement::{Load, Peer, Placer, Reported, Statement, Successor};
use crate::prelude::*;
use crate::quarantine::Quarantine;
use crate::scope::Scope;
use crate::upstream::Limit;
use crate::wire;
use coordination::rendezvous::rank;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum number of other entry VMs up to which each shares all its state with all others; where
/// there are more, loads and losses are shared within a zone.
const MAX_MEMBERS_SHARING_ALL: usize = 8;
/// Maximum number of other entry VMs up to which heartbeats to other zones carry what engines hold.
/// Where there are more, each member's turn comes so rarely that the data would be out of date.
const MAX_MEMBERS_SHARING_FAR_LOADS: usize = 40;
/// Maximum number of changed limits in a heartbeat, which takes 50 bytes for each.
const MAX_LIMITS_PER_HEARTBEAT: usize = 64;
/// Time for which a changed limit is sent to all members: several rotations of heartbeats among a
/// few hundred.
const NEWS_DURATION: Duration = Duration::from_secs(10);
/// Rendezvous key; the entry VMs of a zone that rank first for it watch the store's upstreams for
/// the others.
const STORE_WATCH_KEY: &str = "store";

/// Number of entry VMs in a zone that watch the store for the others.
const WATCHERS_PER_ZONE: usize = 2;

/// Membership delegate of an entry VM.
pub struct EntryDelegate {
    name: String,
    zone: String,
    follower: Follower,
    placer: Placer,
    quarantine: Quarantine,
    link: Arc<dyn Link>,
    scope: Scope,
    /// Whether a pull from a peer is running.
    is_pulling: Arc<AtomicBool>,
    /// Number of other entry VMs that are alive.
    member_count: AtomicUsize,
    clock: Clock,
    watchers: Mutex<Watchers>,
    /// Position in the rotation of unchanged limits.
    next_limit: AtomicUsize,
}

/// Entry VMs that watch the store for this zone.
#[derive(Default)]
struct Watchers {
    /// Names of the entry VMs that watch the store.
    names: Vec<String>,
    /// Detects that this entry VM lags behind other zones.
    lag: Lag,
    /// Silences of the store that other entry VMs have noticed, by their names.
    silences: BTreeMap<String, u32>,
}

impl Watchers {
    /// Records the silences that another entry VM has noticed; returns whether it watches the store
    /// for this one and has noticed a new one.
    fn record_silences(&mut self, name: &str, silences: u32) -> bool {
        let known = self.silences.insert(name.to_owned(), silences);
        known.is_some_and(|known| known < silences) && self.names.iter().any(|n| n == name)
    }
}

impl EntryDelegate {
    /// Creates the delegate of the entry VM `name` in `zone`.
    pub fn new(
        (name, zone): (&str, &str),
        (follower, placer, quarantine): (Follower, Placer, Quarantine),
        link: Arc<dyn Link>,
        (scope, clock): (Scope, Clock),
    ) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            follower,
            placer,
            quarantine,
            link,
            scope,
            is_pulling: Arc::default(),
            member_count: AtomicUsize::new(0),
            clock,
            watchers: Mutex::default(),
            next_limit: AtomicUsize::new(0),
        }
    }

    fn watchers(&self) -> MutexGuard<'_, Watchers> {
        self.watchers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Limits of upstreams to send: those that changed recently, and for near members one of the
    /// others in turn, for entry VMs that have started since.
    fn limits(&self, near: bool) -> Vec<wire::Limit> {
        let now = self.clock.uptime();
        let statements = self.placer.statements();
        let is_news = |statement: &Statement| now < statement.learned_at + NEWS_DURATION;
        let (news, old): (Vec<_>, Vec<_>) =
            statements.iter().partition(|(_, statement)| is_news(statement));
        let turn = self.next_limit.fetch_add(1, Ordering::Relaxed) % old.len().max(1);
        let in_turn = old.into_iter().skip(turn).take(usize::from(near));
        let news = news.into_iter().take(MAX_LIMITS_PER_HEARTBEAT);
        news.chain(in_turn).map(encode_statement).collect()
    }

    /// Whether the sender of `beat` has newer upstreams that should be pulled. Far members are only
    /// pulled from if the own zone delivers nothing in time, as bytes between zones are expensive.
    fn has_newer_upstreams(&self, beat: &wire::Heartbeat) -> bool {
        let (remote, own) = (beat.store_version(), self.follower.version());
        if self.is_near(&beat.zone) {
            return remote > own;
        }
        self.watchers().lag.record_version(self.clock.now(), remote, own)
    }
}

impl Delegate for EntryDelegate {
    fn is_near(&self, zone: &str) -> bool {
        zone == self.zone || self.member_count.load(Ordering::Relaxed) <= MAX_MEMBERS_SHARING_ALL
    }

    fn fill_heartbeat(&self, beat: &mut wire::Heartbeat, near: bool) {
        beat.number = self.follower.routes().number();
        beat.set_store_version(self.follower.version());
        beat.ready = self.follower.is_ready();
        beat.silences = self.follower.silences();
        if near || self.follower.is_store_unreachable() {
            let encode = |successor: &Successor| wire::Successor {
                lost: successor.lost.clone(),
                id: successor.upstream.id.clone(),
            };
            beat.successors = self.follower.successors().iter().map(encode).collect();
        }
        // Far members only need the reported memory use of engines, to place copies.
        let load = |(upstream, load): (&String, &Load)| wire::Load {
            upstream: upstream.clone(),
            in_flight: if near { load.in_flight } else { 0 },
            backlog_ms: if near { load.backlog.as_millis() as u32 } else { 0 },
            tokens: if near { load.tokens } else { 0 },
            reported_tokens: load.reported.map(|reported| reported.tokens),
            reported_requests: load.reported.map_or(0, |reported| reported.requests),
            reported_unread: load.reported.map_or(0, |reported| reported.unread),
        };
        let shares_far_loads =
            self.member_count.load(Ordering::Relaxed) <= MAX_MEMBERS_SHARING_FAR_LOADS;
        let is_shared =
            |(_, load): &(&String, &Load)| near || shares_far_loads && load.reported.is_some();
        beat.loads = self.placer.loads().iter().filter(is_shared).map(load).collect();
        let departure = |(id, incarnation): (&String, &u64)| wire::Departure {
            upstream: id.clone(),
            incarnation: *incarnation,
        };
        beat.departures = self.placer.departing().iter().map(departure).collect();
        beat.limits = self.limits(near);
        if near {
            beat.set_quarantine_version(self.quarantine.version());
            beat.lost_upstreams = self.placer.lost().borrow().as_ref().clone();
        }
    }

    fn handle_heartbeat(&self, beat: &wire::Heartbeat) {
        beat.lost_upstreams.iter().for_each(|id| self.placer.record_peer_unreachable(id));
        for departure in &beat.departures {
            self.placer.record_peer_departure(&departure.upstream, departure.incarnation);
        }
        for limit in &beat.limits {
            self.placer.record_peer_statement(&limit.upstream, decode_statement(limit));
        }
        self.quarantine.record_reported_version(beat.quarantine_version());
        let load = |load: &wire::Load| {
            let backlog = Duration::from_millis(u64::from(load.backlog_ms));
            let (requests, unread) = (load.reported_requests, load.reported_unread);
            let reported = load.reported_tokens.map(|tokens| Reported { tokens, requests, unread });
            let (in_flight, tokens) = (load.in_flight, load.tokens);
            let decoded = Load { in_flight, backlog, tokens, reported };
            (load.upstream.clone(), decoded)
        };
        self.placer.record_loads(&beat.name, beat.loads.iter().map(load).collect());
        let directory = self.follower.directory();
        for successor in &beat.successors {
            if let Some(lost) = directory.upstream(&successor.lost) {
                let upstream =
                    Upstream { id: successor.id.clone(), incarnation: 0, ..(**lost).clone() };
                self.follower.apply_successor(Successor { lost: successor.lost.clone(), upstream });
            }
        }
        if self.watchers().names.contains(&beat.name) {
            self.follower.record_relay_contact();
        }
        if self.watchers().record_silences(&beat.name, beat.silences) {
            self.follower.record_reported_silence();
        }
        let upstreams = self.has_newer_upstreams(beat);
        let is_newer = upstreams || beat.number > self.follower.routes().number();
        if !is_newer || self.is_pulling.swap(true, Ordering::Relaxed) {
            return;
        }
        let pull = Pull {
            follower: self.follower.clone(),
            link: self.link.clone(),
            beat: beat.clone(),
            upstreams,
        };
        let is_pulling = self.is_pulling.clone();
        self.scope.spawn(async move {
            pull.run().await;
            is_pulling.store(false, Ordering::Relaxed);
        });
    }

    fn handle_view_change(&self, known: Vec<Member>, view: &View) {
        let peers = view.alive.iter().map(|beat| Peer {
            name: beat.name.clone(),
            zone: beat.zone.clone(),
            address: beat.peer_address.clone(),
            leaving: beat.leaving,
        });
        let peers: Vec<_> = peers.collect();
        let in_zone = view.alive.iter().filter(|beat| beat.zone == self.zone && !beat.leaving);
        let names = in_zone.map(|beat| beat.name.as_str()).chain([self.name.as_str()]);
        let ranked = rank(names, STORE_WATCH_KEY);
        let role = match ranked.iter().position(|name| *name == self.name) {
            _ if peers.len() <= MAX_MEMBERS_SHARING_ALL => Role::Relay,
            Some(0) => Role::Relay,
            Some(1) => Role::Deputy,
            _ => Role::Relayed,
        };
        self.watchers().names =
            ranked.into_iter().take(WATCHERS_PER_ZONE).map(str::to_owned).collect();
        self.follower.set_role(role);
        self.member_count.store(peers.len(), Ordering::Relaxed);
        self.placer.set_members(peers, known);
    }
}

fn encode_statement((upstream, statement): (&String, &Statement)) -> wire::Limit {
    let per_second = match statement.limit {
        Limit::Unlimited => None,
        Limit::PerSecond(limit) => Some(limit),
    };
    let Statement { incarnation, number, .. } = *statement;
    wire::Limit { upstream: upstream.clone(), incarnation, number, per_second }
}

fn decode_statement(limit: &wire::Limit) -> Statement {
    let wire::Limit { incarnation, number, per_second, .. } = *limit;
    let limit = per_second.map_or(Limit::Unlimited, Limit::PerSecond);
    Statement { incarnation, number, limit, learned_at: Duration::ZERO }
}
