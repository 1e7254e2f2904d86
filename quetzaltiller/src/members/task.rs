//! The task that owns the members.

use super::target::Target;
use super::{Delegate, Message, Timing, View};
use crate::clock::Clock;
use crate::control::Member;
use crate::local_member::LocalMember;
use crate::platform::Vm;
use crate::prelude::*;
use crate::wire;
use coordination::membership::{Heartbeat, Table};
use coordination::rendezvous::score;
use std::collections::BTreeSet;
use tokio::sync::{mpsc, watch};

/// Time for which a member is taken as alive that was introduced and not heard.
const TRUST: Duration = Duration::from_millis(2_500);
/// Incarnation of a member that was not heard.
const UNHEARD: u64 = 0;

/// What another member says of upstreams that leave.
struct LeavingNews {
    upstreams: Vec<String>,
    by: String,
    at: Duration,
}

/// The task.
pub struct Task {
    clock: Clock,
    local: Arc<LocalMember>,
    table: Table,
    timing: Timing,
    seeds: Vec<String>,
    listed: Vec<Vm>,
    news: Vec<LeavingNews>,
    delegate: Arc<dyn Delegate>,
    published: Published,
    /// Others that are alive: near ones and far ones.
    counts: (usize, usize),
    /// Members that did not answer this one lately, and when that was found.
    unreachable: Vec<(String, Duration)>,
    /// Members that did not answer a peer lately, and when that was heard.
    doubted: Vec<(String, Duration)>,
}

/// What the task tells whoever watches.
pub struct Published {
    /// Members.
    pub view: watch::Sender<Arc<View>>,
    /// Peers to call.
    pub targets: watch::Sender<Arc<Vec<Target>>>,
}

impl Task {
    /// The task of `local`, which calls `seeds` to begin with.
    pub fn new(
        (clock, timing): (Clock, Timing),
        local: Arc<LocalMember>,
        seeds: Vec<String>,
        host: Arc<dyn Delegate>,
        published: Published,
    ) -> Self {
        Self {
            clock,
            local,
            table: Table::new(timing.timeout),
            timing,
            seeds,
            listed: Vec::new(),
            news: Vec::new(),
            delegate: host,
            published,
            counts: (0, 0),
            unreachable: Vec::new(),
            doubted: Vec::new(),
        }
    }

    /// Runs until all handles are gone.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut refresh = tokio::time::interval(self.timing.period);
        loop {
            tokio::select! {
                biased;
                _ = refresh.tick() => self.publish(),
                message = messages.recv() => match message {
                    Some(Message::Hear(beat)) => self.hear(*beat),
                    Some(Message::Unanswered(address)) => self.miss(&address),
                    Some(Message::Vms(vms)) => self.list(vms),
                    Some(Message::Introduced(others)) => {
                        self.introduce(others);
                        self.publish();
                    }
                    None => return,
                },
            }
        }
    }

    /// Takes a heartbeat. Others are only told at once what changes who is there; the rest shows with
    /// the next refresh, so that many heartbeats cost little each.
    fn hear(&mut self, beat: wire::Heartbeat) {
        if beat.name == self.local.heartbeat.name {
            return;
        }
        let now = self.clock.now();
        self.delegate.handle_heartbeat(&beat);
        let told = beat.members.iter().map(Member::from);
        let unknown: Vec<_> = told.filter(|member| !self.table.contains(&member.name)).collect();
        let mut changes = !unknown.is_empty();
        self.introduce(unknown);
        changes |= self.take_leaving(now, &beat);
        changes |= self.doubt(now, &beat);
        let beat = Heartbeat::from(beat);
        let (near, among) = self.kind(&beat.zone);
        let known = self.table.member(&beat.name);
        changes |=
            known.is_none_or(|known| !known.is_alive(now) || !known.beat.is_equivalent(&beat));
        self.unreachable.retain(|(name, _)| *name != beat.name);
        self.doubted.retain(|(name, _)| *name != beat.name);
        self.table.record_heartbeat_with_timeout(now, beat, self.timing.timeout_among(near, among));
        if changes {
            self.publish();
        }
    }

    /// Takes which upstreams leave; true when that is news.
    fn take_leaving(&mut self, now: Duration, beat: &wire::Heartbeat) -> bool {
        let known = self.news.iter().position(|news| news.by == beat.name);
        let before = known.map(|at| self.news.swap_remove(at).upstreams).unwrap_or_default();
        let upstreams = beat.leaving_upstreams.clone();
        let changes = upstreams != before;
        if !upstreams.is_empty() {
            self.news.push(LeavingNews { upstreams, by: beat.name.clone(), at: now });
        }
        changes
    }

    /// Takes which members a peer could not reach; true where one is to be called out of turn.
    fn doubt(&mut self, now: Duration, beat: &wire::Heartbeat) -> bool {
        let mut news = false;
        for name in &beat.unreachable_members {
            let known = self.table.member(name).filter(|member| member.is_alive(now));
            let silent = known.is_some_and(|member| self.is_silent(now, &member.beat));
            if silent && self.doubted.iter().all(|(doubted, _)| doubted != name) {
                self.doubted.push((name.clone(), now));
                news = true;
            }
        }
        news
    }

    /// Notes that the member at `address` did not answer. It is no longer taken as alive unless it was
    /// heard lately; members in turns are otherwise trusted for long.
    fn miss(&mut self, address: &str) {
        let now = self.clock.now();
        let missed = self.table.alive(now).find(|member| member.beat.peer_address == address);
        let Some(beat) = missed.map(|member| member.beat.clone()) else {
            return;
        };
        if beat.incarnation == UNHEARD || !self.is_silent(now, &beat) {
            return;
        }
        info!("member_unreachable", kv: { name = beat.name, zone = beat.zone });
        self.table.mark_dead(&beat.name);
        self.doubted.retain(|(name, _)| *name != beat.name);
        self.unreachable.push((beat.name, now));
        self.publish();
    }

    /// Whether a member was not heard in the time in which one is that is called in each round.
    fn is_silent(&self, now: Duration, beat: &Heartbeat) -> bool {
        let patience = self.timing.patience(self.delegate.is_near(&beat.zone));
        self.table.member(&beat.name).is_some_and(|member| member.heard + patience < now)
    }

    /// Whether members of a zone are near, and how many of that kind are alive.
    fn kind(&self, zone: &str) -> (bool, usize) {
        let near = self.delegate.is_near(zone);
        (near, if near { self.counts.0 } else { self.counts.1 })
    }

    fn introduce(&mut self, others: Vec<Member>) {
        let now = self.clock.now();
        for Member { name, zone, peer_address } in others {
            if name != self.local.heartbeat.name {
                let (_, among) = self.kind(&zone);
                let trust = TRUST * self.timing.turns(among);
                let beat = Heartbeat { name, zone, peer_address, ..Heartbeat::default() };
                self.table.record_heartbeat_with_timeout(now, beat, trust);
            }
        }
    }

    fn list(&mut self, vms: Vec<Vm>) {
        for vm in vms.iter().filter(|vm| vm.entry && vm.leaving) {
            self.table.mark_leaving(&vm.name);
        }
        self.listed = vms;
        self.publish();
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let timeout = self.timing.timeout;
        self.table.expire(now, self.timing.retention);
        let alive: Vec<_> = self.table.alive(now).map(|member| member.beat.clone()).collect();
        let near = alive.iter().filter(|beat| self.delegate.is_near(&beat.zone)).count();
        self.counts = (near, alive.len() - near);
        self.unreachable.retain(|(_, at)| *at + timeout >= now);
        self.doubted.retain(|(_, at)| *at + timeout >= now);
        let unreachable = self.unreachable.iter().map(|(name, _)| name.clone()).collect();
        let listed_leaving = self.listed_leaving();
        let leaving_upstreams: BTreeSet<_> =
            listed_leaving.iter().cloned().chain(self.reported_leaving(now)).collect();
        let known = self.table.members().map(|member| member.beat.name.clone()).collect();
        let view = View { alive, listed_leaving, leaving_upstreams, unreachable };
        self.delegate.handle_view_change(known, &view);
        self.published.view.send_replace(Arc::new(view));
        self.published.targets.send_if_modified(|targets| {
            let fresh = self.choose_targets(now);
            let changed = **targets != fresh;
            *targets = Arc::new(fresh);
            changed
        });
    }

    fn listed_leaving(&self) -> BTreeSet<String> {
        let leaving = self.listed.iter().filter(|vm| !vm.entry && vm.leaving);
        leaving.map(|vm| vm.name.clone()).collect()
    }

    fn reported_leaving(&mut self, now: Duration) -> Vec<String> {
        let timeout = self.timing.timeout;
        self.news.retain(|news| news.at + timeout >= now);
        self.news.iter().flat_map(|news| news.upstreams.iter().cloned()).collect()
    }

    /// Whether this member calls the other of a pair: by lot, so that each zone calls some of each other.
    fn calls(&self, other: &str) -> bool {
        let own = self.local.heartbeat.name.as_str();
        (score(own, other), own) < (score(other, own), other)
    }

    /// Peers to call; whoever is not heard is called by all.
    fn choose_targets(&self, now: Duration) -> Vec<Target> {
        let mut silent: BTreeSet<_> = self.seeds.iter().cloned().collect();
        silent.extend(self.listed.iter().filter(|vm| vm.entry).map(|vm| vm.address.clone()));
        silent.extend(self.table.members().map(|member| member.beat.peer_address.clone()));
        silent.remove(&self.local.heartbeat.peer_address);
        let mut targets = Vec::new();
        for member in self.table.alive(now) {
            silent.remove(&member.beat.peer_address);
            let near = self.delegate.is_near(&member.beat.zone);
            let unheard = member.beat.incarnation == UNHEARD;
            let due = unheard || !self.timing.one_sided || self.calls(&member.beat.name);
            let doubted = self.doubted.iter().any(|(name, _)| *name == member.beat.name);
            let address = member.beat.peer_address.clone();
            targets.push(Target { address, near, due, doubted });
        }
        let unheard = |address| Target { address, near: false, due: true, doubted: false };
        targets.extend(silent.into_iter().map(unheard));
        targets
    }
}
