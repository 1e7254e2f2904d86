//! Membership of entry VMs by heartbeats.
//!
//! The membership tasks exchange heartbeats with the other entry VMs and publish a [`View`] of
//! those that are alive. The owner of the tasks implements [`Delegate`], which completes the
//! heartbeats of this process and handles those of others.

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

/// Maximum number of members in an answer to a peer that misses a few. They take a few hundred
/// bytes, and 300 members are sent within some seconds.
const MEMBERS_PER_ANSWER: usize = 4;

/// Snapshot of the members and leaving upstreams.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct View {
    /// Other members that are alive.
    pub alive: Vec<Heartbeat>,
    /// Ids of upstreams that the platform lists as leaving.
    pub listed_leaving: BTreeSet<String>,
    /// Ids of upstreams that the platform or a peer reports as leaving.
    pub leaving_upstreams: BTreeSet<String>,
    /// Names of members that recently did not answer this one.
    pub unreachable: Vec<String>,
}

impl View {
    /// Other live members in the order in which they are preferred as keepers of the answer `id`:
    /// staying members before leaving ones, then those outside `zone` before those in it.
    pub fn keepers(&self, id: &str, zone: &str) -> Vec<&Heartbeat> {
        let ranked = rank(self.alive.iter().map(|beat| beat.name.as_str()), id);
        let mut keepers: Vec<_> = ranked
            .into_iter()
            .filter_map(|name| self.alive.iter().find(|beat| beat.name == name))
            .collect();
        keepers.sort_by_key(|beat| (beat.leaving, beat.zone == zone));
        keepers
    }

    /// Live member with this name.
    pub fn member(&self, name: &str) -> Option<&Heartbeat> {
        self.alive.iter().find(|beat| beat.name == name)
    }
}

/// Owner of the membership tasks.
pub trait Delegate: Send + Sync {
    /// Completes the heartbeat of this process to a near or a far member.
    fn fill_heartbeat(&self, beat: &mut wire::Heartbeat, near: bool);

    /// Whether members of a zone are near: they get heartbeats in each round, with the values that
    /// change often.
    fn is_near(&self, _zone: &str) -> bool {
        true
    }

    /// Handles the heartbeat of another member.
    fn handle_heartbeat(&self, beat: &wire::Heartbeat);

    /// Handles a new view; `known` has all other members that were not removed, alive or not.
    fn handle_view_change(&self, known: Vec<Member>, view: &View);
}

#[derive(Debug)]
enum Message {
    /// Heartbeat of another member.
    Heartbeat(Box<wire::Heartbeat>),
    /// A call to the member at this address failed.
    Unanswered(String),
    /// VMs as listed by the platform.
    Listed(Vec<Vm>),
    /// Members that were reported by others and not heard.
    Provisional(Vec<Member>),
}

/// Handle to the membership tasks.
#[derive(Clone)]
pub struct Members {
    local: Arc<LocalMember>,
    delegate: Arc<dyn Delegate>,
    mailbox: Mailbox<Message>,
    view: watch::Receiver<Arc<View>>,
    send_now: Arc<Notify>,
    /// Position in the rotation of members that are sent to peers which miss some.
    next_member: Arc<AtomicUsize>,
}

/// Dependencies of the membership tasks.
pub struct Dependencies {
    /// Addresses of the peers to call first.
    pub seeds: Vec<String>,
    /// Periods and timeouts.
    pub timing: Timing,
    /// State of this process as a member.
    pub local: Arc<LocalMember>,
    /// Clock of this process.
    pub clock: Clock,
    /// Transport to other entry VMs.
    pub link: Arc<dyn Link>,
    /// Owner of the tasks.
    pub delegate: Arc<dyn Delegate>,
    /// Counters of calls to peers.
    pub metrics: Arc<Metrics>,
}

impl Members {
    /// Starts the membership tasks in `scope`.
    pub fn start(scope: &Scope, dependencies: Dependencies) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (view_sender, view) = watch::channel(Arc::default());
        let (targets_sender, targets) = watch::channel(Arc::default());
        let members = Self {
            local: dependencies.local,
            delegate: dependencies.delegate,
            mailbox: mailbox.clone(),
            view,
            send_now: Arc::default(),
            next_member: Arc::default(),
        };
        let published = Published { view: view_sender, targets: targets_sender };
        let task = Task::new(
            (dependencies.clock, dependencies.timing),
            members.local.clone(),
            dependencies.seeds,
            members.delegate.clone(),
            published,
        );
        scope.spawn(task.run(messages));
        let heartbeats = Heartbeats {
            members: members.clone(),
            link: dependencies.link,
            metrics: dependencies.metrics,
            timing: dependencies.timing,
            scope: scope.clone(),
        };
        scope.spawn(heartbeats.run(targets));
        members
    }

    /// Sets the platform's list of VMs.
    pub fn set_listed(&self, vms: Vec<Vm>) {
        self.mailbox.send(Message::Listed(vms));
    }

    /// Adds members that count as alive for a limited time until their own heartbeats arrive.
    pub fn add_provisional(&self, members: Vec<Member>) {
        self.mailbox.send(Message::Provisional(members));
    }

    /// Sends heartbeats to near members without waiting for the next period.
    pub fn send_heartbeats_now(&self) {
        self.send_now.notify_one();
    }

    /// Receiver of changed views.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Current view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Handles a peer's heartbeat and returns the answer.
    pub fn handle_heartbeat(&self, beat: wire::Heartbeat) -> wire::Heartbeat {
        let near = self.delegate.is_near(&beat.zone);
        let known = beat.alive as usize;
        self.mailbox.send(Message::Heartbeat(Box::new(beat)));
        let mut answer = self.heartbeat(near);
        answer.members = self.members_for_peer(known);
        answer
    }

    /// Members to send to a peer that knows `known` live members: all if it knows less than half of
    /// them, a few in rotation if it misses some, none otherwise.
    fn members_for_peer(&self, known: usize) -> Vec<wire::Member> {
        let view = self.view.borrow();
        let count = match view.alive.len() {
            alive if known >= alive => return Vec::new(),
            alive if known < alive / 2 => alive,
            alive => alive.min(MEMBERS_PER_ANSWER),
        };
        let start = self.next_member.fetch_add(count, Ordering::Relaxed) % view.alive.len();
        let selected = view.alive.iter().cycle().skip(start).take(count);
        selected.map(wire::Member::from).collect()
    }

    /// Heartbeat of this process to a near or a far member.
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

impl From<&Heartbeat> for Member {
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
