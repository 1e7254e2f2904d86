//! Lookups: idempotent calls of plain services.
//!
//! A call that takes longer than most is hedged: it is also sent to another replica on a separate
//! connection, and the first answer is used. Hedges and retries share one budget.

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

/// Most attempts for one call, hedges and retries included.
const MAX_ATTEMPTS: usize = 3;

/// Dependencies of running lookups.
#[derive(Clone)]
pub struct Lookups {
    /// Client for plain services.
    pub services: Arc<dyn service::Client>,
    /// Chooses upstreams.
    pub dispatch: Dispatch,
    /// Hedging delays and retry budgets.
    pub pacer: Pacer,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl Lookups {
    /// Performs a call, with hedges and retries on other replicas within the budget.
    pub async fn run(
        &self,
        demand: Demand,
        call: &Call,
        patience: Duration,
    ) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + patience;
        let delay = self.pacer.hedge_delay(demand.service.as_deref().unwrap_or_default()).await;
        let mut race =
            Race { lookups: self, call, demand, deadline, attempts: FuturesUnordered::new() };
        let mut pool = race.start_attempt().await?;
        let mut started = 1;
        let mut hedge_at = Instant::now() + delay;
        loop {
            let may_start = started < MAX_ATTEMPTS;
            tokio::select! {
                biased;
                Some(outcome) = race.attempts.next() => match outcome {
                    Ok((upstream, answer)) => {
                        race.record_overtaken(&upstream);
                        return Ok(answer);
                    }
                    Err(()) if !race.attempts.is_empty() => continue,
                    Err(()) if !may_start => return Err(unanswered()),
                    Err(()) => {}
                },
                () = sleep_until(hedge_at), if may_start => {}
                () = sleep_until(deadline) => return Err(unanswered()),
            }
            hedge_at = Instant::now() + delay;
            if self.pacer.may_retry(&race.demand.account, &pool).await {
                self.metrics.count(Counter::LookupRetried);
                match race.start_attempt().await {
                    Ok(next) => pool = next,
                    Err(refusal) if race.attempts.is_empty() => return Err(refusal),
                    Err(_) => {}
                }
            } else if race.attempts.is_empty() {
                return Err(unanswered());
            }
            started += 1;
        }
    }
}

/// The attempts of one call that are in flight.
struct Race<'a> {
    lookups: &'a Lookups,
    call: &'a Call,
    demand: Demand,
    deadline: Instant,
    attempts: FuturesUnordered<BoxFuture<'a, Result<Winner, ()>>>,
}

/// Name of the replica that answered, and its answer.
type Winner = (String, Answer);

impl<'a> Race<'a> {
    /// Starts an attempt at a replica that has had none yet; returns the name of the replica's
    /// pool.
    async fn start_attempt(&mut self) -> Result<String, Refusal> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let placement = place(&self.lookups.dispatch, self.demand.clone(), remaining).await?;
        self.lookups.metrics.count(Counter::LookupSent);
        self.demand.avoid.push(placement.upstream.name.clone());
        let pool = placement.pool.name.clone();
        let account = self.demand.account.clone();
        let service = self.demand.service.clone().unwrap_or_default();
        self.attempts.push(Box::pin(run_attempt(
            self.lookups,
            self.call,
            placement,
            account,
            service,
        )));
        Ok(pool)
    }

    /// Records a failure for each replica tried before the winner, so that it is avoided for a
    /// while: a connection that went silent never fails by itself.
    fn record_overtaken(&self, winner: &str) {
        for upstream in self.demand.avoid.iter().take_while(|name| *name != winner) {
            self.lookups.dispatch.record_failure(upstream);
        }
    }
}

async fn run_attempt(
    lookups: &Lookups,
    call: &Call,
    placement: Placement,
    account: String,
    service: String,
) -> Result<Winner, ()> {
    let started_at = Instant::now();
    match lookups.services.call(&placement.upstream.address, call).await {
        Ok(answer) => {
            let pool = &placement.pool.name;
            lookups.pacer.record_success(&service, &account, pool, started_at.elapsed());
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
