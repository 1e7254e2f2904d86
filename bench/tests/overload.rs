//! At three times the capacity, most of it from one account, the other accounts and the goodput are
//! not affected.

use bench::overload::measure;

/// Limit of the 95th percentile of the small accounts' time to the first token.
const MAX_FIRST_TOKEN_P95_MS: f64 = 1_100.0;
/// Minimum goodput at three times the capacity, as a fraction of that at the capacity.
const MIN_GOODPUT_RATIO: f64 = 0.9;

#[test]
fn an_account_far_above_its_share_does_not_starve_the_others() {
    let (full, over) = (measure(1.0, 1), measure(3.0, 1));

    assert!(over.goodput_per_s >= MIN_GOODPUT_RATIO * full.goodput_per_s, "{over:?} {full:?}");
    assert!(over.small_first_token_ms.p95 <= MAX_FIRST_TOKEN_P95_MS, "{over:?}");
    assert!(over.offered > 2 * full.offered, "the excess load was generated: {over:?}");
}
