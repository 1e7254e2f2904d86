//! A silent and a slow replica cost lookups little.

use bench::deployment::Deployment;
use bench::hedge::measure;
use rstest::rstest;

/// Longest hedge delay of the default settings.
const HEDGE_DELAY_MS: f64 = 250.0;
/// A fresh try that meets the slow replica: its delay of 150 ms and an ordinary lookup.
const FRESH_TRY_MS: f64 = 160.0;
/// Attempts for each request while a third of the replicas fails.
const MAX_CALLS_PER_LOOKUP: f64 = 1.2;

#[rstest]
#[case::foundation(Deployment::Foundation)]
#[case::cooperative(Deployment::Cooperative)]
fn a_silent_replica_costs_a_hedge_delay_and_a_fresh_try(#[case] deployment: Deployment) {
    let figures = measure(deployment, 1);

    assert_eq!(figures.hedged.unanswered, 0);
    assert!(figures.hedged.lookup_ms.max <= HEDGE_DELAY_MS + FRESH_TRY_MS, "{figures:?}");
    assert!(figures.hedged.calls_per_lookup <= MAX_CALLS_PER_LOOKUP, "{figures:?}");
    assert!(figures.unhedged.unanswered > 0, "the faults strike: {figures:?}");
}
