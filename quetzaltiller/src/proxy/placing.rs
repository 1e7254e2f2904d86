//! Requests placements for the runs of one generation.

use super::{Context, Plan, Request};
use crate::placement::{Demand, Placement, Run, Unplaced};
use crate::prelude::*;
use crate::prompts::PromptQuery;
use crate::routes::Kind;
use tokio::sync::mpsc;

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
}

/// Result of a placement request.
pub type PlacementResult = Result<Placement, Unplaced>;

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

    /// Requests a placement for the next run; `sent` is the number of runs sent before. For a
    /// caller that reconnects, the engine that has the prompt cached is looked up first.
    pub fn request(&self, need: Need, sent: u32) {
        let (context, results) = (self.context.clone(), self.results.clone());
        let (service, request) = (self.plan.service.clone(), self.request.clone());
        let is_repeat = sent > 0;
        let attempts_used_up = sent >= self.plan.route.attempts;
        let reconnected = request.last_event.is_some() && !is_repeat;
        let mut demand = self.demand(need);
        self.context.scope.spawn(async move {
            let allowed =
                !attempts_used_up && (!is_repeat || context.pacer.may_repeat(&service).await);
            if let (true, Some(run), Some(prompt)) = (reconnected, &mut demand.run, &request.prompt)
            {
                let (model, part) = (prompt.model.clone(), run.affinity);
                let query = PromptQuery { service: service.clone(), model, part };
                run.cached = context.finder.find(&query).await;
                info!("prompt_located", kv: { request = request.id, engine:? = run.cached });
            }
            let placed = if allowed {
                context.placer.place(demand).await
            } else {
                Err(Unplaced::NoUpstream)
            };
            // Sending fails once the generation has ended; dropping the placement releases it.
            let _ = results.send(placed);
        });
    }

    /// Demand of the next run on an engine.
    pub fn demand(&self, need: Need) -> Demand {
        let Need { avoid, copy, cached, resumed } = need;
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
