//! The task that owns the table of upstreams and the requests that wait for a free slot.

use super::demand::Demand;
use super::queue::{Queue, Tag};
use super::table::{Choice, Table, UpstreamState};
use crate::clock::Clock;
use crate::engine::Report;
use crate::mailbox::Mailbox;
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use coordination::share::{Shares, Usage};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

/// Interval at which waiting requests are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Weight of the newest hold time in a pool's mean hold time.
const HOLD_GAIN: f64 = 0.1;

/// A chosen upstream.
#[derive(Debug)]
pub struct Placement {
    /// The chosen upstream.
    pub upstream: Upstream,
    /// Pool of the upstream.
    pub pool: Pool,
    /// Permit that holds a slot of the upstream.
    pub permit: Permit,
}

/// A slot of an upstream, released when the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    upstream: String,
    account: String,
    since: Duration,
    mailbox: Mailbox<Message>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let upstream = std::mem::take(&mut self.upstream);
        let account = std::mem::take(&mut self.account);
        self.mailbox.send(Message::Release { upstream, account, since: self.since });
    }
}

#[derive(Debug)]
enum Message {
    Place { demand: Demand, deadline: Duration, reply: oneshot::Sender<Answer> },
    Adopt { upstream: String, account: String, reply: oneshot::Sender<Permit> },
    Release { upstream: String, account: String, since: Duration },
    RecordFailure { upstream: String },
    RecordSuccess { upstream: String },
    Report { upstream: String, report: Option<Report> },
    Cached { upstream: String, blocks: Vec<u64> },
    Configure(Arc<Set>),
    Members { known: Vec<String>, alive: Vec<String> },
    RecordUsage { member: String, usage: Usage },
    Leaving(BTreeSet<String>),
    Dump(oneshot::Sender<BTreeMap<String, UpstreamState>>),
}

type Answer = Result<Placement, Code>;

/// Handle to the task that chooses upstreams.
#[derive(Clone, Debug)]
pub struct Dispatch {
    clock: Clock,
    mailbox: Mailbox<Message>,
    usage: watch::Receiver<Usage>,
}

impl Dispatch {
    /// Starts the task in `scope`.
    pub fn start(scope: &Scope, clock: Clock, own_name: &str) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let (usage_sender, usage) = watch::channel(Usage::new());
        let task = Task {
            clock,
            mailbox: mailbox.clone(),
            set: Arc::default(),
            table: Table::new(own_name),
            waiters: Vec::new(),
            shares: Shares::default(),
            usage: usage_sender,
            members: 1,
            queue: Queue::default(),
            mean_hold_s: BTreeMap::new(),
        };
        scope.spawn(task.run(messages));
        Self { clock, mailbox, usage }
    }

    /// Current time on the clock that deadlines refer to.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Chooses an upstream and waits until `deadline` for a free slot. Fails with the reason why
    /// there is none, or `Code::Leaving` if the task has ended.
    pub async fn place(&self, demand: Demand, deadline: Duration) -> Answer {
        let message = |reply| Message::Place { demand, deadline, reply };
        self.mailbox.request(message).await.unwrap_or(Err(Code::Leaving))
    }

    /// Acquires a permit at a named upstream, whatever its load. `None` if the task has ended.
    pub async fn adopt(&self, upstream: String, account: String) -> Option<Permit> {
        self.mailbox.request(|reply| Message::Adopt { upstream, account, reply }).await
    }

    /// Records a failure of an upstream, which is then avoided for a while.
    pub fn record_failure(&self, upstream: &str) {
        self.mailbox.send(Message::RecordFailure { upstream: upstream.to_owned() });
    }

    /// Records an answer of an upstream, which ends a suspicion.
    pub fn record_success(&self, upstream: &str) {
        self.mailbox.send(Message::RecordSuccess { upstream: upstream.to_owned() });
    }

    /// Records an upstream's report of its load; `None` if it did not answer.
    pub fn record_report(&self, upstream: String, report: Option<Report>) {
        self.mailbox.send(Message::Report { upstream, report });
    }

    /// Records blocks of text that an upstream has cached.
    pub fn record_cached(&self, upstream: String, blocks: Vec<u64>) {
        self.mailbox.send(Message::Cached { upstream, blocks });
    }

    /// Puts a configuration in force.
    pub fn configure(&self, set: Arc<Set>) {
        self.mailbox.send(Message::Configure(set));
    }

    /// Replaces the other entry VMs: `known` are those not forgotten, `alive` those of them that
    /// are alive.
    pub fn set_members(&self, known: Vec<String>, alive: Vec<String>) {
        self.mailbox.send(Message::Members { known, alive });
    }

    /// Records what another entry VM uses of the accounts' limits.
    pub fn record_usage(&self, member: String, usage: Usage) {
        self.mailbox.send(Message::RecordUsage { member, usage });
    }

    /// This entry VM's use of the accounts' limits.
    pub fn usage(&self) -> Vec<wire::Usage> {
        let usage = self.usage.borrow();
        let entry = |(account, count): (&String, &u32)| wire::Usage {
            account: account.clone(),
            count: *count,
        };
        usage.iter().map(entry).collect()
    }

    /// Replaces the upstreams that are leaving by a notice other than the configuration.
    pub fn set_leaving(&self, leaving: BTreeSet<String>) {
        self.mailbox.send(Message::Leaving(leaving));
    }

    /// State of all upstreams, by name; empty if the task has ended.
    pub async fn dump(&self) -> BTreeMap<String, UpstreamState> {
        self.mailbox.request(Message::Dump).await.unwrap_or_default()
    }
}

/// A request that waits for a free slot.
struct Waiter {
    tag: Tag,
    demand: Demand,
    deadline: Duration,
    reply: oneshot::Sender<Answer>,
}

struct Task {
    clock: Clock,
    mailbox: Mailbox<Message>,
    set: Arc<Set>,
    table: Table,
    waiters: Vec<Waiter>,
    shares: Shares,
    usage: watch::Sender<Usage>,
    members: u32,
    queue: Queue,
    mean_hold_s: BTreeMap<String, f64>,
}

impl Task {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        let mut retry = tokio::time::interval(RETRY_INTERVAL);
        retry.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = retry.tick(), if !self.waiters.is_empty() => self.serve_waiters(),
                message = messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Place { demand, deadline, reply } => {
                self.place(demand, deadline, reply);
            }
            Message::Adopt { upstream, account, reply } => {
                self.table.record_start(&upstream);
                let _ = reply.send(self.permit(upstream, account));
            }
            Message::Release { upstream, account, since } => {
                self.release(&upstream, &account, since);
                self.serve_waiters();
            }
            Message::RecordFailure { upstream } => self.table.record_failure(now, &upstream),
            Message::RecordSuccess { upstream } => self.table.record_success(&upstream),
            Message::Report { upstream, report } => {
                self.table.record_report(now, &upstream, report.as_ref());
                self.serve_waiters();
            }
            Message::Cached { upstream, blocks } => self.table.record_cached(&upstream, &blocks),
            Message::Configure(set) => {
                self.table.retain(&set);
                self.set = set;
                self.serve_waiters();
            }
            Message::Members { known, alive } => {
                self.members = alive.len() as u32 + 1;
                self.shares.set_members(&known, &alive);
                self.table.set_members(alive);
            }
            Message::RecordUsage { member, usage } => self.shares.record_usage(&member, usage),
            Message::Leaving(leaving) => self.table.set_leaving(leaving),
            Message::Dump(reply) => drop(reply.send(self.table.states().clone())),
        }
    }

    fn place(&mut self, demand: Demand, deadline: Duration, reply: oneshot::Sender<Answer>) {
        let account = self.set.accounts().find(|account| account.name == demand.account);
        let weight = account.map_or(1, |account| account.weight);
        if self.waiters.is_empty() {
            self.queue.remove_idle();
        }
        let tag = self.queue.tag(&demand.account, weight, demand.resumed);
        let waiter = Waiter { tag, demand, deadline, reply };
        if self.set.number == 0 {
            return refuse(waiter, Code::NoConfiguration);
        }
        if !waiter.demand.resumed && self.is_over_limit(&waiter.demand.account) {
            return refuse(waiter, Code::AccountLimit);
        }
        let position = self.waiters.partition_point(|other| other.tag < tag);
        // Requests that wait for the same upstreams are ahead in the queue, as those are full; this
        // request may be able to use another upstream that is free.
        if let Some(waiter) = self.try_place(waiter) {
            let expected = self.clock.now() + self.expected_wait(position, &waiter.demand);
            if expected > waiter.deadline && !waiter.demand.resumed {
                return refuse(waiter, Code::Overloaded);
            }
            self.waiters.insert(position, waiter);
        }
    }

    /// Grants or refuses the request if that is possible now; returns the waiter otherwise.
    fn try_place(&mut self, waiter: Waiter) -> Option<Waiter> {
        let now = self.clock.now();
        match self.table.choose(now, &self.set, &waiter.demand) {
            Choice::Upstream(name) => {
                self.grant(waiter, name);
                None
            }
            Choice::NoUpstream(Code::NotAllowed) => {
                refuse(waiter, Code::NotAllowed);
                None
            }
            Choice::Full if now >= waiter.deadline => {
                refuse(waiter, Code::Overloaded);
                None
            }
            Choice::NoUpstream(code) if !waiter.demand.resumed || now >= waiter.deadline => {
                refuse(waiter, code);
                None
            }
            Choice::Full | Choice::NoUpstream(_) => Some(waiter),
        }
    }

    fn grant(&mut self, waiter: Waiter, name: String) {
        self.queue.record_served(waiter.tag);
        let upstream = self.set.upstreams().find(|upstream| upstream.name == name).cloned();
        let Some(upstream) = upstream else {
            return refuse(waiter, Code::NoUpstream);
        };
        let Some(pool) = self.set.pool(&upstream.pool).cloned() else {
            return refuse(waiter, Code::NoUpstream);
        };
        self.table.grant(self.clock.now(), &name, &pool, &waiter.demand);
        let permit = self.permit(name, waiter.demand.account);
        let _ = waiter.reply.send(Ok(Placement { upstream, pool, permit }));
    }

    fn permit(&mut self, upstream: String, account: String) -> Permit {
        self.shares.acquire(&account);
        self.publish_usage();
        Permit { upstream, account, since: self.clock.now(), mailbox: self.mailbox.clone() }
    }

    fn release(&mut self, upstream: &str, account: &str, since: Duration) {
        self.table.record_end(upstream);
        let held_s = (self.clock.now() - since).as_secs_f64();
        let known = self.set.upstreams().find(|known| known.name == upstream);
        if let Some(pool) = known.map(|upstream| upstream.pool.clone()) {
            let mean_s = self.mean_hold_s.entry(pool).or_insert(held_s);
            *mean_s += HOLD_GAIN * (held_s - *mean_s);
        }
        self.shares.release(account);
        self.publish_usage();
    }

    fn publish_usage(&self) {
        self.usage.send_modify(|usage| usage.clone_from(self.shares.local_usage()));
    }

    fn serve_waiters(&mut self) {
        let waiters = std::mem::take(&mut self.waiters);
        let open = waiters.into_iter().filter(|waiter| !waiter.reply.is_closed());
        self.waiters = open.filter_map(|waiter| self.try_place(waiter)).collect();
    }

    fn is_over_limit(&self, account: &str) -> bool {
        let Some(limit) = self.set.accounts().find(|a| a.name == account) else {
            return true;
        };
        !self.shares.may_acquire(account, limit.max_concurrent)
    }

    /// Expected time until the requests up to `position` in the queue have been served, by the mean
    /// time that a slot is held.
    fn expected_wait(&self, position: usize, demand: &Demand) -> Duration {
        let reachable = self.set.reachable(&demand.request());
        let slots: u32 = reachable.iter().map(|(upstream, _)| upstream.slots).sum();
        let hold_s = reachable.first().and_then(|(_, pool)| self.mean_hold_s.get(&pool.name));
        let share = f64::from(slots.max(1)) / f64::from(self.members);
        Duration::from_secs_f64((position + 1) as f64 * hold_s.copied().unwrap_or_default() / share)
    }
}

fn refuse(waiter: Waiter, code: Code) {
    let _ = waiter.reply.send(Err(code));
}
