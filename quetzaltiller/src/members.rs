//! Heartbeats with the other entry VMs, and what they tell.
//!
//! Whoever runs the membership tasks is their [`Host`]: it completes the own heartbeat and takes
//! what the heartbeats of others tell.

use crate::clock::Clock;
use crate::control::Member;
use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::own::Own;
use crate::peer::Link;
use crate::platform::Vm;
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use coordination::membership::{Heartbeat, Table};
use coordination::rendezvous::rank;
use serde::Serialize;
use std::collections::BTreeSet;
use tokio::sync::{Notify, mpsc, watch};

/// Time for which a member is taken as alive that was introduced and not heard.
const TRUST: Duration = Duration::from_millis(2_500);
/// Incarnation of a member that was not heard.
const UNHEARD: u64 = 0;
/// Periods between heartbeats of far members.
const FAR_PERIODS: u32 = 3;
/// A silent member is forgotten after this many timeouts.
const FORGET_TIMEOUTS: u32 = 60;

/// Members as known at one time.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct View {
    /// Others that are alive.
    pub alive: Vec<Heartbeat>,
    /// Upstreams that the platform lists as leaving.
    pub listed_leaving: BTreeSet<String>,
    /// Upstreams that the platform or a peer says are leaving.
    pub leaving_upstreams: BTreeSet<String>,
}

impl View {
    /// Others that are alive, in the order in which they keep the answer `id`: those in other
    /// zones than `zone` first.
    pub fn keepers(&self, id: &str, zone: &str) -> Vec<&Heartbeat> {
        let ranked = rank(self.alive.iter().map(|beat| beat.name.as_str()), id);
        let mut keepers: Vec<_> = ranked
            .into_iter()
            .filter_map(|name| self.alive.iter().find(|beat| beat.name == name))
            .collect();
        keepers.sort_by_key(|beat| (beat.leaving, beat.zone == zone));
        keepers
    }

    /// Member by name.
    pub fn member(&self, name: &str) -> Option<&Heartbeat> {
        self.alive.iter().find(|beat| beat.name == name)
    }
}

/// Who runs the membership tasks.
pub trait Host: Send + Sync {
    /// Completes the heartbeat of this process for a near or a far member.
    fn describe(&self, beat: &mut wire::Heartbeat, near: bool);

    /// Whether a member gets every heartbeat, with all that changes often. Far ones get one in
    /// `FAR_PERIODS`.
    fn is_near(&self, _beat: &Heartbeat) -> bool {
        true
    }

    /// Takes the heartbeat of another.
    fn heard(&self, beat: &wire::Heartbeat);

    /// Takes the members as known now: all that are not forgotten, and those that are alive.
    fn changed(&self, known: Vec<String>, view: &View);
}

#[derive(Debug)]
enum Message {
    Hear(Box<wire::Heartbeat>),
    Vms(Vec<Vm>),
    Introduced(Vec<Member>),
}

/// Handle to the membership tasks.
#[derive(Clone)]
pub struct Members {
    own: Arc<Own>,
    host: Arc<dyn Host>,
    mailbox: Mailbox<Message>,
    view: watch::Receiver<Arc<View>>,
    hurry: Arc<Notify>,
}

/// Times of heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between heartbeats to one member.
    pub period: Duration,
    /// A member is alive for so long after its last heartbeat.
    pub timeout: Duration,
    /// Of two that hear each other only the first by name calls: half of the messages, and news
    /// that is twice as old.
    pub one_sided: bool,
}

/// What the membership tasks use.
pub struct Parts {
    /// Addresses of peers to begin with.
    pub seeds: Vec<String>,
    /// Times.
    pub timing: Timing,
    /// This process.
    pub own: Arc<Own>,
    /// Clock.
    pub clock: Clock,
    /// Other entry VMs.
    pub link: Arc<dyn Link>,
    /// Who runs the tasks.
    pub host: Arc<dyn Host>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl Members {
    /// Starts the tasks in `scope`.
    pub fn start(scope: &Scope, parts: Parts) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (sender, view) = watch::channel(Arc::default());
        let (targets_sender, targets) = watch::channel(Vec::new());
        let members = Self {
            own: parts.own,
            host: parts.host,
            mailbox: mailbox.clone(),
            view,
            hurry: Arc::default(),
        };
        let task = Task {
            clock: parts.clock,
            own: members.own.clone(),
            table: Table::new(parts.timing.timeout),
            timing: parts.timing,
            seeds: parts.seeds,
            listed: Vec::new(),
            news: Vec::new(),
            host: members.host.clone(),
            view: sender,
            targets: targets_sender,
        };
        scope.spawn(task.run(messages, parts.timing.period));
        let beats = Heartbeats {
            members: members.clone(),
            link: parts.link,
            metrics: parts.metrics,
            period: parts.timing.period,
            scope: scope.clone(),
        };
        scope.spawn(beats.run(targets));
        members
    }

    /// Takes the platform's list of VMs.
    pub fn set_listed(&self, vms: Vec<Vm>) {
        self.mailbox.tell(Message::Vms(vms));
    }

    /// Takes others on trust for a while, until they are heard.
    pub fn introduce(&self, others: Vec<Member>) {
        self.mailbox.tell(Message::Introduced(others));
    }

    /// Sends heartbeats without waiting for the next period.
    pub fn beat_now(&self) {
        self.hurry.notify_one();
    }

    /// Notices of changed members.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Members as known now.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Answers a peer's heartbeat.
    pub fn answer(&self, beat: wire::Heartbeat) -> wire::Heartbeat {
        let near = self.host.is_near(&beat.clone().into());
        let view = self.view.borrow().clone();
        let known = view.member(&beat.name).is_some_and(|m| m.incarnation == beat.incarnation);
        self.mailbox.tell(Message::Hear(Box::new(beat)));
        let mut answer = self.heartbeat(near);
        if !known {
            answer.members = view.alive.iter().map(wire::Member::from).collect();
        }
        answer
    }

    /// This process's heartbeat.
    pub fn heartbeat(&self, near: bool) -> wire::Heartbeat {
        let mut beat = wire::Heartbeat::from(self.own.heartbeat());
        self.host.describe(&mut beat, near);
        beat.leaving_upstreams = self.view.borrow().listed_leaving.iter().cloned().collect();
        beat
    }
}

/// A peer to send heartbeats to.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Target {
    address: String,
    near: bool,
    /// The peer does not call by itself.
    due: bool,
}

impl From<&Heartbeat> for wire::Member {
    fn from(beat: &Heartbeat) -> Self {
        let Heartbeat { name, zone, peer_address, .. } = beat.clone();
        Self { name, zone, peer_address }
    }
}

impl From<&wire::Member> for Member {
    fn from(member: &wire::Member) -> Self {
        let wire::Member { name, zone, peer_address } = member.clone();
        Self { name, zone, peer_address }
    }
}

struct LeavingNews {
    upstreams: Vec<String>,
    by: String,
    at: Duration,
}

struct Task {
    clock: Clock,
    own: Arc<Own>,
    table: Table,
    timing: Timing,
    seeds: Vec<String>,
    listed: Vec<Vm>,
    news: Vec<LeavingNews>,
    host: Arc<dyn Host>,
    view: watch::Sender<Arc<View>>,
    targets: watch::Sender<Vec<Target>>,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>, period: Duration) {
        let mut refresh = tokio::time::interval(period);
        loop {
            tokio::select! {
                biased;
                _ = refresh.tick() => self.publish(),
                message = messages.recv() => match message {
                    Some(Message::Hear(beat)) => self.hear(*beat),
                    Some(Message::Vms(vms)) => self.list(vms),
                    Some(Message::Introduced(others)) => self.introduce(others),
                    None => return,
                },
            }
        }
    }

    fn hear(&mut self, beat: wire::Heartbeat) {
        if beat.name == self.own.beat.name {
            return;
        }
        let now = self.clock.now();
        self.news.retain(|news| news.by != beat.name);
        self.host.heard(&beat);
        let told = beat.members.iter().map(Member::from);
        let unknown: Vec<_> = told.filter(|member| !self.table.knows(&member.name)).collect();
        if !unknown.is_empty() {
            self.introduce(unknown);
        }
        if !beat.leaving_upstreams.is_empty() {
            let upstreams = beat.leaving_upstreams.clone();
            self.news.push(LeavingNews { upstreams, by: beat.name.clone(), at: now });
        }
        let beat = Heartbeat::from(beat);
        let periods = if self.host.is_near(&beat) { 1 } else { FAR_PERIODS };
        self.table.hear_for(now, beat, self.timing.timeout * periods);
        self.publish();
    }

    fn introduce(&mut self, others: Vec<Member>) {
        let now = self.clock.now();
        for Member { name, zone, peer_address } in others {
            self.seeds.push(peer_address.clone());
            if name != self.own.beat.name {
                let beat = Heartbeat { name, zone, peer_address, ..Heartbeat::default() };
                self.table.hear_for(now, beat, TRUST);
            }
        }
        self.publish();
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
        self.table.expire(now, self.timing.timeout * FORGET_TIMEOUTS);
        let alive: Vec<_> = self.table.alive(now).map(|member| member.beat.clone()).collect();
        let listed_leaving = self.listed_leaving();
        let leaving_upstreams: BTreeSet<_> =
            listed_leaving.iter().cloned().chain(self.reported_leaving(now)).collect();
        let known = self.table.members().map(|member| member.beat.name.clone()).collect();
        let view = View { alive, listed_leaving, leaving_upstreams };
        self.host.changed(known, &view);
        self.view.send_replace(Arc::new(view));
        self.targets.send_if_modified(|targets| {
            let fresh = self.choose_targets(now);
            let changed = *targets != fresh;
            *targets = fresh;
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

    /// Peers to call; whoever is not heard is called by all.
    fn choose_targets(&self, now: Duration) -> Vec<Target> {
        let mut silent: BTreeSet<_> = self.seeds.iter().cloned().collect();
        silent.extend(self.listed.iter().filter(|vm| vm.entry).map(|vm| vm.address.clone()));
        silent.extend(self.table.members().map(|member| member.beat.peer_address.clone()));
        silent.remove(&self.own.beat.peer_address);
        let mut targets = Vec::new();
        for member in self.table.alive(now) {
            silent.remove(&member.beat.peer_address);
            let near = self.host.is_near(&member.beat);
            let unheard = member.beat.incarnation == UNHEARD;
            let first = self.own.beat.name < member.beat.name;
            let due = unheard || first || !self.timing.one_sided;
            targets.push(Target { address: member.beat.peer_address.clone(), near, due });
        }
        let unheard = |address| Target { address, near: false, due: true };
        targets.extend(silent.into_iter().map(unheard));
        targets
    }
}

struct Heartbeats {
    members: Members,
    link: Arc<dyn Link>,
    metrics: Arc<Metrics>,
    period: Duration,
    scope: Scope,
}

impl Heartbeats {
    async fn run(self, targets: watch::Receiver<Vec<Target>>) {
        let mut period = tokio::time::interval(self.period);
        let mut round = 0;
        loop {
            let mut hurried = false;
            tokio::select! {
                biased;
                () = self.members.hurry.notified() => hurried = true,
                _ = period.tick() => round += 1,
            }
            let targets = targets.borrow().clone();
            for Target { address, near, due } in targets {
                let far_round = round % FAR_PERIODS == 1;
                let calls = if hurried { near } else { due && (near || far_round) };
                if calls {
                    self.scope.spawn(self.beat(address, near));
                }
            }
        }
    }

    fn beat(&self, address: String, near: bool) -> impl Future<Output = ()> + Send + 'static {
        let (members, link) = (self.members.clone(), self.link.clone());
        self.metrics.count(Counter::PeerCall);
        async move {
            let ask = wire::Ask::Heartbeat(members.heartbeat(near));
            let Ok(wire::Reply::Heartbeat(beat)) = link.call(&address, ask).await else {
                return;
            };
            members.mailbox.tell(Message::Hear(Box::new(beat)));
        }
    }
}
