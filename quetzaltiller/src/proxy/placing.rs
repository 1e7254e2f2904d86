//! Asks for places for the runs of one generation.

use super::{Context, Plan, Request};
use crate::placement::{Demand, Placement, Run, Unplaced};
use crate::prelude::*;
use crate::prompts::PromptQuery;
use crate::routes::Kind;
use tokio::sync::mpsc;

/// What the next run needs.
#[derive(Clone, Debug, Default)]
pub struct Need {
    /// Engines that failed this generation.
    pub avoid: Vec<String>,
    /// Engine that holds a copy of the run's memory.
    pub copy: Option<String>,
    /// Engine that has read the prompt.
    pub cached: Option<String>,
    /// Tokens or work are at stake already.
    pub resumed: bool,
}

/// Result of a question.
pub type Placed = Result<Placement, Unplaced>;

/// Asks for one generation.
pub struct Placing {
    context: Context,
    request: Arc<Request>,
    plan: Arc<Plan>,
    results: mpsc::UnboundedSender<Placed>,
}

impl Placing {
    /// Asks for the runs of `request`; also where results come.
    pub fn new(
        context: Context,
        request: Arc<Request>,
        plan: Arc<Plan>,
    ) -> (Self, mpsc::UnboundedReceiver<Placed>) {
        let (results, received) = mpsc::unbounded_channel();
        (Self { context, request, plan, results }, received)
    }

    /// Asks for a place for the next run, after so many were sent. A caller that returns is asked
    /// for where its prompt is cached.
    pub fn ask(&self, need: Need, sent: u32) {
        let (context, results) = (self.context.clone(), self.results.clone());
        let (service, request) = (self.plan.service.clone(), self.request.clone());
        let repeats = sent > 0;
        let spent = sent >= self.plan.route.attempts;
        let returned = request.last_event.is_some() && !repeats;
        let mut demand = self.demand(need);
        self.context.scope.spawn(async move {
            let allowed = !spent && (!repeats || context.pacer.may_repeat(&service).await);
            if let (true, Some(run), Some(prompt)) = (returned, &mut demand.run, &request.prompt) {
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
            // Nobody listens once the generation has ended; the place is given back then.
            let _ = results.send(placed);
        });
    }

    /// What the next run asks of an engine.
    pub fn demand(&self, need: Need) -> Demand {
        let Need { avoid, copy, cached, resumed } = need;
        let (prompt, route) = (self.request.prompt.as_ref(), &self.plan.route);
        let now = self.context.clock.now();
        let waited = now.saturating_sub(self.plan.came);
        let objective = Duration::from_millis(route.objective_ms).saturating_sub(waited);
        let run = Run {
            copy,
            cached,
            prompt_tokens: prompt.map_or(0, |prompt| prompt.tokens),
            footprint: prompt.map_or(0, |prompt| prompt.footprint()),
            affinity: prompt.map_or(0, |prompt| prompt.own_part()),
            deadline: Some(self.plan.until.saturating_sub(now)),
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
