//! The router: what an entry VM does for callers and peers.
//!
//! [`Router::builder`] takes the ports, so that the same code runs over sockets in `qt-router` and
//! over fakes in tests and benchmarks.

use crate::actions::{Action, Actions, Ledger};
use crate::catalog::Catalog;
use crate::clock::Clock;
use crate::config::Config;
use crate::dispatch::{Demand, Dispatch, UpstreamState};
use crate::engine::{self, Attempt};
use crate::generation::{Request, Start};
use crate::keeper::{self, Keeper};
use crate::lookups::Lookups;
use crate::members::{self, Members, Own, View};
use crate::metrics::{Counter, Metrics, Snapshot};
use crate::objects::Labels;
use crate::operators::Health;
use crate::pacer::Pacer;
use crate::peer::{self, Link};
use crate::platform::Store;
use crate::prelude::*;
use crate::registry::Registry;
use crate::reports;
use crate::scope::Scope;
use crate::service::{self, Answer, Call};
use crate::session::{self, Context, Origin, Session, Subscription, Vm};
use crate::wire;
use async_trait::async_trait;
use coordination::claim::Owner;
use coordination::detector::Bounds;
use coordination::journal::Journal;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::timeout;

/// Time for peers to answer whether they keep an answer.
const TAKE_TIMEOUT: Duration = Duration::from_millis(400);
const HAND_OVER_TIME: Duration = Duration::from_secs(5);
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Bits below the term in an attempt's number.
const TERM_SHIFT: u32 = 16;

/// Outside systems.
#[derive(Clone)]
pub struct Ports {
    /// Platform.
    pub store: Arc<dyn Store>,
    /// Model engines.
    pub engines: Arc<dyn engine::Client>,
    /// Plain services.
    pub services: Arc<dyn service::Client>,
    /// Other entry VMs.
    pub link: Arc<dyn Link>,
}

/// Builds a [`Router`].
///
/// ```no_run
/// # use quetzaltiller::{config::Config, router::{Ports, Router}};
/// # async fn start(ports: Ports) {
/// let config = Config::new("vm-1", "zone-a");
/// let router = Router::builder(config, ports).seed(7).start();
/// println!("{:?}", router.entries(None));
/// # }
/// ```
pub struct Builder {
    config: Config,
    ports: Ports,
    seed: Option<u64>,
    incarnation: u64,
}

impl Builder {
    /// Makes identifiers repeatable.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// Number of this start of the process; must rise with each.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Starts the router's tasks.
    pub fn start(self) -> Arc<Router> {
        let rng = match self.seed {
            Some(seed) => ChaCha12Rng::seed_from_u64(seed),
            None => ChaCha12Rng::from_os_rng(),
        };
        Arc::new(Router::new(self.config, self.ports, self.incarnation, rng))
    }
}

/// Who asks, and what for.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Account.
    pub account: Account,
    /// Labels that the caller set.
    pub labels: Labels,
    /// Longest wait, if not the account's.
    pub patience: Option<Duration>,
}

impl Caller {
    fn patience(&self) -> Duration {
        self.patience.unwrap_or(Duration::from_millis(self.account.patience_ms))
    }
}

/// Entry VMs to use.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entries {
    /// Best first.
    pub entries: Vec<Entry>,
    /// How long the list may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// One entry VM to use.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub address: String,
}

/// State of the process.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Dump {
    /// This entry VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Start of the process.
    pub incarnation: u64,
    /// Number of the configuration in force.
    pub number: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Open requests.
    pub open: u64,
    /// Other entry VMs.
    pub members: View,
    /// Generations served here.
    pub generations: BTreeMap<String, session::Status>,
    /// Answers kept for peers.
    pub keeper: keeper::State,
    /// Upstreams.
    pub upstreams: BTreeMap<String, UpstreamState>,
    /// Counters.
    pub counters: Snapshot,
}

/// One entry VM's part of the system.
pub struct Router {
    config: Config,
    ports: Ports,
    clock: Clock,
    scope: Scope,
    own: Arc<Own>,
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
    /// Begins building a router.
    pub fn builder(config: Config, ports: Ports) -> Builder {
        Builder { config, ports, seed: None, incarnation: 1 }
    }

    fn new(config: Config, ports: Ports, incarnation: u64, rng: ChaCha12Rng) -> Self {
        let (clock, scope) = (Clock::default(), Scope::default());
        let metrics = Arc::new(Metrics::new(config.metrics_address.as_deref()));
        let own = Arc::new(Own::new(&config, incarnation));
        let catalog = Catalog::start(&scope, ports.store.clone(), metrics.clone());
        let dispatch = Dispatch::start(&scope, clock);
        let members = Members::start(
            &scope,
            members::Parts {
                config: &config,
                own: own.clone(),
                clock,
                store: ports.store.clone(),
                link: ports.link.clone(),
                catalog: catalog.clone(),
                dispatch: dispatch.clone(),
                metrics: metrics.clone(),
            },
        );
        let journal = Journal::new(config.timing.journal_retention, config.limits.journal_bytes);
        let keeper = Keeper::start(&scope, clock, journal);
        let registry = Registry::start(&scope);
        let reports = reports::Parts {
            engines: ports.engines.clone(),
            catalog: catalog.clone(),
            dispatch: dispatch.clone(),
            period: config.timing.report,
        };
        reports::start(&scope, reports);
        let actions = Actions {
            store: ports.store.clone(),
            services: ports.services.clone(),
            link: ports.link.clone(),
            members: members.clone(),
            dispatch: dispatch.clone(),
            ledger: Ledger::start(&scope),
            metrics: metrics.clone(),
            scope: scope.clone(),
            owner: Owner { name: config.name.clone(), incarnation },
        };
        let hedge = Bounds { min: config.timing.min_hedge, max: config.timing.max_hedge };
        let lookups = Lookups {
            services: ports.services.clone(),
            dispatch: dispatch.clone(),
            pacer: Pacer::start(&scope, hedge),
            metrics: metrics.clone(),
        };
        let (closed, rng) = (AtomicBool::new(false), Mutex::new(rng));
        info!("router_started", kv: { name = config.name, zone = config.zone, incarnation });
        Self {
            config,
            ports,
            clock,
            scope,
            own,
            catalog,
            dispatch,
            members,
            keeper,
            registry,
            actions,
            lookups,
            metrics,
            closed,
            rng,
        }
    }

    /// Settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Tasks of this process.
    pub fn scope(&self) -> &Scope {
        &self.scope
    }

    /// Counters.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Number of the configuration in force.
    pub fn number(&self) -> u64 {
        self.catalog.number()
    }

    /// Account whose key this is.
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

    /// Entry VMs to use, best first; `zone` is the caller's.
    pub fn entries(&self, zone: Option<&str>) -> Entries {
        let own = self.members.heartbeat().into();
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

    /// Starts a generation, or goes on with one after `last`.
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
            None => self.begin(caller, request),
            Some(last) => self.resume(caller, request, last).await,
        };
        result.map_err(|refusal| self.refuse(refusal))
    }

    /// Stops a generation of the account, wherever it is served.
    pub async fn cancel(&self, account: &Account, generation: &str) -> Result<(), Refusal> {
        if let Some(session) = self.registry.get(generation, &account.name).await {
            session.cancel().await;
            return Ok(());
        }
        let Some(taken) = self.take(generation, &account.name, u32::MAX).await else {
            return Err(self.refuse(unknown_generation()));
        };
        if !taken.whole && !self.cancel_at_owner(generation, &taken).await {
            self.cancel_at_engine(generation, &taken);
        }
        Ok(())
    }

    /// Asks the entry VM that serves a generation to stop it; false when it does not answer.
    async fn cancel_at_owner(&self, generation: &str, taken: &wire::Taken) -> bool {
        let Some(origin) = &taken.origin else {
            return false;
        };
        let view = self.members.view();
        let Some(owner) = view.member(&origin.owner) else {
            return false;
        };
        let (generation, account) = (generation.to_owned(), origin.account.clone());
        let ask = wire::Ask::Cancel(wire::Cancel { generation, account });
        let answer = timeout(TAKE_TIMEOUT, self.ports.link.call(&owner.peer_address, ask)).await;
        matches!(answer, Ok(Ok(wire::Reply::Cancelled(wire::Cancelled { found: true }))))
    }

    fn cancel_at_engine(&self, generation: &str, taken: &wire::Taken) {
        let origin = taken.origin.clone().unwrap_or_default();
        let set = self.catalog.set();
        let upstream = set.upstreams().find(|upstream| upstream.name == origin.upstream);
        let Some(address) = upstream.map(|upstream| upstream.address.clone()) else {
            return;
        };
        let generation = generation.to_owned();
        let attempt = Attempt { address, generation, number: origin.attempt };
        let engines = self.ports.engines.clone();
        self.scope.spawn(async move {
            let _ = engines.cancel(&attempt).await;
        });
    }

    /// Calls a plain service.
    pub async fn call(
        &self,
        caller: &Caller,
        service: &str,
        call: Call,
    ) -> Result<Answer, Refusal> {
        let result = self.call_checked(caller, service, call).await;
        result.map_err(|refusal| self.refuse(refusal))
    }

    /// Whether the router can do its work.
    pub fn health(&self) -> Health {
        match (self.own.is_leaving(), self.number()) {
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
            incarnation: self.own.beat.incarnation,
            number: self.catalog.number(),
            leaving: self.own.is_leaving(),
            open: self.own.open(),
            members: self.members.view().as_ref().clone(),
            generations: self.registry.dump().await,
            keeper: self.keeper.dump().await,
            upstreams: self.dispatch.dump().await,
            counters: self.metrics.snapshot(),
        }
    }

    /// Leaves gracefully: announces it, serves on while callers may hold the address, then
    /// refuses new work and waits for what is open; past the deadline hands streams over.
    pub async fn drain(&self) {
        info!("router_leaving", kv: { name = self.config.name, open = self.own.open() });
        self.own.leave();
        tokio::time::sleep(self.config.timing.entry_lifetime).await;
        self.closed.store(true, Ordering::Relaxed);
        let _ = timeout(self.config.timing.drain_deadline, self.emptied()).await;
        if self.own.open() > 0 {
            self.hand_over().await;
        }
        info!("router_left", kv: { name = self.config.name, open = self.own.open() });
    }

    /// Ends all tasks where they stand.
    pub fn stop(&self) {
        self.scope.stop();
    }

    async fn hand_over(&self) {
        let others = self.other_entries();
        for session in self.registry.all().await {
            session.hand_over(others.clone()).await;
        }
        let _ = timeout(HAND_OVER_TIME, self.emptied()).await;
    }

    async fn emptied(&self) {
        while self.own.open() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }

    fn begin(&self, caller: &Caller, request: Request) -> Result<Subscription, Refusal> {
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
            check_same_request(session.digest(), &request)?;
            if let Some(subscription) = session.attach(last.next).await {
                return Ok(subscription);
            }
        }
        match self.take(&last.generation, account, last.next).await {
            Some(taken) => self.take_over(caller, request, last, taken),
            None => self.restore(caller, request, last),
        }
    }

    /// Goes on with an answer that a keeper handed over.
    fn take_over(
        &self,
        caller: &Caller,
        request: Request,
        last: EventId,
        taken: wire::Taken,
    ) -> Result<Subscription, Refusal> {
        let origin = taken.origin.clone().unwrap_or_default();
        check_same_request(&origin.digest, &request)?;
        let returned = request.emitted.clone().unwrap_or_default();
        let held = taken.tokens.len().max(returned.len());
        if (last.next as usize) > held {
            return Err(tokens_needed());
        }
        self.metrics.count(Counter::GenerationTakenOver);
        let longer = returned.len() > taken.tokens.len();
        let set = self.catalog.set();
        let upstream = set.upstreams().find(|upstream| upstream.name == origin.upstream);
        let same_attempt = !longer || last.attempt == origin.attempt;
        let start = match upstream {
            Some(upstream) if same_attempt => {
                Start::TakenOver(upstream.name.clone(), origin.version.clone())
            }
            _ if origin.version.is_empty() => Start::Fresh,
            _ => Start::Returned(origin.version.clone()),
        };
        info!("generation_taken_over", kv: {
            generation = last.generation, from = origin.owner, term = taken.term, next = held
        });
        let origin = Origin {
            generation: last.generation,
            attempt: origin.attempt.max(last.attempt),
            floor: taken.term << TERM_SHIFT,
            term: taken.term,
            tokens: if longer { returned } else { taken.tokens },
            whole: taken.whole,
            start,
            address: upstream.map(|upstream| upstream.address.clone()),
        };
        Ok(self.serve(caller, request, origin, last.next))
    }

    /// Goes on from the tokens that the caller returned, as nobody keeps the answer any more.
    fn restore(
        &self,
        caller: &Caller,
        request: Request,
        last: EventId,
    ) -> Result<Subscription, Refusal> {
        let (Some(emitted), Some(version)) = (request.emitted.clone(), request.version.clone())
        else {
            return Err(unknown_generation());
        };
        self.check_open()?;
        if emitted.len() < last.next as usize {
            return Err(tokens_needed());
        }
        let generation = self.new_generation();
        info!("generation_restored", kv: { generation, lost = last.generation, next = last.next });
        let origin = Origin {
            generation,
            attempt: last.attempt,
            floor: 1,
            term: 1,
            tokens: emitted,
            whole: false,
            start: Start::Returned(version),
            address: None,
        };
        Ok(self.serve(caller, request, origin, last.next))
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
        let patience = caller.patience().as_millis() as u64;
        let account = Account { patience_ms: patience, ..caller.account.clone() };
        let labels = caller.labels.clone();
        let entered = self.own.enter();
        Session::start(context, &account, labels, request, origin, (next, entered)).1
    }

    /// Asks the peers for an answer and takes it over; stops at the first that has `next` tokens.
    async fn take(&self, generation: &str, account: &str, next: u32) -> Option<wire::Taken> {
        let take = wire::Take {
            generation: generation.to_owned(),
            account: account.to_owned(),
            owner: self.config.name.clone(),
        };
        let mut best = Some(self.keeper.take(take.clone()).await).filter(|taken| taken.found);
        let view = self.members.view();
        let mut answers: FuturesUnordered<_> = view
            .keepers(generation, "")
            .into_iter()
            .map(|beat| {
                let ask = wire::Ask::Take(take.clone());
                timeout(TAKE_TIMEOUT, self.ports.link.call(&beat.peer_address, ask))
            })
            .collect();
        while best.as_ref().is_none_or(|taken| (taken.tokens.len() as u32) < next) {
            match answers.next().await {
                None => break,
                Some(Ok(Ok(wire::Reply::Taken(taken)))) if taken.found => {
                    best = better(best, taken);
                }
                Some(_) => {}
            }
        }
        best
    }

    async fn call_checked(
        &self,
        caller: &Caller,
        service: &str,
        call: Call,
    ) -> Result<Answer, Refusal> {
        self.check_open()?;
        let _entered = self.own.enter();
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
            wire::Ask::Heartbeat(beat) => wire::Reply::Heartbeat(self.members.answer(beat)),
            wire::Ask::Append(append) => wire::Reply::Appended(self.keeper.append(append).await),
            wire::Ask::Take(take) => wire::Reply::Taken(self.keeper.take(take).await),
            wire::Ask::Claim(claim) => {
                let gone = claim.incarnation != self.own.beat.incarnation;
                let abandoned = self.actions.ledger.is_abandoned(claim.nonce).await;
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
        }
    }
}

fn better(best: Option<wire::Taken>, other: wire::Taken) -> Option<wire::Taken> {
    let rank = |taken: &wire::Taken| (taken.whole, taken.tokens.len(), taken.term);
    match best {
        Some(best) if rank(&best) >= rank(&other) => {
            Some(wire::Taken { term: best.term.max(other.term), ..best })
        }
        Some(best) => Some(wire::Taken { term: best.term.max(other.term), ..other }),
        None => Some(other),
    }
}

fn check_same_request(digest: &str, request: &Request) -> Result<(), Refusal> {
    if digest == request.digest() {
        return Ok(());
    }
    let message = "the body differs from the one that began this generation";
    Err(Refusal::new(Code::BadRequest, Ran::No, message))
}

fn unknown_generation() -> Refusal {
    let message =
        "no such generation; return its tokens as `emitted` with their `version` to go on";
    Refusal::new(Code::GenerationUnknown, Ran::Unknown, message)
}

fn tokens_needed() -> Refusal {
    let message = "the last tokens are not kept; return them as `emitted` with their `version`";
    Refusal::new(Code::TokensNeeded, Ran::Yes, message)
}
