//! Engines that one part of a prompt crashes, seen by many VMs that start, freeze and lose each
//! other's records.

mod fleet;

use coordination::quarantine::{Ledger, Record, Subject};
use fleet::{BAD, Cause, Kind, Outcome, Plan, Service, Shape, Size, Trouble, play};
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

/// Requests with the bad part that may be sent late.
const MAX_LATE: usize = 3;
/// Part that the bad part's requests share with others.
const SHARED: Subject = Subject::Part(1);
/// Request that crashes each upstream that begins to run it.
const DEADLY: Subject = Subject::Request(666);

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

/// A deadly request that comes again, or an order whose caller repeats it.
#[test]
fn a_request_that_crashes_three_replicas_at_two_moments_is_condemned() {
    let ledger = crashed(Ledger::new(), 0, &[DEADLY], 3);

    assert_eq!(ledger.refused(ms(2_000), &[DEADLY]), Some(DEADLY));
    assert_eq!(ledger.verdicts().refused(&[SHARED, DEADLY]), Some(DEADLY));
    assert_eq!(ledger.verdicts().refused(&[SHARED, Subject::Request(7)]), None);
}

/// Both attempts of a lookup and its caller's retry, before replicas return.
#[test]
fn a_request_that_crashes_three_replicas_at_one_moment_is_condemned() {
    let mut ledger = Ledger::new();

    for n in 0..3 {
        ledger.record_crash(ms(100 * n), &[DEADLY], &format!("replica-{n}"));
    }

    assert_eq!(ledger.verdicts().refused(&[DEADLY]), Some(DEADLY));
}

/// A request that runs on many replicas and takes its time, while some of them lose their power.
#[test]
fn the_next_answer_acquits_a_request_that_lost_many_replicas_at_one_moment() {
    let mut ledger = Ledger::new();
    for replica in 0..30 {
        ledger.record_crash(ms(10 * replica), &[DEADLY], &format!("replica-{replica}"));
    }

    let changed = ledger.record_settled(ms(400), &[DEADLY]);

    assert_eq!(changed, [DEADLY]);
    assert_eq!(ledger.verdicts().refused(&[DEADLY]), None);
}

/// Other requests crash more replicas at the same moments.
#[test]
fn a_request_that_crashes_replicas_among_many_others_is_condemned_by_its_fourth_crash() {
    let mut ledger = Ledger::new();
    let mut refused_at = None;

    for n in 0..8 {
        for other in 0..5 {
            let request = Subject::Request(100 + 10 * n + other);
            ledger.record_crash(ms(1_000 * n), &[request], &format!("other-{n}-{other}"));
        }
        ledger.record_crash(ms(1_000 * n), &[DEADLY], &format!("replica-{n}"));
        let is_refused = ledger.verdicts().refused(&[DEADLY]).is_some();
        refused_at = refused_at.or(is_refused.then_some(n));
    }

    assert_eq!(refused_at, Some(3));
}

/// A whole service that loses its power, with a request that runs on all of its replicas.
#[test]
fn replicas_that_crash_at_one_moment_condemn_no_request_that_was_answered_before() {
    let mut ledger = Ledger::new();
    ledger.record_settled(ms(0), &[DEADLY]);

    for replica in 0..30 {
        ledger.record_crash(ms(10 * replica), &[DEADLY], &format!("replica-{replica}"));
    }

    assert_eq!(ledger.verdicts().refused(&[DEADLY]), None);
}

/// An answer of a deadly request never comes.
#[rstest]
#[case::once(1, None, true)]
#[case::repeated(2, Some(DEADLY), false)]
#[case::condemned(3, Some(DEADLY), false)]
fn one_answer_acquits_a_request_with_repeated_crashes(
    #[case] crashes: u64,
    #[case] acquitted: Option<Subject>,
    #[case] is_suspected: bool,
) {
    let mut ledger = crashed(Ledger::new(), 0, &[DEADLY], crashes);

    let changed = ledger.record_settled(ms(3_000), &[DEADLY]);

    assert_eq!(changed, Vec::from_iter(acquitted));
    assert_eq!(ledger.verdicts().refused(&[DEADLY]), None);
    assert_eq!(ledger.verdicts().is_suspected(DEADLY), is_suspected);
}

/// Proxies report answers of suspected requests only, and look for none while there are none.
#[test]
fn requests_are_suspected_from_their_first_crash() {
    let mut ledger = Ledger::new();
    let is_empty_at_first = ledger.verdicts().is_empty();

    ledger.record_crash(ms(0), &[SHARED, DEADLY], "replica");
    let verdicts = ledger.verdicts();

    assert!(is_empty_at_first);
    assert!(!verdicts.is_empty());
    assert!(verdicts.is_suspected(DEADLY));
    assert!(!verdicts.is_suspected(Subject::Request(7)));
    assert!(!verdicts.is_suspected(SHARED));
}

/// A popular request whose answers are many, and one that crashes replicas from some time on.
#[rstest]
#[case::lately(2_900, 0)]
#[case::before(3_000, 1)]
fn a_request_that_was_answered_lately_is_not_suspected(
    #[case] after: u64,
    #[case] suspected: usize,
) {
    let mut ledger = Ledger::new();
    ledger.record_settled(ms(1_000), &[DEADLY]);

    let changed = ledger.record_crash(ms(1_000 + after), &[DEADLY], "replica");

    assert_eq!(changed.len(), suspected);
}

/// A VM that answers a request which others condemn, as those that lost all replicas they used.
#[test]
fn a_request_answered_here_lately_is_acquitted_when_its_record_arrives() {
    let condemned = crashed(Ledger::new(), 0, &[DEADLY], 3).record(DEADLY).unwrap().clone();
    let mut ledger = Ledger::new();
    ledger.record_settled(ms(1_000), &[DEADLY]);

    assert!(ledger.merge(ms(2_000), DEADLY, &condemned));
    assert_eq!(ledger.record(DEADLY).map(Record::round), Some(1));
    assert_eq!(ledger.verdicts().refused(&[DEADLY]), None);
}

/// Answers to many requests that never come again.
#[test]
fn settled_requests_push_out_no_settled_part() {
    let mut ledger = Ledger::new();
    ledger.record_settled(ms(0), &[SHARED]);

    for request in 0..20_000 {
        ledger.record_settled(ms(1), &[Subject::Request(request)]);
    }
    let changed = ledger.record_crash(ms(2), &[SHARED], "engine");

    assert!(changed.is_empty());
}

/// A sound request that ran beside the deadly one.
#[test]
fn a_request_that_only_ran_beside_the_deadly_one_is_served() {
    let victim = Subject::Request(7);
    let ledger = crashed(Ledger::new(), 0, &[DEADLY], 1);
    let mut ledger = crashed(ledger, 500, &[DEADLY], 3);
    let beside = crashed(Ledger::new(), 500, &[victim], 3);
    ledger.merge(ms(2_000), victim, beside.record(victim).unwrap());

    let verdicts = ledger.verdicts();

    assert!(ledger.record(victim).is_some_and(|record| record.is_condemned(victim)));
    assert_eq!(verdicts.refused(&[victim]), None);
    assert_eq!(verdicts.refused(&[DEADLY]), Some(DEADLY));
}

/// Part of a prompt that crashes engines, and a request without it that ran beside.
#[test]
fn a_request_that_only_ran_beside_a_bad_part_is_served() {
    let victim = Subject::Request(7);
    let ledger = crashed(Ledger::new(), 0, &[BAD], 4);
    let ledger = crashed(ledger, 0, &[victim], 4);

    let verdicts = ledger.verdicts();

    assert!(ledger.record(victim).is_some_and(|record| record.is_condemned(victim)));
    assert_eq!(verdicts.refused(&[SHARED, victim]), None);
    assert_eq!(verdicts.refused(&[SHARED, BAD]), Some(BAD));
    assert!(verdicts.refused(&[BAD, victim]).is_some());
}

/// A popular request that ran beside two deadly ones, at the crashes of both.
#[test]
fn a_request_that_ran_beside_several_deadly_ones_is_served_once_each_crashed_a_replica_alone() {
    let (other, victim) = (Subject::Request(7), Subject::Request(8));
    let ledger = crashed(Ledger::new(), 0, &[DEADLY], 3);
    let ledger = crashed(ledger, 10_000, &[other], 3);
    let ledger = crashed(ledger, 0, &[victim], 3);
    let ledger = crashed(ledger, 10_000, &[victim], 3);
    let ledger = crashed(ledger, 20_000, &[DEADLY], 1);
    let ledger = crashed(ledger, 30_000, &[other], 1);

    let verdicts = ledger.verdicts();

    assert!(ledger.record(victim).is_some_and(|record| record.is_condemned(victim)));
    assert_eq!(verdicts.refused(&[victim]), None);
    assert_eq!(verdicts.refused(&[DEADLY]), Some(DEADLY));
    assert_eq!(verdicts.refused(&[other]), Some(other));
}

/// Deadly requests that have as many crashes as the popular one, which lost replicas to each.
#[test]
fn a_request_beside_two_deadly_ones_with_as_many_crashes_is_not_refused_for_good() {
    let (other, victim) = (Subject::Request(667), Subject::Request(500));
    let ledger = crashed(Ledger::new(), 0, &[DEADLY], 4);
    let ledger = crashed(ledger, 10_000, &[other], 4);
    let ledger = crashed(ledger, 2, &[victim], 2);
    let ledger = crashed(ledger, 10_002, &[victim], 2);

    let verdicts = ledger.verdicts();

    assert!(ledger.record(victim).is_some_and(|record| record.is_condemned(victim)));
    assert_eq!(verdicts.refused(&[victim]), None);
    assert_eq!(verdicts.refused(&[DEADLY]), Some(DEADLY));
    assert_eq!(verdicts.refused(&[other]), Some(other));
}

/// Two deadly requests that run on the same replicas.
#[test]
fn deadly_requests_with_the_same_crashes_explain_one_of_them_until_its_next_crash() {
    let other = Subject::Request(7);
    let ledger = crashed(Ledger::new(), 0, &[DEADLY], 4);
    let mut ledger = crashed(ledger, 0, &[other], 4);
    let both = [DEADLY, other];
    let refused = both.map(|request| ledger.verdicts().refused(&[request]).is_some());

    let served = both[usize::from(refused[0])];
    ledger.record_crash(ms(5_000), &[served], "one-more");

    assert_eq!(refused.iter().filter(|is_refused| **is_refused).count(), 1);
    assert_eq!(ledger.verdicts().refused(&[served]), Some(served));
}

/// A popular request that was answered between crashes.
#[test]
fn an_acquitted_request_is_not_condemned_beside_the_deadly_one() {
    let popular = Subject::Request(7);
    let mut ledger = crashed(Ledger::new(), 0, &[popular], 2);
    ledger.record_settled(ms(1_000), &[popular]);
    let mut ledger = crashed(ledger, 5_000, &[popular], 5);
    let is_condemned = ledger.record(popular).unwrap().is_condemned(popular);

    // One of its crashes is not known as one of the deadly request.
    let beside = crashed(Ledger::new(), 5_001, &[DEADLY], 4);
    ledger.merge(ms(9_000), DEADLY, beside.record(DEADLY).unwrap());
    let verdicts = ledger.verdicts();

    assert!(is_condemned);
    assert_eq!(verdicts.refused(&[popular]), None);
    assert_eq!(verdicts.refused(&[DEADLY]), Some(DEADLY));
}

/// A second attempt at once, or one after the other.
#[rstest]
#[case(0, true)]
#[case(2, true)]
#[case(3, false)]
fn a_request_with_three_crashes_is_not_repeated(#[case] crashes: u64, #[case] expected: bool) {
    let ledger = crashed(Ledger::new(), 0, &[DEADLY], crashes);

    assert_eq!(ledger.verdicts().is_repeatable(DEADLY), expected);
}

/// Deadly requests, each with a crash of its own.
#[test]
fn deadly_requests_that_share_crashes_are_both_refused() {
    let other = Subject::Request(7);
    let ledger = crashed(Ledger::new(), 0, &[DEADLY], 4);
    let ledger = crashed(ledger, 500, &[other], 1);
    let ledger = crashed(ledger, 5_000, &[other], 3);

    let verdicts = ledger.verdicts();

    assert_eq!(verdicts.refused(&[DEADLY]), Some(DEADLY));
    assert_eq!(verdicts.refused(&[other]), Some(other));
}

/// The crash of a request is one of the parts of its prompt too.
#[rstest]
#[case::alone(0)]
#[case::beside_requests(9)]
fn requests_decide_nothing_about_parts(#[case] requests: u64) {
    let mut ledger = Ledger::new();

    for n in 0..4 {
        for request in 0..requests {
            let upstream = format!("replica-{n}-{request}");
            ledger.record_crash(ms(700 * n), &[Subject::Request(request)], &upstream);
        }
        let request = Subject::Request(100 + n);
        ledger.record_crash(ms(700 * n), &[BAD, request], &format!("engine-{n}"));
    }

    assert_eq!(ledger.record(BAD).map(Record::focused), Some(4));
    assert_eq!(ledger.verdicts().refused(&[BAD]), Some(BAD));
}

/// Other prompts share the part that a deadly request brings.
#[test]
fn a_part_that_one_request_alone_brings_is_served_for_others() {
    let ledger = crashed(Ledger::new(), 0, &[SHARED, DEADLY], 9);
    let mut ledger = crashed(ledger, 5_000, &[SHARED, DEADLY], 1);
    let alone = ledger.verdicts();

    ledger.record_crash(ms(9_000), &[SHARED, Subject::Request(7)], "one-more");

    assert_eq!(alone.refused(&[SHARED, Subject::Request(7)]), None);
    assert_eq!(alone.refused(&[SHARED, DEADLY]), Some(DEADLY));
    assert_eq!(ledger.verdicts().refused(&[SHARED, Subject::Request(8)]), Some(SHARED));
}

/// Many sound requests that crash once, beside what is known of parts and of repeated crashes.
#[test]
fn requests_with_one_crash_push_out_no_other_records() {
    let ledger = crashed(Ledger::new(), 0, &[SHARED], 1);
    let mut ledger = crashed(ledger, 1_000, &[DEADLY], 2);

    for request in 10_000..13_000 {
        ledger.record_crash(ms(request), &[Subject::Request(request)], &format!("r-{request}"));
    }

    assert_eq!(ledger.records().count(), 1 + 1_024);
    assert!(ledger.record(SHARED).is_some());
    assert!(ledger.record(DEADLY).is_some());
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
    let plan = |shape, seed| Plan { vms, seed, trouble, bad_rate, shape, cause, service: None };
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

/// Retries of a deadly request that may reach replicas late.
const MAX_LATE_RETRIES: usize = 3;

fn assert_deadly(plan: Plan, outcome: &Outcome) {
    let late = outcome.deadly_late();
    assert!(late <= MAX_LATE_RETRIES, "{late} deadly requests sent late, {plan:?}");
    let refused = outcome.requests_refused;
    assert!(refused == 0, "{refused} of {} sound requests refused, {plan:?}", outcome.requests);
    assert!(outcome.requests > 0);
}

/// The same beside two deadly ones; no more than one in a hundred sound requests is refused.
fn assert_each_deadly(plan: Plan, outcome: &Outcome) {
    let late = outcome.deadly_late();
    assert!(late <= MAX_LATE_RETRIES, "{late} deadly requests sent late, {plan:?}");
    let (sound, refused) = (outcome.requests, outcome.requests_refused);
    assert!(100 * refused <= sound, "{refused} of {sound} sound requests refused, {plan:?}");
}

/// Deadly requests that come again at any VM, beside sound ones.
#[rstest]
fn few_deadly_requests_reach_replicas_and_sound_ones_all_do(
    #[values(4, 27, 118)] vms: usize,
    #[values(Kind::Order, Kind::Lookup, Kind::Draft)] kind: Kind,
    #[values(
        Trouble::Calm,
        Trouble::Starting,
        Trouble::Replaced,
        Trouble::Frozen,
        Trouble::Cut,
        Trouble::StoreDown,
        Trouble::Killed,
        Trouble::Restored,
        Trouble::Lossy,
        Trouble::Delayed
    )]
    trouble: Trouble,
) {
    for plan in service_plans(vms, trouble, kind, &[0.2, 1.0, 5.0], 1, Cause::None) {
        let outcome = play(plan);

        assert!(outcome.deadly_crashes[0].len() >= 3, "{plan:?}");
        assert_deadly(plan, &outcome);
    }
}

/// Two deadly requests at once.
#[rstest]
fn few_of_each_of_two_deadly_requests_reach_replicas(
    #[values(4, 27, 118)] vms: usize,
    #[values(Kind::Order, Kind::Lookup, Kind::Draft)] kind: Kind,
    #[values(Trouble::Calm, Trouble::Frozen, Trouble::Killed)] trouble: Trouble,
) {
    for plan in service_plans(vms, trouble, kind, &[0.2, 5.0], 2, Cause::None) {
        assert_each_deadly(plan, &play(plan));
    }
}

/// Seeds with which the popular request was refused for good.
#[rstest]
#[case(Trouble::Killed, Kind::Order, 5)]
#[case(Trouble::Frozen, Kind::Lookup, 7)]
fn two_deadly_requests_condemn_no_popular_one_for_good(
    #[case] trouble: Trouble,
    #[case] kind: Kind,
    #[case] seed: u64,
) {
    let service = Some(Service { size: Size::Three, kind, deadly: 2, rate: 5.0 });
    let (shape, cause) = (Shape::Known, Cause::None);
    let plan = Plan { vms: 4, seed, trouble, bad_rate: 0.0, shape, cause, service };

    let outcome = play(plan);

    assert_each_deadly(plan, &outcome);
}

/// Replicas that crash of other causes, with and without a deadly request.
#[rstest]
#[case::rack(&[4, 27, 118], Cause::Rack)]
#[case::zones(&[4, 27], Cause::Zones)]
#[case::release(&[4, 27], Cause::Release)]
#[case::overload(&[4], Cause::Overload)]
fn other_crashes_condemn_no_sound_request(
    #[case] sizes: &[usize],
    #[case] cause: Cause,
    #[values(Kind::Order, Kind::Lookup, Kind::Draft)] kind: Kind,
    #[values(0, 1)] deadly: usize,
) {
    for vms in sizes {
        for plan in service_plans(*vms, Trouble::Calm, kind, &[0.2, 5.0], deadly, cause) {
            assert_deadly(plan, &play(plan));
        }
    }
}

/// Seeds, sizes and rates of a case with a plain service.
fn service_plans(
    vms: usize,
    trouble: Trouble,
    kind: Kind,
    rates: &[f64],
    deadly: usize,
    cause: Cause,
) -> Vec<Plan> {
    let mut plans = Vec::new();
    for size in [Size::Three, Size::TwoEach] {
        for rate in rates {
            for seed in seeds() {
                let service = Some(Service { size, kind, deadly, rate: *rate });
                let shape = Shape::Known;
                plans.push(Plan { vms, seed, trouble, bad_rate: 0.0, shape, cause, service });
            }
        }
    }
    plans
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

/// Calls of the store and its contents, with the requests that a replica runs when it crashes.
#[rstest]
#[case(4, 200, 40, 4_000)]
#[case(27, 1_500, 60, 6_000)]
#[case(118, 5_000, 80, 8_000)]
fn store_calls_and_state_of_a_deadly_request_are_bounded(
    #[case] vms: usize,
    #[case] max_calls: u64,
    #[case] max_records: usize,
    #[case] max_bytes: usize,
) {
    for kind in [Kind::Order, Kind::Lookup, Kind::Draft] {
        for plan in service_plans(vms, Trouble::Calm, kind, &[0.2, 5.0], 1, Cause::None) {
            let outcome = play(plan);

            assert!(outcome.calls <= max_calls, "{} calls, {plan:?}", outcome.calls);
            assert!(outcome.store_records <= max_records, "{plan:?}");
            assert!(outcome.store_bytes <= max_bytes, "{plan:?}");
        }
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
