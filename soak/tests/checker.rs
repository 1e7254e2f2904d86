//! The checker reports each guarantee that the evidence violates, and nothing that is allowed.

use quetzaltiller::evidence::Line;
use rstest::rstest;
use soak::checker::{EVENTS, Evidence, Promise, check};
use soak::record::{Attempt, Calm, Kind, Outcome};
use std::net::SocketAddr;
use std::time::Duration;

fn entry() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8740))
}

fn attempt(id: &str, kind: Kind, sent_s: u64, outcome: Outcome) -> Attempt {
    Attempt {
        id: id.to_owned(),
        kind,
        entry: entry(),
        sent: Duration::from_secs(sent_s),
        ended: Duration::from_secs(sent_s + 1),
        last_event: 0,
        outcome,
    }
}

fn success(events: impl IntoIterator<Item = u32>) -> Outcome {
    Outcome::Success { events: events.into_iter().collect(), own: true }
}

fn line(vm: &str, text: &str) -> Line {
    let text = format!("time=2026-12-04T03:40:28.106Z level=info event={text}");
    Line::parse(vm, &text).unwrap()
}

fn begun(id: &str) -> Line {
    line("u0", &format!("run_begun request={id} upstream=u0-1 account=Some(\"roskilde\")"))
}

/// Evidence of a run in which every guarantee holds.
fn valid_evidence() -> Evidence {
    Evidence {
        attempts: vec![
            attempt("d", Kind::Draft, 1, success(1..=EVENTS)),
            attempt("o", Kind::Order, 1, success([])),
            attempt("r", Kind::Order, 1, Outcome::Answered(503)),
            attempt("p3", Kind::Probe(3), 3, success([])),
            attempt("p4", Kind::Probe(4), 5, success([])),
        ],
        upstreams: vec![begun("d"), begun("o"), begun("p3"), begun("p4")],
        entries: vec![
            line("entry-0", "entry_started name=entry-0"),
            line("entry-0", "configuration_in_force number=3 routes=4 source=store"),
            line("entry-0", "configuration_in_force number=4 routes=4 source=peer"),
            line("entry-0", "upstream_listed upstream=u1-1 leaving=true"),
            line("entry-0", "generation_placed request=d upstream=u0-1"),
        ],
        calm: Some(Calm { from: Duration::from_secs(10), version: 4 }),
        ..Evidence::default()
    }
}

/// Guarantees that the checker reports as violated after `change` to valid evidence.
fn violated(change: impl FnOnce(&mut Evidence)) -> Vec<Promise> {
    let mut evidence = valid_evidence();
    change(&mut evidence);
    check(&evidence).into_iter().map(|violation| violation.promise).collect()
}

#[test]
fn valid_evidence_has_no_violation() {
    assert_eq!(violated(|_| {}), []);
}

#[rstest]
#[case::missing(success((1..=EVENTS).filter(|event| *event != 7)))]
#[case::twice(success([1, 2, 2].into_iter().chain(3..=EVENTS)))]
#[case::short(success(1..EVENTS))]
#[case::cut_with_a_gap(Outcome::Cut { events: vec![1, 3], own: true })]
fn an_incomplete_or_repeated_answer_is_reported(#[case] outcome: Outcome) {
    assert_eq!(violated(|seen| seen.attempts[0].outcome = outcome), [Promise::Whole]);
}

#[test]
fn an_answer_that_resumes_after_the_callers_last_event_is_complete() {
    let seen = violated(|seen| {
        seen.attempts[0].last_event = 30;
        seen.attempts[0].outcome = success(31..=EVENTS);
    });

    assert_eq!(seen, []);
}

#[test]
fn a_part_of_another_answer_is_reported() {
    let outcome = Outcome::Success { events: (1..=EVENTS).collect(), own: false };

    assert_eq!(violated(|seen| seen.attempts[0].outcome = outcome), [Promise::OwnAnswer]);
}

#[test]
fn an_order_that_runs_twice_is_reported() {
    assert_eq!(violated(|seen| seen.upstreams.push(begun("o"))), [Promise::OnceAtMost]);
}

#[test]
fn an_order_that_was_refused_by_its_first_replica_may_run_at_another() {
    let seen = violated(|seen| {
        seen.upstreams.push(line("u1", "run_refused request=o upstream=u1-1"));
        seen.upstreams.push(begun("o"));
    });

    assert_eq!(seen, []);
}

#[test]
fn a_refused_request_that_ran_is_reported() {
    assert_eq!(violated(|seen| seen.upstreams.push(begun("r"))), [Promise::TrueRefusal]);
}

#[rstest]
#[case::nobody(begun("x"))]
#[case::other_account(line("u0", "run_begun request=d upstream=u0-1 account=Some(\"other\")"))]
fn a_run_that_no_caller_requested_is_reported(#[case] run: Line) {
    assert_eq!(violated(|seen| seen.upstreams.push(run)), [Promise::Asked]);
}

#[test]
fn a_return_to_an_older_configuration_is_reported_from_the_log_and_from_probes() {
    let in_log = violated(|seen| {
        seen.entries.push(line("entry-0", "configuration_in_force number=3 routes=4 source=peer"));
    });
    let served = violated(|seen| {
        seen.attempts.push(attempt("p5", Kind::Probe(3), 8, success([])));
        seen.upstreams.push(begun("p5"));
    });
    let restarted = violated(|seen| {
        seen.attempts.push(attempt("p5", Kind::Probe(3), 8, success([])));
        seen.upstreams.push(begun("p5"));
        seen.restarts.push((entry(), Duration::from_secs(7)));
    });

    assert_eq!((in_log, served), (vec![Promise::NeverBack], vec![Promise::NeverBack]));
    assert_eq!(restarted, []);
}

#[rstest]
#[case::unknown_route(Kind::Probe(4), Outcome::Answered(404))]
#[case::old_route(Kind::Probe(3), success([]))]
fn a_configuration_that_is_not_in_force_is_reported(#[case] kind: Kind, #[case] outcome: Outcome) {
    let seen = violated(|seen| {
        seen.restarts.push((entry(), Duration::from_secs(12)));
        seen.attempts.push(attempt("late", kind, 16, outcome));
        seen.upstreams.push(begun("late"));
    });

    assert_eq!(seen, [Promise::InForce]);
}

#[test]
fn work_for_an_upstream_that_is_known_to_leave_is_reported() {
    let placed = line("entry-0", "generation_placed request=d upstream=u1-1");

    assert_eq!(violated(|seen| seen.entries.push(placed)), [Promise::NothingToLeaving]);
}

#[rstest]
#[case::cut(Outcome::Cut { events: Vec::new(), own: true })]
#[case::failed(Outcome::Answered(502))]
fn a_request_that_ends_without_an_answer_in_the_calm_part_is_reported(#[case] outcome: Outcome) {
    let seen = violated(|seen| {
        seen.attempts.push(attempt("late", Kind::Status, 12, outcome));
        seen.upstreams.push(begun("late"));
    });

    assert_eq!(seen, [Promise::NothingCut]);
}

#[test]
fn a_run_without_a_caller_and_a_process_that_exited_are_reported() {
    let seen = violated(|seen| {
        seen.running.insert("u0".to_owned(), 1);
        seen.ended.push("entry-1".to_owned());
    });

    assert_eq!(seen, [Promise::NoOrphan, Promise::Alive]);
}
