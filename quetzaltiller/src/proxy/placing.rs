//! Requests placements for the runs of one generation.

use super::{CHECK_LIMIT, Context, Plan, Request};
use crate::placement::{Demand, Placement, Run, Unplaced};
use crate::prelude::*;
use crate::prompts::PromptQuery;
use crate::routes::Kind;
use tokio::sync::mpsc;

/// Maximum number of engines that are checked for one run; all of a zone may be unreachable.
const MAX_CHECKED_ENGINES: usize = 3;

/// Requirements of the next run, from the generation's machine.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Engines that failed this generation.
    pub avoid: Vec<String>,
    /// Engine that holds a copy of the run's memory.
    pub copy: Option<String>,
    /// Engine that probably has the prompt cached.
    pub cached: Option<String>,
    /// Whether earlier runs of the generation have produced tokens or work.
    pub resumed: bool,
    /// Whether the generation's run is still connected to its silent engine, which is given up only
    /// for one that accepts connections.
    pub connected: bool,
}

/// Runs of a generation that were sent to engines.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    /// Number of runs sent.
    pub sent: u32,
    /// Number of them that count towards the route's limit.
    pub counted: u32,
}

/// Reason why a run was not placed.
#[derive(Clone, Copy, Debug)]
pub enum Failure {
    /// The route allows no further run.
    AttemptsUsedUp,
    /// The retry budget is used up for now.
    BudgetUsedUp,
    /// No engine takes the run now.
    Unplaced(Unplaced),
}

impl Failure {
    /// Refusal code for the caller.
    pub fn code(self) -> Code {
        match self {
            Self::AttemptsUsedUp | Self::BudgetUsedUp => Unplaced::NoUpstream.code(),
            Self::Unplaced(unplaced) => unplaced.code(),
        }
    }

    /// Time after which a repeated request may be placed.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::AttemptsUsedUp | Self::BudgetUsedUp => Unplaced::NoUpstream.retry_after(),
            Self::Unplaced(unplaced) => unplaced.retry_after(),
        }
    }
}

/// Result of a placement request.
pub type PlacementResult = Result<Placement, Failure>;

/// Sender of one generation's placement requests.
pub struct Placing {
    context: Context,
    request: Arc<Request>,
    plan: Arc<Plan>,
    results: mpsc::UnboundedSender<PlacementResult>,
}

impl Placing {
    /// Creates the sender for the runs of `request`, and the receiver of the results.
    pub fn new(
        context: Context,
        request: Arc<Request>,
        plan: Arc<Plan>,
    ) -> (Self, mpsc::UnboundedReceiver<PlacementResult>) {
        let (results, received) = mpsc::unbounded_channel();
        (Self { context, request, plan, results }, received)
    }

    /// Requests a placement for the run after `attempts`. For a caller that reconnects, the engine
    /// that has the prompt cached is looked up first.
    pub fn request(&self, need: Need, attempts: Attempts) {
        let (context, results) = (self.context.clone(), self.results.clone());
        let (service, request) = (self.plan.service.clone(), self.request.clone());
        let is_repeat = attempts.sent > 0;
        if attempts.counted >= self.plan.route.attempts {
            let _ = results.send(Err(Failure::AttemptsUsedUp));
            return;
        }
        let reconnected = request.last_event.is_some() && !is_repeat;
        let connected = need.connected;
        let mut demand = self.demand(need);
        self.context.scope.spawn(async move {
            if is_repeat && !context.pacer.may_repeat(&service).await {
                let _ = results.send(Err(Failure::BudgetUsedUp));
                return;
            }
            if let (true, Some(run), Some(prompt)) = (reconnected, &mut demand.run, &request.prompt)
            {
                let (model, part) = (prompt.model.clone(), run.affinity);
                let query = PromptQuery { service: service.clone(), model, part };
                run.cached = context.finder.find(&query).await;
                info!("prompt_located", kv: { request = request.id, engine:? = run.cached });
            }
            let placed = place(&context, demand, connected).await;
            if is_repeat && placed.is_err() {
                context.pacer.refund_repeat(&service);
            }
            // Sending fails once the generation has ended; dropping the placement releases it.
            let _ = results.send(placed.map_err(Failure::Unplaced));
        });
    }

    /// Returns the repeat that a placement has withdrawn from the budget and that is not sent.
    pub fn refund(&self) {
        self.context.pacer.refund_repeat(&self.plan.service);
    }

    /// Demand of the next run on an engine.
    pub fn demand(&self, need: Need) -> Demand {
        let Need { avoid, copy, cached, resumed, .. } = need;
        let (prompt, route) = (self.request.prompt.as_ref(), &self.plan.route);
        let now = self.context.clock.now();
        let waited = now.saturating_sub(self.plan.arrived_at);
        let objective = Duration::from_millis(route.objective_ms).saturating_sub(waited);
        let run = Run {
            copy,
            cached,
            prompt_tokens: prompt.map_or(0, |prompt| prompt.tokens),
            footprint: prompt.map_or(0, |prompt| prompt.footprint()),
            affinity: prompt.map_or(0, |prompt| prompt.own_part()),
            deadline: Some(self.plan.deadline.saturating_sub(now)),
            objective: (!resumed && self.request.last_event.is_none()).then_some(objective),
            wants_backup: route.kind == Kind::Generation { resumable: true },
        };
        Demand {
            service: self.plan.service.clone(),
            account: self.plan.account.clone().unwrap_or_default(),
            avoid,
            run: Some(run),
        }
    }
}

/// Places a run; if `checks`, at an engine that was found to accept connections.
async fn place(context: &Context, mut demand: Demand, checks: bool) -> Result<Placement, Unplaced> {
    for _ in 0..MAX_CHECKED_ENGINES {
        let placement = context.placer.place(demand.clone()).await?;
        let Placement { upstream, .. } = &placement;
        if !checks || context.client.check(upstream.address, CHECK_LIMIT).await {
            return Ok(placement);
        }
        context.placer.record_unreachable(&upstream.id);
        demand.avoid.push(upstream.id.clone());
    }
    Err(Unplaced::NoUpstream)
}
