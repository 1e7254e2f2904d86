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
use crate::drain::Drain;
use crate::follower::Follower;
use crate::metrics::{Counter, Metrics};
use crate::own::Own;
use crate::pacer::Pacer;
use crate::placement::Placer;
use crate::prelude::*;
use crate::prompts::Finder;
use crate::routes::Kind;
use crate::scope::Scope;
use crate::upstream::Client;

/// Time of a generation whose prompt need not wait, for the last moment to begin one.
const GENERATION: Duration = Duration::from_millis(6_000);
/// The same for a call of a plain service.
const CALL: Duration = Duration::from_millis(1_000);

/// Longest time that requests wait for a first configuration, which the store tells in 10 ms, and for the
/// upstreams, which take 10 ms for each 500.
const START_LIMIT: Duration = Duration::from_millis(400);

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
    pub own: Arc<Own>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Tasks of this process.
    pub scope: Scope,
}

/// Forwards requests.
#[derive(Clone)]
pub struct Proxy {
    context: Context,
}

impl Proxy {
    /// Forwards with `context`.
    pub fn new(context: Context) -> Self {
        Self { context }
    }

    /// Waits for a first configuration and a first listing of upstreams.
    async fn await_start(&self) {
        let Context { follower, placer, .. } = &self.context;
        let known = async { tokio::join!(follower.configured(), placer.listed()) };
        if tokio::time::timeout(START_LIMIT, known).await.is_err() {
            let (number, revision) = (follower.routes().number(), follower.directory().revision());
            debug!("start_awaited_in_vain", kv: { number, revision });
        }
    }

    /// Serves a request. Dropping the call cancels it.
    pub async fn handle(&self, request: Request) -> Reply {
        let entered = self.context.own.enter(&request.id);
        let began = self.context.clock.now();
        let request = Arc::new(request);
        self.await_start().await;
        let plan = match self.plan(&request) {
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
        self.context.pacer.requested(&plan.service);
        match plan.route.kind {
            Kind::Lookup | Kind::Action => call::run(&self.context, &request, &plan, began).await,
            Kind::Generation { .. } => {
                stream::run(self.context.clone(), request, plan, entered).await
            }
        }
    }

    fn plan(&self, request: &Request) -> Result<Plan, Refusal> {
        let plan = Plan::new(&self.context.follower.routes(), self.context.clock.now(), request)?;
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
