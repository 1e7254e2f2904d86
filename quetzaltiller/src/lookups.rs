//! Calls of plain services that may be repeated.
//!
//! A call that takes longer than most is hedged: sent again to another replica on a connection of
//! its own, and the first answer counts. Hedges and retries are paid from one budget.

use crate::actions::place;
use crate::dispatch::{Demand, Dispatch, Placement};
use crate::metrics::{Counter, Metrics};
use crate::pacer::Pacer;
use crate::prelude::*;
use crate::service::{self, Answer, Call};
use futures::StreamExt as _;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, sleep_until};

const MAX_TRIES: usize = 3;

/// What lookups use.
#[derive(Clone)]
pub struct Lookups {
    /// Services.
    pub services: Arc<dyn service::Client>,
    /// Choice of upstreams.
    pub dispatch: Dispatch,
    /// Hedging delays and retry budgets.
    pub pacer: Pacer,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl Lookups {
    /// Performs a call, hedging and retrying on other replicas within the budget.
    pub async fn run(
        &self,
        demand: Demand,
        call: &Call,
        patience: Duration,
    ) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + patience;
        let delay = self.pacer.hedge_delay(demand.service.as_deref().unwrap_or_default()).await;
        let mut race =
            Race { lookups: self, call, demand, deadline, tries: FuturesUnordered::new() };
        let mut pool = race.begin().await?;
        let mut begun = 1;
        let mut hedge_at = Instant::now() + delay;
        loop {
            let may_begin = begun < MAX_TRIES;
            tokio::select! {
                biased;
                Some(tried) = race.tries.next() => match tried {
                    Ok((upstream, answer)) => {
                        race.mark_overtaken(&upstream);
                        return Ok(answer);
                    }
                    Err(()) if !race.tries.is_empty() => continue,
                    Err(()) if !may_begin => return Err(unanswered()),
                    Err(()) => {}
                },
                () = sleep_until(hedge_at), if may_begin => {}
                () = sleep_until(deadline) => return Err(unanswered()),
            }
            hedge_at = Instant::now() + delay;
            if self.pacer.may_retry(&race.demand.account, &pool).await {
                self.metrics.count(Counter::LookupRetried);
                match race.begin().await {
                    Ok(next) => pool = next,
                    Err(refusal) if race.tries.is_empty() => return Err(refusal),
                    Err(_) => {}
                }
            } else if race.tries.is_empty() {
                return Err(unanswered());
            }
            begun += 1;
        }
    }
}

/// The tries of one call that are under way.
struct Race<'a> {
    lookups: &'a Lookups,
    call: &'a Call,
    demand: Demand,
    deadline: Instant,
    tries: FuturesUnordered<BoxFuture<'a, Result<Won, ()>>>,
}

/// The replica that answered, and its answer.
type Won = (String, Answer);

impl<'a> Race<'a> {
    /// Begins a try at a replica that has none yet; returns the replica's pool.
    async fn begin(&mut self) -> Result<String, Refusal> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let placement = place(&self.lookups.dispatch, self.demand.clone(), left).await?;
        self.lookups.metrics.count(Counter::LookupSent);
        self.demand.avoid.push(placement.upstream.name.clone());
        let pool = placement.pool.name.clone();
        let account = self.demand.account.clone();
        let service = self.demand.service.clone().unwrap_or_default();
        self.tries.push(Box::pin(attempt(self.lookups, self.call, placement, account, service)));
        Ok(pool)
    }

    /// Replicas that an answer of a later try overtook are avoided for a while: a connection that
    /// went silent never fails by itself.
    fn mark_overtaken(&self, winner: &str) {
        for upstream in self.demand.avoid.iter().take_while(|name| *name != winner) {
            self.lookups.dispatch.record_failure(upstream);
        }
    }
}

async fn attempt(
    lookups: &Lookups,
    call: &Call,
    placement: Placement,
    account: String,
    service: String,
) -> Result<Won, ()> {
    let began = Instant::now();
    match lookups.services.call(&placement.upstream.address, call).await {
        Ok(answer) => {
            let pool = &placement.pool.name;
            lookups.pacer.record_success(&service, &account, pool, began.elapsed());
            lookups.dispatch.record_success(&placement.upstream.name);
            Ok((placement.upstream.name.clone(), answer))
        }
        Err(_) => {
            lookups.dispatch.record_failure(&placement.upstream.name);
            Err(())
        }
    }
}

fn unanswered() -> Refusal {
    Refusal::new(Code::UpstreamFailed, Ran::Unknown, "no replica of the service answered")
}
