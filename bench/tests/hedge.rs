//! With hedging, a silent and a slow replica delay lookups only by a bounded time.

use bench::deployment::Deployment;
use bench::hedge::measure;
use rstest::rstest;

/// Longest hedge delay of the default settings.
const HEDGE_DELAY_MS: f64 = 250.0;
/// A new try that reaches the slow replica: the replica's delay of 150 ms and an ordinary lookup.
const NEW_TRY_MS: f64 = 160.0;
/// Maximum mean number of calls per lookup while a third of the replicas fails.
const MAX_CALLS_PER_LOOKUP: f64 = 1.2;

#[rstest]
#[case::foundation(Deployment::Foundation)]
#[case::cooperative(Deployment::Cooperative)]
fn a_silent_replica_adds_at_most_a_hedge_delay_and_one_new_try(#[case] deployment: Deployment) {
    let figures = measure(deployment, 1);

    assert_eq!(figures.hedged.unanswered, 0);
    assert!(figures.hedged.lookup_ms.max <= HEDGE_DELAY_MS + NEW_TRY_MS, "{figures:?}");
    assert!(figures.hedged.calls_per_lookup <= MAX_CALLS_PER_LOOKUP, "{figures:?}");
    assert!(
        figures.unhedged.unanswered > 0,
        "without hedging, the faults cost answers: {figures:?}"
    );
}
