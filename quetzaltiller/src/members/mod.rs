//! Heartbeats with the other entry VMs, and what they tell.
//!
//! Whoever runs the membership tasks is their [`Delegate`]: it completes the own heartbeat and takes
//! what the heartbeats of others tell.

mod heartbeats;
mod rotation;
mod target;
mod task;
mod timing;

pub use timing::Timing;

use crate::clock::Clock;
use crate::control::Member;
use crate::local_member::LocalMember;
use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::peer::Link;
use crate::platform::Vm;
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use coordination::membership::Heartbeat;
use coordination::rendezvous::rank;
use heartbeats::Heartbeats;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use task::{Published, Task};
use tokio::sync::{Notify, watch};

/// Members that are told to a peer that misses some: a few hundred bytes, all of 300 in some seconds.
const TOLD_MEMBERS: usize = 4;

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
    /// Members that did not answer this one lately.
    pub unreachable: Vec<String>,
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
pub trait Delegate: Send + Sync {
    /// Completes the heartbeat of this process for a near or a far member.
    fn fill_heartbeat(&self, beat: &mut wire::Heartbeat, near: bool);

    /// Whether members of a zone get every heartbeat, with all that changes often.
    fn is_near(&self, _zone: &str) -> bool {
        true
    }

    /// Takes the heartbeat of another.
    fn handle_heartbeat(&self, beat: &wire::Heartbeat);

    /// Takes the members as known now: all that are not forgotten, and those that are alive.
    fn handle_view_change(&self, known: Vec<String>, view: &View);
}

#[derive(Debug)]
enum Message {
    Hear(Box<wire::Heartbeat>),
    /// Nobody answered at an address.
    Unanswered(String),
    Vms(Vec<Vm>),
    Introduced(Vec<Member>),
}

/// Handle to the membership tasks.
#[derive(Clone)]
pub struct Members {
    local: Arc<LocalMember>,
    delegate: Arc<dyn Delegate>,
    mailbox: Mailbox<Message>,
    view: watch::Receiver<Arc<View>>,
    hurry: Arc<Notify>,
    /// Members told so far to peers that missed some.
    told: Arc<AtomicUsize>,
}

/// What the membership tasks use.
pub struct Dependencies {
    /// Addresses of peers to begin with.
    pub seeds: Vec<String>,
    /// Times.
    pub timing: Timing,
    /// This process.
    pub local: Arc<LocalMember>,
    /// Clock.
    pub clock: Clock,
    /// Other entry VMs.
    pub link: Arc<dyn Link>,
    /// Who runs the tasks.
    pub delegate: Arc<dyn Delegate>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl Members {
    /// Starts the tasks in `scope`.
    pub fn start(scope: &Scope, parts: Dependencies) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (sender, view) = watch::channel(Arc::default());
        let (targets_sender, targets) = watch::channel(Arc::default());
        let members = Self {
            local: parts.local,
            delegate: parts.delegate,
            mailbox: mailbox.clone(),
            view,
            hurry: Arc::default(),
            told: Arc::default(),
        };
        let published = Published { view: sender, targets: targets_sender };
        let task = Task::new(
            (parts.clock, parts.timing),
            members.local.clone(),
            parts.seeds,
            members.delegate.clone(),
            published,
        );
        scope.spawn(task.run(messages));
        let beats = Heartbeats {
            members: members.clone(),
            link: parts.link,
            metrics: parts.metrics,
            timing: parts.timing,
            scope: scope.clone(),
        };
        scope.spawn(beats.run(targets));
        members
    }

    /// Takes the platform's list of VMs.
    pub fn set_listed(&self, vms: Vec<Vm>) {
        self.mailbox.send(Message::Vms(vms));
    }

    /// Takes others on trust for a while, until they are heard.
    pub fn add_provisional(&self, others: Vec<Member>) {
        self.mailbox.send(Message::Introduced(others));
    }

    /// Sends heartbeats without waiting for the next period.
    pub fn send_heartbeats_now(&self) {
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
    pub fn handle_heartbeat(&self, beat: wire::Heartbeat) -> wire::Heartbeat {
        let near = self.delegate.is_near(&beat.zone);
        let known = beat.alive as usize;
        self.mailbox.send(Message::Hear(Box::new(beat)));
        let mut answer = self.heartbeat(near);
        answer.members = self.tell_members(known);
        answer
    }

    /// Members to tell a peer that knows `known`: all where it knows few, a few in turn where it misses
    /// some.
    fn tell_members(&self, known: usize) -> Vec<wire::Member> {
        let view = self.view.borrow();
        let count = match view.alive.len() {
            alive if known >= alive => return Vec::new(),
            alive if known < alive / 2 => alive,
            alive => alive.min(TOLD_MEMBERS),
        };
        let from = self.told.fetch_add(count, Ordering::Relaxed) % view.alive.len();
        let in_turn = view.alive.iter().cycle().skip(from).take(count);
        in_turn.map(wire::Member::from).collect()
    }

    /// This process's heartbeat.
    pub fn heartbeat(&self, near: bool) -> wire::Heartbeat {
        let mut beat = wire::Heartbeat::from(self.local.heartbeat());
        self.delegate.fill_heartbeat(&mut beat, near);
        let view = self.view.borrow();
        beat.leaving_upstreams = view.listed_leaving.iter().cloned().collect();
        beat.alive = view.alive.len() as u32;
        if near {
            beat.unreachable_members.clone_from(&view.unreachable);
        }
        beat
    }
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
