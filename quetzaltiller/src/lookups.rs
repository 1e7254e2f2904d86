//! Calls of plain services that may be repeated.

use crate::actions::place;
use crate::dispatch::{Demand, Dispatch};
use crate::metrics::{Counter, Metrics};
use crate::prelude::*;
use crate::service::{self, Answer, Call};
use tokio::time::{Instant, timeout};

const MAX_TRIES: usize = 3;
/// A try gets this share of the time that is left, so that another one is possible.
const TRY_SHARE: u32 = 3;
const MIN_TRY: Duration = Duration::from_millis(100);

/// What lookups use.
#[derive(Clone)]
pub struct Lookups {
    /// Services.
    pub services: Arc<dyn service::Client>,
    /// Choice of upstreams.
    pub dispatch: Dispatch,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl Lookups {
    /// Performs a call, trying other replicas when one does not answer.
    pub async fn run(
        &self,
        demand: Demand,
        call: &Call,
        patience: Duration,
    ) -> Result<Answer, Refusal> {
        let deadline = Instant::now() + patience;
        let mut demand = demand;
        for tried in 0..MAX_TRIES {
            let left = deadline.saturating_duration_since(Instant::now());
            let placement = place(&self.dispatch, demand.clone(), left).await?;
            self.metrics.count(Counter::LookupSent);
            if tried > 0 {
                self.metrics.count(Counter::LookupRetried);
            }
            let share = (left / TRY_SHARE).max(MIN_TRY);
            let answer = self.services.call(&placement.upstream.address, call);
            if let Ok(Ok(answer)) = timeout(share, answer).await {
                return Ok(answer);
            }
            self.dispatch.failed(&placement.upstream.name);
            demand.avoid.push(placement.upstream.name.clone());
        }
        let message = "no replica of the service answered";
        Err(Refusal::new(Code::UpstreamFailed, Ran::Unknown, message))
    }
}
