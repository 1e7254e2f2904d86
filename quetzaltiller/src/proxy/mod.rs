//! Forwards callers' requests to upstreams.
//!
//! A request's route and account come from the configuration in force. `call` serves lookups and
//! actions; `stream` serves generations and resumes them on another engine when one is lost. Both
//! choose upstreams by [`crate::placement`] and end no later than the caller's patience and the
//! route's timeout.

mod beginning;
mod break_off;
mod call;
mod caller;
mod copies;
mod event;
mod exit_check;
mod machine_settings;
mod pauses;
mod placing;
mod plan;
mod reader;
mod reply;
mod request;
mod stream;

pub use event::Codec;
pub use plan::{DEFAULT_PATIENCE, Plan};
pub use reply::{Answer, Chunk, Reply, Stream};
pub use request::{Part, Prompt, Request};

use crate::clock::Clock;
use crate::drain::{Drain, Phase};
use crate::follower::Follower;
use crate::local_member::LocalMember;
use crate::metrics::{Counter, Metrics};
use crate::pacer::Pacer;
use crate::placement::Placer;
use crate::prelude::*;
use crate::prompts::Finder;
use crate::quarantine::Quarantine;
use crate::routes::Kind;
use crate::scope::Scope;
use crate::upstream::Client;
use tokio::sync::Semaphore;

/// Expected time of a generation whose prompt need not wait; a process that is leaving begins none
/// that would take longer than it has left.
const EXPECTED_GENERATION: Duration = Duration::from_millis(6_000);
/// Expected time of a lookup, for the same check. An action may need all of its time, as its caller
/// can't repeat one that was sent.
const EXPECTED_LOOKUP: Duration = Duration::from_millis(1_000);

/// Timeout of a check of an engine; many times a round trip between zones.
const CHECK_LIMIT: Duration = Duration::from_millis(100);

/// Share of a caller's patience for which its request waits for the first configuration and listing
/// of upstreams. Callers retry once, within a third of the patience left; the rest is for that
/// retry.
const STARTUP_WAIT_SHARE: f64 = 0.5;
/// Wait for the first configuration and listing where the request names no patience: 40 times the
/// store's answer time.
const DEFAULT_STARTUP_WAIT: Duration = Duration::from_millis(400);
/// Maximum number of requests that wait for the first configuration and listing; at 10 kB each they
/// stay within a tenth of an entry VM's memory.
const MAX_STARTUP_WAITERS: usize = 2_000;

/// Services and state shared by all requests.
#[derive(Clone)]
pub struct Context {
    /// Clock of this process.
    pub clock: Clock,
    /// Follower of the configuration and the upstreams.
    pub follower: Follower,
    /// Handle to the choice of upstreams.
    pub placer: Placer,
    /// Finder of the engines that have a prompt cached.
    pub finder: Finder,
    /// Hedging delays and retry budgets.
    pub pacer: Pacer,
    /// What crashes upstreams.
    pub quarantine: Quarantine,
    /// Client of upstreams.
    pub client: Arc<dyn Client>,
    /// Whether this process is leaving and what it may still begin.
    pub drain: Drain,
    /// This process as a member.
    pub local: Arc<LocalMember>,
    /// Counters and latencies of this process.
    pub metrics: Arc<Metrics>,
    /// Tasks of this process.
    pub scope: Scope,
}

impl Context {
    /// Whether the request crashes upstreams and must not be sent to one.
    fn is_quarantined(&self, request: &Request, plan: &Plan) -> bool {
        if !self.quarantine.has_condemned() {
            return false;
        }
        let Some(subject) = self.quarantine.refused(&plan.subjects(request)) else {
            return false;
        };
        self.metrics.count(Counter::QuarantineRefused);
        info!("request_quarantined", kv: { request = request.id, subject: = subject });
        true
    }

    /// Records that an upstream survived the request.
    fn record_answered(&self, request: &Request, plan: &Plan) {
        self.quarantine.record_settled(vec![plan.repeatable(request)]);
    }
}

/// Entry point of callers' requests.
#[derive(Clone)]
pub struct Proxy {
    context: Context,
    /// Permits of requests that wait for the first configuration.
    startup_permits: Arc<Semaphore>,
}

impl Proxy {
    /// Creates a proxy with the shared `context`.
    pub fn new(context: Context) -> Self {
        Self { context, startup_permits: Arc::new(Semaphore::new(MAX_STARTUP_WAITERS)) }
    }

    /// Waits for the first configuration and listing of upstreams. Matters when all entry VMs start
    /// while the store is down: a caller refused then retries once, and that mostly fails too.
    async fn wait_for_startup(&self, request: &Request) {
        let Context { follower, placer, drain, .. } = &self.context;
        if follower.is_ready() {
            return;
        }
        let began = self.context.clock.now();
        let limit = request
            .patience
            .map_or(DEFAULT_STARTUP_WAIT, |patience| patience.mul_f64(STARTUP_WAIT_SHARE));
        let permit = self.startup_permits.try_acquire();
        let startup = async { tokio::join!(follower.configured(), placer.wait_for_listing()) };
        if permit.is_ok() {
            tokio::select! {
                biased;
                _ = startup => {}
                () = drain.wait_for_phase(Phase::Leaving) => {}
                () = tokio::time::sleep(limit) => {}
            }
        }
        info!("start_awaited", kv: {
            request = request.id, waited_ms = (self.context.clock.now() - began).as_millis() as u64,
            others = MAX_STARTUP_WAITERS - self.startup_permits.available_permits(),
            number = follower.routes().number(), revision = follower.directory().version().revision
        });
    }

    /// Serves a request. Dropping the future cancels it.
    pub async fn handle(&self, request: Request) -> Reply {
        let open_request = self.context.local.open_request(&request.id);
        let began = self.context.clock.now();
        let request = Arc::new(request);
        self.wait_for_startup(&request).await;
        let plan = match self.plan(&request, began) {
            Ok(plan) => plan,
            Err(refusal) => {
                self.record_refusal(&request, &refusal);
                return Reply::Refused(refusal);
            }
        };
        self.context.pacer.record_request(&plan.service);
        match plan.route.kind {
            Kind::Lookup | Kind::Action => call::run(&self.context, &request, &plan, began).await,
            Kind::Generation { .. } => {
                stream::run(self.context.clone(), request, plan, open_request).await
            }
        }
    }

    /// Decides by the head of a request whether its body is to be read; returns the account, empty
    /// without one. Without a configuration or a listing it is, as [`Self::handle`] waits for them.
    pub fn admit(&self, head: &Request) -> Result<String, Refusal> {
        if !self.context.follower.is_ready() {
            return Ok(String::new());
        }
        let plan = Plan::new(&self.context.follower.routes(), self.context.clock.now(), head)
            .and_then(|plan| self.check_drain(plan))
            .inspect_err(|refusal| self.record_refusal(head, refusal))?;
        Ok(plan.account.unwrap_or_default())
    }

    fn record_refusal(&self, request: &Request, refusal: &Refusal) {
        self.context.metrics.count(Counter::Refused);
        let follower = &self.context.follower;
        let age = follower.configuration_age();
        info!("request_refused", kv: {
            request = request.id, host = request.host, path = request.path, code:? = refusal.code,
            number = follower.routes().number(), age_ms = age.age_ms,
            era = age.store.era, revision = age.store.revision, store_age_ms = age.store_age_ms,
        });
    }

    fn plan(&self, request: &Request, arrived_at: Duration) -> Result<Plan, Refusal> {
        let plan = Plan::new(&self.context.follower.routes(), arrived_at, request)?;
        if plan.deadline <= self.context.clock.now() {
            return Err(Refusal::not_run(Code::Overloaded, "it waited for as long as it may"));
        }
        if self.context.is_quarantined(request, &plan) {
            return Err(Refusal::not_run(Code::Quarantined, "the request crashes upstreams"));
        }
        self.check_drain(plan)
    }

    /// Refuses a request that can't end before this process does.
    fn check_drain(&self, plan: Plan) -> Result<Plan, Refusal> {
        let expected = match plan.route.kind {
            Kind::Generation { .. } => EXPECTED_GENERATION,
            Kind::Lookup => EXPECTED_LOOKUP,
            Kind::Action => plan.deadline.saturating_sub(self.context.clock.now()),
        };
        if self.context.drain.admits(expected) {
            return Ok(plan);
        }
        Err(Refusal::not_run(Code::Leaving, "this entry VM is leaving; use another"))
    }
}
