//! Engines that one part of a prompt crashes, seen by many VMs that start, freeze and lose each
//! other's records.

mod fleet;

use coordination::quarantine::{Ledger, Record, Subject};
use fleet::{BAD, Cause, Outcome, Plan, Shape, Trouble, play};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

/// Requests with the bad part that may be sent late.
const MAX_LATE: usize = 3;
/// Part that the bad part's requests share with others.
const SHARED: Subject = Subject::Part(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Seeds of each case; more by hand.
fn seeds() -> std::ops::Range<u64> {
    0..std::env::var("SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(2)
}

/// Ledger that saw crashes of distinct engines, half a second apart.
fn crashed(ledger: Ledger, from: u64, parts: &[Subject], count: u64) -> Ledger {
    (0..count).fold(ledger, |mut ledger, n| {
        ledger.record_crash(ms(from + 500 * n), parts, &format!("engine-{}", from + n));
        ledger
    })
}

/// Record as it is stored.
fn record(round: u32, engines: &[u32], moments: u32, focused: u32) -> Record {
    let crashes = engines.iter().map(|n| format!("engine-{n:04}")).collect::<Vec<_>>();
    let fields = serde_json::json!({
        "round": round, "crashes": crashes, "moments": moments, "focused": focused,
    });
    serde_json::from_value(fields).unwrap()
}

fn merged(records: &[&Record]) -> Record {
    let mut all = Record::default();
    for record in records {
        all.merge(record);
    }
    all
}

/// Records with up to twice the crashes that one keeps, once they are merged.
fn any_record() -> impl Strategy<Value = Record> {
    let engines = prop::collection::vec(0_u32..800, 0..400);
    (0_u32..3, engines, 0_u32..9, 0_u32..4)
        .prop_map(|(round, engines, moments, focused)| record(round, &engines, moments, focused))
}

proptest! {
    /// Copies arrive in any order.
    #[test]
    fn merge_is_commutative(a in any_record(), b in any_record()) {
        prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
    }

    /// Copies arrive joined to others.
    #[test]
    fn merge_is_associative(a in any_record(), b in any_record(), c in any_record()) {
        let left = merged(&[&merged(&[&a, &b]), &c]);
        let right = merged(&[&a, &merged(&[&b, &c])]);
        prop_assert_eq!(left, right);
    }

    /// Copies arrive twice.
    #[test]
    fn merge_is_idempotent(a in any_record(), b in any_record()) {
        let mut all = merged(&[&a, &b]);
        prop_assert!(!all.merge(&b));
        prop_assert_eq!(all, merged(&[&a, &b]));
    }
}

/// A part that crashes engine after engine.
#[test]
fn crashes_at_distinct_moments_condemn() {
    let ledger = crashed(Ledger::new(), 0, &[BAD], 4);

    assert_eq!(ledger.refused(ms(2_000), &[Subject::Part(7), BAD]), Some(BAD));
    assert_eq!(ledger.verdicts().refused(&[Subject::Part(7), BAD]), Some(BAD));
    assert_eq!(ledger.refused(ms(2_000), &[Subject::Part(7)]), None);
}

/// Engines that lose their power together.
#[test]
fn crashes_at_one_moment_do_not_condemn() {
    let mut ledger = Ledger::new();

    for engine in 0..30 {
        ledger.record_crash(ms(10 * engine), &[SHARED], &format!("engine-{engine}"));
    }

    assert_eq!(ledger.refused(ms(2_000), &[SHARED]), None);
}

/// More engines than a record keeps crash before there are enough moments.
#[test]
fn a_full_record_still_counts_moments() {
    let full = (0..256).collect::<Vec<_>>();
    let mut ledger = Ledger::new();
    ledger.merge(ms(0), BAD, &record(0, &full, 6, 0));

    let changed = ledger.record_crash(ms(500), &[BAD], "one-more");

    assert_eq!(changed, [BAD]);
    assert_eq!(ledger.refused(ms(500), &[BAD]), Some(BAD));
}

/// Several runs of one VM on one engine.
#[test]
fn one_engine_counts_once() {
    let mut ledger = Ledger::new();

    for n in 0..20 {
        ledger.record_crash(ms(500 * n), &[BAD], "engine");
    }

    assert_eq!(ledger.refused(ms(20_000), &[BAD]), None);
}

/// Engines that end one after the other under many parts.
#[test]
fn crashes_among_many_others_condemn_only_after_more_moments() {
    let mut ledger = Ledger::new();
    let mut refused_at = None;

    for n in 0..8 {
        for other in 0..5 {
            let engine = format!("other-{n}-{other}");
            ledger.record_crash(ms(500 * n), &[Subject::Part(100 + 10 * n + other)], &engine);
        }
        ledger.record_crash(ms(500 * n), &[BAD], &format!("engine-{n}"));
        let is_refused = ledger.refused(ms(500 * n), &[BAD]).is_some();
        refused_at = refused_at.or(is_refused.then_some(n));
    }

    assert_eq!(refused_at, Some(6));
}

/// Sound requests beside the bad ones.
#[test]
fn a_part_that_only_accompanies_the_bad_one_is_served() {
    let ledger = crashed(Ledger::new(), 0, &[SHARED, BAD], 4);

    assert_eq!(ledger.refused(ms(2_000), &[SHARED, Subject::Part(9)]), None);
    assert_eq!(ledger.verdicts().refused(&[SHARED, Subject::Part(9)]), None);
    assert_eq!(ledger.refused(ms(2_000), &[SHARED, BAD]), Some(BAD));
    assert_eq!(ledger.verdicts().refused(&[SHARED, BAD]), Some(BAD));
}

/// A part in use takes no blame.
#[test]
fn a_part_that_settled_lately_is_not_suspected() {
    let mut ledger = Ledger::new();
    ledger.record_settled(ms(0), &[SHARED]);
    ledger.record_settled(ms(2_000), &[SHARED]);

    let ledger = crashed(ledger, 3_000, &[SHARED, BAD], 4);

    assert!(ledger.record(SHARED).is_none());
    assert_eq!(ledger.refused(ms(6_000), &[SHARED, BAD]), Some(BAD));
}

/// A delayed connection makes a run seem settled whose engine has crashed.
#[test]
fn one_settled_run_does_not_acquit_a_condemned_part() {
    let mut ledger = crashed(Ledger::new(), 0, &[BAD], 4);

    let changed = ledger.record_settled(ms(3_000), &[BAD]);

    assert!(changed.is_empty());
    assert_eq!(ledger.refused(ms(3_000), &[BAD]), Some(BAD));
}

/// A part that was condemned by chance.
#[test]
fn settled_runs_at_distinct_times_acquit() {
    let mut ledger = crashed(Ledger::new(), 0, &[SHARED], 4);

    ledger.record_settled(ms(3_000), &[SHARED]);
    let changed = ledger.record_settled(ms(4_000), &[SHARED]);

    assert_eq!(changed, [SHARED]);
    assert_eq!(ledger.refused(ms(4_000), &[SHARED]), None);
    assert_eq!(ledger.record(SHARED).map(Record::round), Some(1));
}

/// The store comes back from an older copy, or an answer comes late.
#[test]
fn a_stale_copy_changes_nothing_and_is_to_be_replaced() {
    let ledger = crashed(Ledger::new(), 0, &[BAD], 3);
    let stale = ledger.record(BAD).unwrap().clone();
    let mut ledger = crashed(ledger, 1_500, &[BAD], 3);
    let current = ledger.record(BAD).unwrap().clone();

    assert!(ledger.merge(ms(9_000), BAD, &stale));
    assert!(!ledger.merge(ms(9_000), BAD, &current));
    assert_eq!(ledger.record(BAD), Some(&current));
}

/// A VM that has served a part which others condemn.
#[test]
fn a_part_proven_here_is_acquitted_when_its_record_arrives() {
    let condemned = crashed(Ledger::new(), 0, &[SHARED], 4).record(SHARED).unwrap().clone();
    let mut ledger = Ledger::new();
    ledger.record_settled(ms(0), &[SHARED]);
    ledger.record_settled(ms(1_000), &[SHARED]);

    assert!(ledger.merge(ms(2_000), SHARED, &condemned));
    assert_eq!(ledger.refused(ms(2_000), &[SHARED]), None);
}

/// An operator deletes the record.
#[test]
fn a_removed_record_is_forgotten() {
    let mut ledger = crashed(Ledger::new(), 0, &[BAD], 4);

    ledger.remove(BAD);

    assert_eq!(ledger.refused(ms(2_000), &[BAD]), None);
    assert!(ledger.record(BAD).is_none());
}

/// Records don't pile up in the store, and one VM deletes each.
#[rstest]
#[case::own(1, false, 10 * 60, true)]
#[case::foreign(1, true, 10 * 60, false)]
#[case::foreign_left_over(1, true, 11 * 60, true)]
#[case::condemned_is_kept(4, false, 11 * 60, false)]
#[case::condemned(4, false, 60 * 60, true)]
fn records_expire(
    #[case] crashes: u64,
    #[case] is_foreign: bool,
    #[case] after_s: u64,
    #[case] is_expired: bool,
) {
    let mut ledger = crashed(Ledger::new(), 0, &[BAD], crashes);
    if is_foreign {
        let record = ledger.record(BAD).unwrap().clone();
        ledger = Ledger::new();
        ledger.merge(ms(500 * (crashes - 1)), BAD, &record);
    }
    let changed_at = ms(500 * (crashes - 1));

    let expired = ledger.expire(changed_at + Duration::from_secs(after_s));

    assert_eq!(expired, if is_expired { vec![BAD] } else { vec![] });
    assert_eq!(ledger.record(BAD).is_none(), is_expired);
}

/// Many parts that crash once, beside the one at fault.
#[test]
fn records_are_bounded_and_the_condemned_one_stays() {
    let mut ledger = crashed(Ledger::new(), 0, &[BAD], 4);

    for part in 10_000..13_000 {
        ledger.record_crash(ms(part), &[Subject::Part(part)], &format!("engine-{part}"));
        ledger.record_settled(ms(part), &[Subject::Part(1_000_000 + part)]);
    }

    assert_eq!(ledger.records().count(), 1_024);
    assert!(ledger.record(BAD).is_some());
    assert_eq!(ledger.expire(ms(13_000)).len(), 3_001 - 1_024);
}

/// A record takes no more than its crashes, whatever is written to the store.
#[test]
fn crashes_of_a_record_are_bounded() {
    let engines = (0..500).collect::<Vec<_>>();

    let all = merged(&[&record(0, &engines, 1, 1)]);

    assert_eq!(all.crashes().len(), 256);
}

/// An odd record at the end of its counts.
#[test]
fn a_record_at_its_limits_does_not_overflow() {
    let mut ledger = Ledger::new();
    ledger.merge(ms(0), SHARED, &record(u32::MAX, &[1, 2, 3, 4], u32::MAX, u32::MAX));

    let mut ledger = crashed(ledger, 1_000, &[SHARED], 4);
    ledger.record_settled(ms(4_000), &[SHARED]);
    let changed = ledger.record_settled(ms(6_000), &[SHARED]);

    assert_eq!(changed, [SHARED]);
}

fn assert_late(plan: Plan, outcome: &Outcome) {
    let late = outcome.late();
    assert!(late <= MAX_LATE, "{late} requests with the bad part sent late, {plan:?}");
}

/// Sound requests begin as often as without the bad ones, but for one in a hundred.
fn assert_sound(plan: Plan, outcome: &Outcome) {
    let (sound, refused) = outcome.sound_late();
    assert!(100 * refused <= sound, "{refused} of {sound} sound requests refused, {plan:?}");
}

/// All shapes of requests and the seeds of a case.
fn plans(vms: usize, trouble: Trouble, bad_rate: f64, cause: Cause) -> Vec<Plan> {
    let shapes = [Shape::Known, Shape::Fresh, Shape::KnownVaried, Shape::FreshVaried, Shape::First];
    let plan = |shape, seed| Plan { vms, seed, trouble, bad_rate, shape, cause };
    shapes.into_iter().flat_map(|shape| seeds().map(move |seed| plan(shape, seed))).collect()
}

#[rstest]
fn few_bad_requests_reach_engines_and_sound_ones_all_do(
    #[values(4, 27, 118)] vms: usize,
    #[values(0.5, 20.0)] bad_rate: f64,
    #[values(
        Trouble::Calm,
        Trouble::Starting,
        Trouble::Replaced,
        Trouble::Frozen,
        Trouble::Cut,
        Trouble::StoreDown,
        Trouble::Killed,
        Trouble::Restored,
        Trouble::Lossy
    )]
    trouble: Trouble,
) {
    for plan in plans(vms, trouble, bad_rate, Cause::None) {
        let outcome = play(plan);

        assert!(outcome.crashes.len() >= 4, "{plan:?}");
        assert_late(plan, &outcome);
        assert_sound(plan, &outcome);
    }
}

#[rstest]
fn other_crashes_condemn_no_sound_part(
    #[values(4, 27, 118)] vms: usize,
    #[values(Cause::Rack, Cause::Zones, Cause::Release)] cause: Cause,
    #[values(Trouble::Calm, Trouble::Replaced, Trouble::Killed)] trouble: Trouble,
) {
    for plan in plans(vms, trouble, 0.0, cause) {
        let outcome = play(plan);

        assert!(!outcome.sound.is_empty());
        assert!(outcome.refused.is_empty(), "{} refused, {plan:?}", outcome.refused.len());
    }
}

/// Calls of the store and its contents while requests with the bad part come.
#[rstest]
#[case(4, 200, 40, 4_000)]
#[case(27, 1_500, 60, 6_000)]
#[case(118, 5_000, 80, 8_000)]
fn store_calls_and_state_are_bounded(
    #[case] vms: usize,
    #[case] max_calls: u64,
    #[case] max_records: usize,
    #[case] max_bytes: usize,
) {
    for plan in plans(vms, Trouble::Calm, 20.0, Cause::None) {
        let outcome = play(plan);

        assert!(outcome.calls <= max_calls, "{} calls, {plan:?}", outcome.calls);
        assert!(outcome.store_records <= max_records, "{plan:?}");
        assert!(outcome.store_bytes <= max_bytes, "{plan:?}");
    }
}

/// Engines that crash again and again from overload, without a bad part.
#[test]
fn overload_condemns_no_sound_part() {
    for vms in [4, 27, 118] {
        for trouble in [Trouble::Calm, Trouble::Replaced, Trouble::Killed] {
            for plan in plans(vms, trouble, 0.0, Cause::Overload) {
                let outcome = play(plan);

                assert!(outcome.refused.is_empty(), "{} refused, {plan:?}", outcome.refused.len());
            }
        }
    }
}

/// Requests with the bad part while engines crash from other causes too.
#[test]
fn bad_part_beside_other_crashes() {
    for vms in [4, 27, 118] {
        for cause in [Cause::Rack, Cause::Zones, Cause::Release, Cause::Overload] {
            for bad_rate in [0.5, 20.0] {
                for plan in plans(vms, Trouble::Calm, bad_rate, cause) {
                    let outcome = play(plan);

                    assert_late(plan, &outcome);
                    assert_sound(plan, &outcome);
                }
            }
        }
    }
}

/// Requests with the bad part while delayed connections make some of their runs seem settled.
#[test]
fn bad_part_beside_delayed_connections() {
    for vms in [4, 27, 118] {
        for bad_rate in [0.5, 20.0] {
            for plan in plans(vms, Trouble::Delayed, bad_rate, Cause::None) {
                let outcome = play(plan);

                assert_late(plan, &outcome);
                assert_sound(plan, &outcome);
            }
        }
    }
}
