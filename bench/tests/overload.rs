//! Three times the capacity, most of it from one account: the others and the goodput do not suffer.

use bench::overload::measure;

/// First token for 95 in 100.
const FIRST_TOKEN_MS: f64 = 1_100.0;
/// Goodput at three times the load, of that at the capacity.
const MIN_GOODPUT: f64 = 0.9;

#[test]
fn an_account_far_above_its_share_does_not_starve_the_others() {
    let (full, over) = (measure(1.0, 1), measure(3.0, 1));

    assert!(over.goodput_per_s >= MIN_GOODPUT * full.goodput_per_s, "{over:?} {full:?}");
    assert!(over.small_first_token_ms.p95 <= FIRST_TOKEN_MS, "{over:?}");
    assert!(over.offered > 2 * full.offered, "the load is offered: {over:?}");
}
