//! Lookups with a silent and a slow replica, with and without hedging.

use crate::deployment::Deployment;
use crate::load::{Plan, offer};
use crate::report::Times;
use crate::run::on_virtual_time;
use crate::system::{System, Tuning};
use quetzaltiller::caller::Reply;
use quetzaltiller::metrics::Counter;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

const LOOKUPS_PER_S: f64 = 50.0;
const LOAD: Duration = Duration::from_secs(40);
const SLOWNESS: Duration = Duration::from_millis(150);
const NO_HEDGE: Duration = Duration::from_secs(3_600);

/// Figures of one way.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Way {
    /// Time of lookups.
    pub lookup_ms: Times,
    /// Lookups without an answer.
    pub unanswered: usize,
    /// Calls sent for each lookup.
    pub calls_per_lookup: f64,
}

/// Both ways under the same load and faults.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Hedging {
    /// All replicas are well.
    pub healthy: Way,
    /// One replica is silent and one slow, with hedging.
    pub hedged: Way,
    /// The same without.
    pub unhedged: Way,
}

/// Measures on virtual time.
pub fn measure(deployment: Deployment, seed: u64) -> Hedging {
    let way = |faulty, hedges| on_virtual_time(run(deployment, seed, faulty, hedges));
    Hedging { healthy: way(false, true), hedged: way(true, true), unhedged: way(true, false) }
}

async fn run(deployment: Deployment, seed: u64, faulty: bool, hedges: bool) -> Way {
    let mut tuning = Tuning::default();
    if !hedges {
        tuning.config = Some(Arc::new(|config| {
            config.timing.min_hedge = NO_HEDGE;
            config.timing.max_hedge = NO_HEDGE;
        }));
    }
    let system = System::start(deployment, seed, tuning).await;
    if faulty {
        system.network.set_frozen(&system.replicas[0].address, true);
        system.network.set_slow(&system.replicas[1].address, SLOWNESS);
    }
    let plan = Plan {
        duration: LOAD,
        drafts_per_s: 0.0,
        actions_per_s: 0.0,
        lookups_per_s: LOOKUPS_PER_S,
    };
    let records = offer(&system, &plan, seed).await;
    let sent = system.count(Counter::LookupSent);
    system.stop();
    let answered = |reply: &Reply| matches!(reply, Reply::Answered(_));
    Way {
        lookup_ms: Times::new(records.lookups.iter().map(|lookup| lookup.took)),
        unanswered: records.lookups.iter().filter(|lookup| !answered(&lookup.reply)).count(),
        calls_per_lookup: sent as f64 / records.lookups.len().max(1) as f64,
    }
}
