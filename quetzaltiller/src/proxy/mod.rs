//! Forwards callers' requests to upstreams.
//!
//! A request finds its route and account in the configuration in force. `call` carries lookups
//! and actions, `stream` carries generations from one engine to the next. Both choose upstreams
//! by [`crate::placement`] and end no later than the caller's patience and the route's timeout.

mod call;
mod caller;
mod copies;
mod event;
mod pauses;
mod placing;
mod plan;
mod reader;
mod reply;
mod request;
mod stream;

pub use event::Codec;
pub use plan::Plan;
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
use crate::routes::Kind;
use crate::scope::Scope;
use crate::upstream::Client;
use tokio::sync::Semaphore;

/// Time of a generation whose prompt need not wait, for the last moment to begin one.
const GENERATION: Duration = Duration::from_millis(6_000);
/// The same for a call of a plain service.
const CALL: Duration = Duration::from_millis(1_000);

/// Share of a caller's patience in which its request waits for a first configuration and listing of
/// upstreams. The rest is for a way back, as callers return once and within a third of what they have left.
const START_SHARE: f64 = 0.5;
/// The same for callers that don't tell their patience: 40 times what the store takes.
const START_LIMIT: Duration = Duration::from_millis(400);
/// Requests that wait for it; 10 kB each stay within a tenth of an entry VM's memory.
const MAX_STARTING: usize = 2_000;

/// What requests share.
#[derive(Clone)]
pub struct Context {
    /// Clock.
    pub clock: Clock,
    /// Configuration and upstreams.
    pub follower: Follower,
    /// Choice of upstreams.
    pub placer: Placer,
    /// Engines that have prompts cached.
    pub finder: Finder,
    /// Hedging delays and retry budgets.
    pub pacer: Pacer,
    /// Upstreams.
    pub client: Arc<dyn Client>,
    /// What may still be begun.
    pub drain: Drain,
    /// This process.
    pub local: Arc<LocalMember>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Tasks of this process.
    pub scope: Scope,
}

/// Forwards requests.
#[derive(Clone)]
pub struct Proxy {
    context: Context,
    /// Places of requests that wait for a first configuration.
    starting: Arc<Semaphore>,
}

impl Proxy {
    /// Forwards with `context`.
    pub fn new(context: Context) -> Self {
        Self { context, starting: Arc::new(Semaphore::new(MAX_STARTING)) }
    }

    /// Waits for a first configuration and a first listing of upstreams. Load: all entry VMs start while
    /// the store is away; who is turned away then returns once, and mostly in vain.
    async fn await_start(&self, request: &Request) {
        let Context { follower, placer, drain, .. } = &self.context;
        if follower.is_ready() {
            return;
        }
        let began = self.context.clock.now();
        let limit = request.patience.map_or(START_LIMIT, |patience| patience.mul_f64(START_SHARE));
        let place = self.starting.try_acquire();
        let known = async { tokio::join!(follower.configured(), placer.wait_for_listing()) };
        if place.is_ok() {
            tokio::select! {
                biased;
                _ = known => {}
                () = drain.wait_for_phase(Phase::Leaving) => {}
                () = tokio::time::sleep(limit) => {}
            }
        }
        info!("start_awaited", kv: {
            request = request.id, waited_ms = (self.context.clock.now() - began).as_millis() as u64,
            others = MAX_STARTING - self.starting.available_permits(),
            number = follower.routes().number(), revision = follower.directory().revision()
        });
    }

    /// Serves a request. Dropping the call cancels it.
    pub async fn handle(&self, request: Request) -> Reply {
        let entered = self.context.local.open_request(&request.id);
        let began = self.context.clock.now();
        let request = Arc::new(request);
        self.await_start(&request).await;
        let plan = match self.plan(&request, began) {
            Ok(plan) => plan,
            Err(refusal) => {
                self.context.metrics.count(Counter::Refused);
                info!("request_refused", kv: {
                    request = request.id, host = request.host, path = request.path,
                    code:? = refusal.code, number = self.context.follower.routes().number(),
                });
                return Reply::Refused(refusal);
            }
        };
        self.context.pacer.record_request(&plan.service);
        match plan.route.kind {
            Kind::Lookup | Kind::Action => call::run(&self.context, &request, &plan, began).await,
            Kind::Generation { .. } => {
                stream::run(self.context.clone(), request, plan, entered).await
            }
        }
    }

    fn plan(&self, request: &Request, began: Duration) -> Result<Plan, Refusal> {
        let plan = Plan::new(&self.context.follower.routes(), began, request)?;
        if plan.until <= self.context.clock.now() {
            return Err(Refusal::not_run(Code::Overloaded, "it waited for as long as it may"));
        }
        let expected = match plan.route.kind {
            Kind::Generation { .. } => GENERATION,
            Kind::Lookup | Kind::Action => CALL,
        };
        if self.context.drain.admits(expected) {
            return Ok(plan);
        }
        Err(Refusal::not_run(Code::Leaving, "this entry VM is leaving; use another"))
    }
}
