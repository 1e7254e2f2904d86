//! Heartbeats with the other entry VMs, and what they tell.

use crate::catalog::Catalog;
use crate::clock::Clock;
use crate::config::Config;
use crate::dispatch::Dispatch;
use crate::mailbox::Mailbox;
use crate::metrics::{Counter, Metrics};
use crate::peer::Link;
use crate::platform::{Store, Vm};
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use coordination::membership::{Heartbeat, Table};
use coordination::rendezvous::rank;
use serde::Serialize;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use tokio::sync::{mpsc, watch};

const VM_LIST_PERIOD: Duration = Duration::from_secs(1);
/// A silent member is forgotten after this many timeouts.
const FORGET_TIMEOUTS: u32 = 60;

/// What this process says of itself.
#[derive(Debug)]
pub struct Own {
    /// Name, zone and addresses.
    pub beat: Heartbeat,
    leaving: AtomicBool,
    open: AtomicU64,
}

impl Own {
    /// Describes an entry VM whose process began as `incarnation`.
    pub fn new(config: &Config, incarnation: u64) -> Self {
        let beat = Heartbeat {
            name: config.name.clone(),
            incarnation,
            zone: config.zone.clone(),
            caller_address: config.caller_address.clone(),
            peer_address: config.peer_address.clone(),
            ..Heartbeat::default()
        };
        Self { beat, leaving: AtomicBool::new(false), open: AtomicU64::new(0) }
    }

    /// Begins to leave.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Requests that are open.
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts a request until the result is dropped.
    pub fn enter(self: &Arc<Self>) -> Entered {
        self.open.fetch_add(1, Ordering::Relaxed);
        Entered { own: self.clone() }
    }

    fn heartbeat(&self, number: u64) -> Heartbeat {
        let (leaving, open) = (self.is_leaving(), self.open());
        Heartbeat { leaving, open, number, ..self.beat.clone() }
    }
}

/// A request that is open.
#[derive(Debug)]
pub struct Entered {
    own: Arc<Own>,
}

impl Drop for Entered {
    fn drop(&mut self) {
        self.own.open.fetch_sub(1, Ordering::Relaxed);
    }
}

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

#[derive(Debug)]
enum Message {
    Hear(wire::Heartbeat),
    Vms(Vec<Vm>),
}

/// Handle to the membership tasks.
#[derive(Clone)]
pub struct Members {
    own: Arc<Own>,
    catalog: Catalog,
    dispatch: Dispatch,
    mailbox: Mailbox<Message>,
    view: watch::Receiver<Arc<View>>,
}

/// What the membership tasks use.
pub struct Parts<'a> {
    /// Settings.
    pub config: &'a Config,
    /// This process.
    pub own: Arc<Own>,
    /// Clock.
    pub clock: Clock,
    /// Platform, for the list of VMs.
    pub store: Arc<dyn Store>,
    /// Other entry VMs.
    pub link: Arc<dyn Link>,
    /// Configuration, to learn newer ones from peers.
    pub catalog: Catalog,
    /// LeavingNews of members and leaving upstreams.
    pub dispatch: Dispatch,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl Members {
    /// Starts the tasks in `scope`.
    pub fn start(scope: &Scope, parts: Parts<'_>) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (sender, view) = watch::channel(Arc::default());
        let (targets_sender, targets) =
            watch::channel(BTreeSet::from_iter(parts.config.peers.clone()));
        let members = Self {
            own: parts.own,
            catalog: parts.catalog,
            dispatch: parts.dispatch.clone(),
            mailbox: mailbox.clone(),
            view,
        };
        let task = Task {
            clock: parts.clock,
            own: members.own.clone(),
            table: Table::new(parts.config.timing.peer_timeout),
            timeout: parts.config.timing.peer_timeout,
            seeds: parts.config.peers.clone(),
            listed: Vec::new(),
            news: Vec::new(),
            dispatch: parts.dispatch,
            view: sender,
            targets: targets_sender,
        };
        scope.spawn(task.run(messages, parts.config.timing.heartbeat));
        scope.spawn(list_vms(parts.store, parts.metrics.clone(), mailbox));
        let beats = Heartbeats {
            members: members.clone(),
            link: parts.link,
            metrics: parts.metrics,
            period: parts.config.timing.heartbeat,
            scope: scope.clone(),
        };
        scope.spawn(beats.run(targets));
        members
    }

    /// Members as known now.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Answers a peer's heartbeat.
    pub fn answer(&self, beat: wire::Heartbeat) -> wire::Heartbeat {
        self.mailbox.tell(Message::Hear(beat));
        self.heartbeat()
    }

    /// This process's heartbeat.
    pub fn heartbeat(&self) -> wire::Heartbeat {
        let mut beat = wire::Heartbeat::from(self.own.heartbeat(self.catalog.number()));
        beat.usage = self.dispatch.usage();
        beat.leaving_upstreams = self.view.borrow().listed_leaving.iter().cloned().collect();
        beat
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
    timeout: Duration,
    seeds: Vec<String>,
    listed: Vec<Vm>,
    news: Vec<LeavingNews>,
    dispatch: Dispatch,
    view: watch::Sender<Arc<View>>,
    targets: watch::Sender<BTreeSet<String>>,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>, period: Duration) {
        let mut refresh = tokio::time::interval(period);
        loop {
            tokio::select! {
                biased;
                _ = refresh.tick() => self.publish(),
                message = messages.recv() => match message {
                    Some(Message::Hear(beat)) => self.hear(beat),
                    Some(Message::Vms(vms)) => self.list(vms),
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
        let usage = beat.usage.iter().map(|usage| (usage.account.clone(), usage.count));
        self.dispatch.heard(beat.name.clone(), usage.collect());
        if !beat.leaving_upstreams.is_empty() {
            let upstreams = beat.leaving_upstreams.clone();
            self.news.push(LeavingNews { upstreams, by: beat.name.clone(), at: now });
        }
        self.table.hear(now, beat.into());
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
        self.table.expire(now, self.timeout * FORGET_TIMEOUTS);
        let alive: Vec<_> = self.table.alive(now).map(|member| member.beat.clone()).collect();
        let listed_leaving = self.listed_leaving();
        let leaving_upstreams: BTreeSet<_> =
            listed_leaving.iter().cloned().chain(self.reported_leaving(now)).collect();
        let names = |beats: &[Heartbeat]| beats.iter().map(|beat| beat.name.clone()).collect();
        let known = self.table.members().map(|member| member.beat.name.clone()).collect();
        self.dispatch.set_members(known, names(&alive));
        if self.view.borrow().leaving_upstreams != leaving_upstreams {
            self.dispatch.set_leaving(leaving_upstreams.clone());
        }
        self.view.send_replace(Arc::new(View { alive, listed_leaving, leaving_upstreams }));
        self.targets.send_if_modified(|targets| {
            let fresh = self.addresses();
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
        let timeout = self.timeout;
        self.news.retain(|news| news.at + timeout >= now);
        self.news.iter().flat_map(|news| news.upstreams.iter().cloned()).collect()
    }

    fn addresses(&self) -> BTreeSet<String> {
        let listed = self.listed.iter().filter(|vm| vm.entry).map(|vm| vm.address.clone());
        let known = self.table.members().map(|member| member.beat.peer_address.clone());
        let mut addresses: BTreeSet<_> =
            listed.chain(known).chain(self.seeds.iter().cloned()).collect();
        addresses.remove(&self.own.beat.peer_address);
        addresses
    }
}

async fn list_vms(store: Arc<dyn Store>, metrics: Arc<Metrics>, mailbox: Mailbox<Message>) {
    loop {
        metrics.count(Counter::StoreCall);
        if let Ok(vms) = store.vms().await {
            mailbox.tell(Message::Vms(vms));
        }
        tokio::time::sleep(VM_LIST_PERIOD).await;
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
    async fn run(self, targets: watch::Receiver<BTreeSet<String>>) {
        let mut period = tokio::time::interval(self.period);
        loop {
            period.tick().await;
            let addresses = targets.borrow().clone();
            for address in addresses {
                self.scope.spawn(self.beat(address));
            }
        }
    }

    fn beat(&self, address: String) -> impl Future<Output = ()> + Send + 'static {
        let (members, link) = (self.members.clone(), self.link.clone());
        self.metrics.count(Counter::PeerCall);
        async move {
            let ask = wire::Ask::Heartbeat(members.heartbeat());
            let Ok(wire::Reply::Heartbeat(beat)) = link.call(&address, ask).await else {
                return;
            };
            let newer = beat.number > members.catalog.number();
            members.mailbox.tell(Message::Hear(beat));
            if newer {
                pull(&members.catalog, link.as_ref(), &address).await;
            }
        }
    }
}

async fn pull(catalog: &Catalog, link: &dyn Link, address: &str) {
    let ask = wire::Ask::Pull(wire::Pull { number: catalog.number() });
    if let Ok(wire::Reply::Accepted(accepted)) = link.call(address, ask).await
        && !accepted.json.is_empty()
    {
        catalog.offer(accepted.json);
    }
}
