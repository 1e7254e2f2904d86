//! Task that owns the table of members and publishes the view of it.

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

/// Time for which a member that was reported by others and not heard counts as alive, if each
/// member is called in each round. A rotation of several rounds multiplies it.
const PROVISIONAL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Incarnation of a member that was reported by others and not heard.
const UNKNOWN_INCARNATION: u64 = 0;

/// Leaving upstreams as reported by another member.
struct LeavingReport {
    upstreams: Vec<String>,
    reporter: String,
    received_at: Duration,
}

/// State of the membership task.
pub struct Task {
    clock: Clock,
    local: Arc<LocalMember>,
    table: Table,
    timing: Timing,
    seeds: Vec<String>,
    listed: Vec<Vm>,
    leaving_reports: Vec<LeavingReport>,
    delegate: Arc<dyn Delegate>,
    published: Published,
    /// Numbers of near and of far members that are alive, without this one.
    alive_counts: (usize, usize),
    /// Names of members that recently did not answer this one, and when that was detected.
    unreachable: Vec<(String, Duration)>,
    /// Names of members that recently did not answer another member, and when that was reported.
    suspected: Vec<(String, Duration)>,
}

/// Channels on which the task publishes its state.
pub struct Published {
    /// Current view of the members.
    pub view: watch::Sender<Arc<View>>,
    /// Peers to which heartbeats are sent.
    pub targets: watch::Sender<Arc<Vec<Target>>>,
}

impl Task {
    /// Creates the task of the member `local`, which calls the addresses `seeds` first.
    pub fn new(
        (clock, timing): (Clock, Timing),
        local: Arc<LocalMember>,
        seeds: Vec<String>,
        delegate: Arc<dyn Delegate>,
        published: Published,
    ) -> Self {
        Self {
            clock,
            local,
            table: Table::new(timing.timeout),
            timing,
            seeds,
            listed: Vec::new(),
            leaving_reports: Vec::new(),
            delegate,
            published,
            alive_counts: (0, 0),
            unreachable: Vec::new(),
            suspected: Vec::new(),
        }
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut refresh = tokio::time::interval(self.timing.period);
        loop {
            tokio::select! {
                biased;
                _ = refresh.tick() => self.publish(),
                message = messages.recv() => match message {
                    Some(Message::Heartbeat(beat)) => self.handle_heartbeat(*beat),
                    Some(Message::Unanswered(address)) => self.handle_unanswered(&address),
                    Some(Message::Listed(vms)) => self.set_listed(vms),
                    Some(Message::Provisional(others)) => {
                        self.add_provisional(others);
                        self.publish();
                    }
                    None => return,
                },
            }
        }
    }

    /// Handles a heartbeat. A change of the members or their state is published at once. Other
    /// values are published with the next refresh, which keeps the cost of each heartbeat low.
    fn handle_heartbeat(&mut self, beat: wire::Heartbeat) {
        if beat.name == self.local.heartbeat.name {
            return;
        }
        let now = self.clock.now();
        self.delegate.handle_heartbeat(&beat);
        let reported = beat.members.iter().map(Member::from);
        let unknown: Vec<_> =
            reported.filter(|member| !self.table.contains(&member.name)).collect();
        let mut changed = !unknown.is_empty();
        self.add_provisional(unknown);
        changed |= self.record_leaving_report(now, &beat);
        changed |= self.record_unreachable_report(now, &beat);
        let beat = Heartbeat::from(beat);
        let (near, alive_count) = self.distance_and_alive_count(&beat.zone);
        let known = self.table.member(&beat.name);
        changed |=
            known.is_none_or(|known| !known.is_alive(now) || !known.beat.is_equivalent(&beat));
        self.unreachable.retain(|(name, _)| *name != beat.name);
        self.suspected.retain(|(name, _)| *name != beat.name);
        self.table.record_heartbeat_with_timeout(
            now,
            beat,
            self.timing.rotation_timeout(near, alive_count),
        );
        if changed {
            self.publish();
        }
    }

    /// Records the leaving upstreams that a member reports; returns whether they changed.
    fn record_leaving_report(&mut self, now: Duration, beat: &wire::Heartbeat) -> bool {
        let known = self.leaving_reports.iter().position(|report| report.reporter == beat.name);
        let before =
            known.map(|at| self.leaving_reports.swap_remove(at).upstreams).unwrap_or_default();
        let upstreams = beat.leaving_upstreams.clone();
        let changed = upstreams != before;
        if !upstreams.is_empty() {
            self.leaving_reports.push(LeavingReport {
                upstreams,
                reporter: beat.name.clone(),
                received_at: now,
            });
        }
        changed
    }

    /// Records the members that a peer could not reach; returns whether one of them is newly
    /// suspected and therefore to be called in each round.
    fn record_unreachable_report(&mut self, now: Duration, beat: &wire::Heartbeat) -> bool {
        let mut newly_suspected = false;
        for name in &beat.unreachable_members {
            let known = self.table.member(name).filter(|member| member.is_alive(now));
            let silent = known.is_some_and(|member| self.is_silent(now, &member.beat));
            if silent && self.suspected.iter().all(|(suspected, _)| suspected != name) {
                self.suspected.push((name.clone(), now));
                newly_suspected = true;
            }
        }
        newly_suspected
    }

    /// Handles a failed call to the member at `address`. The member is marked as dead unless it was
    /// heard recently, because the timeout of members that are called in rotation is long. A member
    /// that was never heard is left to its timeout.
    fn handle_unanswered(&mut self, address: &str) {
        let now = self.clock.now();
        let unanswered = self.table.alive(now).find(|member| member.beat.peer_address == address);
        let Some(beat) = unanswered.map(|member| member.beat.clone()) else {
            return;
        };
        if beat.incarnation == UNKNOWN_INCARNATION || !self.is_silent(now, &beat) {
            return;
        }
        info!("member_unreachable", kv: { name = beat.name, zone = beat.zone });
        self.table.mark_dead(&beat.name);
        self.suspected.retain(|(name, _)| *name != beat.name);
        self.unreachable.push((beat.name, now));
        self.publish();
    }

    /// Whether a member was not heard within the timeout of one that is called in each round.
    fn is_silent(&self, now: Duration, beat: &Heartbeat) -> bool {
        let base_timeout = self.timing.base_timeout(self.delegate.is_near(&beat.zone));
        self.table.member(&beat.name).is_some_and(|member| member.heard + base_timeout < now)
    }

    /// Whether members of a zone are near, and the number of live near or far members respectively.
    fn distance_and_alive_count(&self, zone: &str) -> (bool, usize) {
        let near = self.delegate.is_near(zone);
        (near, if near { self.alive_counts.0 } else { self.alive_counts.1 })
    }

    fn add_provisional(&mut self, others: Vec<Member>) {
        let now = self.clock.now();
        for Member { name, zone, peer_address } in others {
            if name != self.local.heartbeat.name {
                let (_, alive_count) = self.distance_and_alive_count(&zone);
                let timeout = PROVISIONAL_TIMEOUT * self.timing.rounds_per_rotation(alive_count);
                let beat = Heartbeat { name, zone, peer_address, ..Heartbeat::default() };
                self.table.record_heartbeat_with_timeout(now, beat, timeout);
            }
        }
    }

    fn set_listed(&mut self, vms: Vec<Vm>) {
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
        self.alive_counts = (near, alive.len() - near);
        self.unreachable.retain(|(_, at)| *at + timeout >= now);
        self.suspected.retain(|(_, at)| *at + timeout >= now);
        let unreachable = self.unreachable.iter().map(|(name, _)| name.clone()).collect();
        let listed_leaving = self.listed_leaving();
        let leaving_upstreams: BTreeSet<_> =
            listed_leaving.iter().cloned().chain(self.reported_leaving(now)).collect();
        let known = self.table.members().map(|member| Member::from(&member.beat)).collect();
        let view = View { alive, listed_leaving, leaving_upstreams, unreachable };
        self.delegate.handle_view_change(known, &view);
        self.published.view.send_replace(Arc::new(view));
        self.published.targets.send_if_modified(|targets| {
            let new_targets = self.choose_targets(now);
            let changed = **targets != new_targets;
            *targets = Arc::new(new_targets);
            changed
        });
    }

    fn listed_leaving(&self) -> BTreeSet<String> {
        let leaving = self.listed.iter().filter(|vm| !vm.entry && vm.leaving);
        leaving.map(|vm| vm.name.clone()).collect()
    }

    fn reported_leaving(&mut self, now: Duration) -> Vec<String> {
        let timeout = self.timing.timeout;
        self.leaving_reports.retain(|report| report.received_at + timeout >= now);
        self.leaving_reports.iter().flat_map(|report| report.upstreams.iter().cloned()).collect()
    }

    /// Whether this member sends the heartbeats between itself and `other`. The choice is by hash,
    /// so that each zone calls some members of every other zone.
    fn initiates_calls_to(&self, other: &str) -> bool {
        let own = self.local.heartbeat.name.as_str();
        (score(own, other), own) < (score(other, own), other)
    }

    /// Peers to send heartbeats to. Peers that are not alive or were never heard are called by
    /// every member.
    fn choose_targets(&self, now: Duration) -> Vec<Target> {
        let mut not_alive: BTreeSet<_> = self.seeds.iter().cloned().collect();
        not_alive.extend(self.listed.iter().filter(|vm| vm.entry).map(|vm| vm.address.clone()));
        not_alive.extend(self.table.members().map(|member| member.beat.peer_address.clone()));
        not_alive.remove(&self.local.heartbeat.peer_address);
        let mut targets = Vec::new();
        for member in self.table.alive(now) {
            not_alive.remove(&member.beat.peer_address);
            let near = self.delegate.is_near(&member.beat.zone);
            let provisional = member.beat.incarnation == UNKNOWN_INCARNATION;
            let in_rotation =
                provisional || !self.timing.one_sided || self.initiates_calls_to(&member.beat.name);
            let suspected = self.suspected.iter().any(|(name, _)| *name == member.beat.name);
            let address = member.beat.peer_address.clone();
            targets.push(Target { address, near, in_rotation, suspected });
        }
        let to_target =
            |address| Target { address, near: false, in_rotation: true, suspected: false };
        targets.extend(not_alive.into_iter().map(to_target));
        targets
    }
}
