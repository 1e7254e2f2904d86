//! Measures hedging: lookups with one silent and one slow replica, with and without hedged
//! requests.

use crate::deployment::Deployment;
use crate::load::{LoadPlan, run_load};
use crate::report::Times;
use crate::run::on_virtual_time;
use crate::system::{System, Tuning};
use quetzaltiller::caller::Reply;
use quetzaltiller::metrics::Counter;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Mean number of lookups started per second.
const LOOKUPS_PER_S: f64 = 50.0;
/// Time during which lookups start.
const LOAD_DURATION: Duration = Duration::from_secs(40);
/// Delay added by the slow replica.
const SLOW_REPLICA_DELAY: Duration = Duration::from_millis(150);
/// Hedge delay that no lookup reaches, which disables hedging.
const DISABLED_HEDGE_DELAY: Duration = Duration::from_secs(3_600);

/// Measurements of one run.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct LookupFigures {
    /// Time from a lookup to its reply.
    pub lookup_ms: Times,
    /// Number of lookups without an answer.
    pub unanswered: usize,
    /// Mean number of calls to replicas per lookup.
    pub calls_per_lookup: f64,
}

/// Measurements of three runs with the same load.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Hedging {
    /// All replicas healthy, with hedging.
    pub healthy: LookupFigures,
    /// One replica silent and one slow, with hedging.
    pub hedged: LookupFigures,
    /// One replica silent and one slow, without hedging.
    pub unhedged: LookupFigures,
}

/// Runs the three measurements on virtual time.
pub fn measure(deployment: Deployment, seed: u64) -> Hedging {
    let measure_case = |faulty, hedges| on_virtual_time(run(deployment, seed, faulty, hedges));
    Hedging {
        healthy: measure_case(false, true),
        hedged: measure_case(true, true),
        unhedged: measure_case(true, false),
    }
}

async fn run(deployment: Deployment, seed: u64, faulty: bool, hedges: bool) -> LookupFigures {
    let mut tuning = Tuning::default();
    if !hedges {
        tuning.config = Some(Arc::new(|config| {
            config.timing.min_hedge = DISABLED_HEDGE_DELAY;
            config.timing.max_hedge = DISABLED_HEDGE_DELAY;
        }));
    }
    let system = System::start(deployment, seed, tuning).await;
    if faulty {
        system.network.set_frozen(&system.replicas[0].address, true);
        system.network.set_slow(&system.replicas[1].address, SLOW_REPLICA_DELAY);
    }
    let plan = LoadPlan {
        duration: LOAD_DURATION,
        drafts_per_s: 0.0,
        actions_per_s: 0.0,
        lookups_per_s: LOOKUPS_PER_S,
    };
    let records = run_load(&system, &plan, seed).await;
    let sent = system.count(Counter::LookupSent);
    system.stop();
    let answered = |reply: &Reply| matches!(reply, Reply::Answered(_));
    LookupFigures {
        lookup_ms: Times::new(records.lookups.iter().map(|lookup| lookup.latency)),
        unanswered: records.lookups.iter().filter(|lookup| !answered(&lookup.reply)).count(),
        calls_per_lookup: sent as f64 / records.lookups.len().max(1) as f64,
    }
}
