//! Router of an entry VM: serves callers and answers peers.
//!
//! [`Router::builder`] gets all outside systems as [`Ports`], so that the same code runs over
//! sockets in `qt-router` and over fakes in tests and benchmarks.

mod builder;
mod delegate;
mod takeover;
mod view;

pub use builder::{Builder, Ports};
pub use view::{Caller, Dump, Entries, Entry};

use crate::actions::{Action, Actions};
use crate::catalog::Catalog;
use crate::clock::Clock;
use crate::config::Config;
use crate::dispatch::{Demand, Dispatch};
use crate::generation::{Request, Start};
use crate::keeper::Keeper;
use crate::local_member::LocalMember;
use crate::lookups::Lookups;
use crate::members::Members;
use crate::metrics::{Counter, Metrics};
use crate::operators::Health;
use crate::peer;
use crate::prelude::*;
use crate::registry::Registry;
use crate::scope::Scope;
use crate::service::{Answer, Call};
use crate::session::{Context, Origin, Session, Subscription, Vm, Work};
use crate::wire;
use async_trait::async_trait;
use rand::Rng as _;
use rand_chacha::ChaCha12Rng;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::timeout;

/// Maximum time for open requests to end after the hand-over at the drain deadline.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between checks whether requests are still open.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Router of one entry VM.
pub struct Router {
    config: Config,
    ports: Ports,
    clock: Clock,
    scope: Scope,
    local: Arc<LocalMember>,
    catalog: Catalog,
    dispatch: Dispatch,
    members: Members,
    keeper: Keeper,
    registry: Registry,
    actions: Actions,
    lookups: Lookups,
    metrics: Arc<Metrics>,
    closed: AtomicBool,
    rng: Mutex<ChaCha12Rng>,
}

impl Router {
    /// Settings of the process.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Scope of the process's tasks.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// Counters of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Number of the configuration in force.
    pub fn number(&self) -> u64 {
        self.catalog.number()
    }

    /// Account that holds `key`; refuses unknown keys, and all keys before a configuration is in
    /// force.
    pub fn authenticate(&self, key: &str) -> Result<Account, Refusal> {
        let set = self.catalog.set();
        if set.number == 0 {
            let message = "no configuration is in force yet";
            return Err(self.refuse(Refusal::not_run(Code::NoConfiguration, message)));
        }
        set.authenticate(key).cloned().ok_or_else(|| {
            let message = "the bearer key is missing or belongs to no account";
            self.refuse(Refusal::not_run(Code::Unauthorized, message))
        })
    }

    /// Entry VMs that a caller in `zone` should use, best first.
    pub fn entries(&self, zone: Option<&str>) -> Entries {
        let own = self.members.heartbeat(true).into();
        let view = self.members.view();
        let mut beats: Vec<_> = view.alive.iter().chain([&own]).filter(|b| !b.leaving).collect();
        beats.sort_by_key(|beat| (Some(beat.zone.as_str()) != zone, beat.open, beat.name.clone()));
        let entry = |beat: &coordination::membership::Heartbeat| Entry {
            name: beat.name.clone(),
            zone: beat.zone.clone(),
            address: beat.caller_address.clone(),
        };
        let lifetime_ms = self.config.timing.entry_lifetime.as_millis() as u64;
        Entries { entries: beats.into_iter().map(entry).collect(), lifetime_ms }
    }

    /// Starts a generation, or resumes one after the event `last`.
    pub async fn generate(
        &self,
        caller: &Caller,
        request: Request,
        last: Option<EventId>,
    ) -> Result<Subscription, Refusal> {
        if let Some(fault) = request.faults().first() {
            let refusal = Refusal::not_run(Code::BadRequest, fault.to_string());
            return Err(self.refuse(refusal));
        }
        let result = match last {
            None => self.start_generation(caller, request),
            Some(last) => self.resume(caller, request, last).await,
        };
        result.map_err(|refusal| self.refuse(refusal))
    }

    /// Cancels a generation of the account, whichever entry VM serves it.
    pub async fn cancel(&self, account: &Account, generation: &str) -> Result<(), Refusal> {
        if let Some(session) = self.registry.get(generation, &account.name).await {
            session.cancel().await;
            return Ok(());
        }
        let Some(taken) = self.take_from_keepers(generation, &account.name, u32::MAX).await else {
            return Err(self.refuse(takeover::unknown_generation()));
        };
        if !taken.whole && !self.cancel_at_owner(generation, &taken).await {
            self.cancel_at_engine(generation, &taken);
        }
        Ok(())
    }

    /// Calls a plain service.
    pub async fn call(
        &self,
        caller: &Caller,
        service: &str,
        call: Call,
    ) -> Result<Answer, Refusal> {
        let result = self.call_service(caller, service, call).await;
        result.map_err(|refusal| self.refuse(refusal))
    }

    /// Health of the router, for operators.
    pub fn health(&self) -> Health {
        match (self.local.is_leaving(), self.number()) {
            (true, _) => Health::Leaving,
            (false, 0) => Health::Waiting,
            (false, _) => Health::Ready,
        }
    }

    /// State of the process.
    pub async fn dump(&self) -> Dump {
        Dump {
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            incarnation: self.local.heartbeat.incarnation,
            number: self.catalog.number(),
            leaving: self.local.is_leaving(),
            open: self.local.open(),
            members: self.members.view().as_ref().clone(),
            generations: self.registry.dump().await,
            keeper: self.keeper.dump().await,
            upstreams: self.dispatch.dump().await,
            counters: self.metrics.snapshot(),
        }
    }

    /// Shuts down gracefully: announces it, serves on while callers may hold the address, then
    /// refuses new work and waits for open requests; after the drain deadline hands streams over.
    pub async fn drain(&self) {
        info!("router_leaving", kv: { name = self.config.name, open = self.local.open() });
        self.local.leave();
        tokio::time::sleep(self.config.timing.entry_lifetime).await;
        self.closed.store(true, Ordering::Relaxed);
        let _ = timeout(self.config.timing.drain_deadline, self.wait_until_idle()).await;
        if self.local.open() > 0 {
            self.hand_over().await;
        }
        info!("router_left", kv: { name = self.config.name, open = self.local.open() });
    }

    /// Stops all tasks at once, without a graceful shutdown.
    pub fn stop(&self) {
        self.scope.stop();
    }

    async fn hand_over(&self) {
        let others = self.other_entries();
        for session in self.registry.all().await {
            session.hand_over(others.clone()).await;
        }
        let _ = timeout(HAND_OVER_TIMEOUT, self.wait_until_idle()).await;
    }

    async fn wait_until_idle(&self) {
        while self.local.open() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    fn start_generation(&self, caller: &Caller, request: Request) -> Result<Subscription, Refusal> {
        self.check_open()?;
        self.metrics.count(Counter::GenerationStarted);
        let origin = Origin {
            generation: self.new_generation(),
            attempt: 1,
            floor: 1,
            term: 1,
            tokens: Vec::new(),
            whole: false,
            start: Start::Fresh,
            address: None,
        };
        Ok(self.serve(caller, request, origin, 0))
    }

    async fn resume(
        &self,
        caller: &Caller,
        request: Request,
        last: EventId,
    ) -> Result<Subscription, Refusal> {
        let account = &caller.account.name;
        if let Some(session) = self.registry.get(&last.generation, account).await {
            takeover::check_same_request(session.digest(), &request)?;
            if let Some(subscription) = session.attach(last.next).await {
                return Ok(subscription);
            }
        }
        self.check_open()?;
        match self.take_from_keepers(&last.generation, account, last.next).await {
            Some(taken) => self.take_over(caller, request, last, taken),
            None => self.restore(caller, request, last),
        }
    }

    fn serve(&self, caller: &Caller, request: Request, origin: Origin, next: u32) -> Subscription {
        let context = Context {
            clock: self.clock,
            timing: self.config.timing.clone(),
            engines: self.ports.engines.clone(),
            link: self.ports.link.clone(),
            dispatch: self.dispatch.clone(),
            members: self.members.clone(),
            registry: self.registry.clone(),
            metrics: self.metrics.clone(),
            scope: self.scope.clone(),
            vm: Arc::new(Vm { name: self.config.name.clone(), zone: self.config.zone.clone() }),
        };
        let patience_ms = caller.patience().as_millis() as u64;
        let account = Account { patience_ms, ..caller.account.clone() };
        let labels = caller.labels.clone();
        let entered = self.local.open_request(&origin.generation);
        Session::start(Work { context, account, labels, request, origin, next, entered }).1
    }

    async fn call_service(
        &self,
        caller: &Caller,
        service: &str,
        call: Call,
    ) -> Result<Answer, Refusal> {
        self.check_open()?;
        let _entered = self.local.open_request(call.key.as_deref().unwrap_or(&call.path));
        let set = self.catalog.set();
        let demand = Demand {
            account: caller.account.name.clone(),
            service: Some(service.to_owned()),
            labels: caller.labels.clone(),
            affinity: self.random().to_string(),
            ..Demand::default()
        };
        let service = set.service(service).filter(|_| !set.reachable(&demand.request()).is_empty());
        let Some(service) = service else {
            let message = "no selector lets this account reach the service";
            return Err(Refusal::not_run(Code::NotAllowed, message));
        };
        let patience = caller.patience();
        if service.is_repeatable(&call.method, &call.path) {
            return self.lookups.run(demand, &call, patience).await;
        }
        let Some(key) = call.key.clone().filter(|key| !key.is_empty()) else {
            let message = "this call may not be repeated: send an Idempotency-Key";
            return Err(Refusal::not_run(Code::KeyMissing, message));
        };
        let (service, nonce) = (service.clone(), self.random());
        self.actions.run(Action { demand, service, call, key, nonce, patience }).await
    }

    fn check_open(&self) -> Result<(), Refusal> {
        if !self.closed.load(Ordering::Relaxed) {
            return Ok(());
        }
        let refusal = Refusal::not_run(Code::Leaving, "this entry VM is leaving; use another");
        Err(Refusal { entries: self.other_entries(), ..refusal })
    }

    fn other_entries(&self) -> Vec<String> {
        let own = &self.config.caller_address;
        let entries = self.entries(Some(&self.config.zone)).entries;
        entries.into_iter().map(|entry| entry.address).filter(|address| address != own).collect()
    }

    fn refuse(&self, refusal: Refusal) -> Refusal {
        self.metrics.count(Counter::Refused);
        debug!("refused", kv: { code:? = refusal.code, ran:? = refusal.ran });
        refusal
    }

    fn new_generation(&self) -> String {
        format!("{:016x}{:016x}", self.random(), self.random())
    }

    fn random(&self) -> u64 {
        self.rng.lock().unwrap_or_else(std::sync::PoisonError::into_inner).random()
    }
}

#[async_trait]
impl peer::Handler for Router {
    async fn answer(&self, ask: wire::Ask) -> wire::Reply {
        match ask {
            wire::Ask::Heartbeat(beat) => {
                wire::Reply::Heartbeat(Box::new(self.members.handle_heartbeat(beat)))
            }
            wire::Ask::Append(append) => wire::Reply::Appended(self.keeper.append(append).await),
            wire::Ask::Take(take) => wire::Reply::Taken(self.keeper.take_over(take).await),
            wire::Ask::Claim(claim) => {
                let gone = claim.incarnation != self.local.heartbeat.incarnation;
                let abandoned = self.actions.abandoned_claims.is_abandoned(claim.nonce).await;
                wire::Reply::Claimed(wire::Claimed { gone, abandoned })
            }
            wire::Ask::Cancel(cancel) => {
                let session = self.registry.get(&cancel.generation, &cancel.account).await;
                let found = session.is_some();
                if let Some(session) = session {
                    session.cancel().await;
                }
                wire::Reply::Cancelled(wire::Cancelled { found })
            }
            wire::Ask::Pull(pull) => wire::Reply::Accepted(self.catalog.pull(pull.number)),
            wire::Ask::Find(_) => wire::Reply::Found(wire::Found::default()),
            wire::Ask::Upstreams(_) => wire::Reply::Upstreams(wire::Accepted::default()),
            wire::Ask::Book(_) => wire::Reply::Booked(wire::Booked::default()),
            wire::Ask::Borrow(_) => wire::Reply::Lent(wire::Lent::default()),
        }
    }
}
