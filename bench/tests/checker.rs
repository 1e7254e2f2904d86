//! The checker counts a planted violation of each guarantee, and none in a run without violations.

use bench::checker::{
    AcceptedConfig, ConfigSample, Departure, EngineStream, Evidence, Violations, check,
};
use bench::load::{ActionRecord, Draft, DraftRecord, Records};
use bench::system::CutStream;
use quetzaltiller::caller::{Completion, Reply, Unfinished, Violation};
use quetzaltiller::generation::Request;
use quetzaltiller::refusal::{Code, Refusal};
use standin::engine::Submitted;
use standin::text;
use std::time::Duration;
use tokio::time::Instant;

const VERSION: &str = "1";

fn request(prompt: &str) -> Request {
    Request { prompt: prompt.into(), max_tokens: 60, ..Request::default() }
}

fn answer(prompt: &str, salt: u32) -> Vec<String> {
    text::write(&request(prompt), VERSION, &[], salt)
}

fn draft(prompt: &str, result: Result<Vec<String>, Unfinished>) -> DraftRecord {
    let result = result.map(|tokens| Completion {
        tokens,
        version: VERSION.into(),
        ..Completion::default()
    });
    let draft = Draft { at: Duration::ZERO, account: "a", request: request(prompt) };
    DraftRecord { draft, started_at: Instant::now(), result }
}

fn with_drafts(drafts: Vec<DraftRecord>) -> Evidence {
    Evidence { records: Records { drafts, ..Records::default() }, ..Evidence::default() }
}

fn with_action(replies: Vec<Reply>, runs: u32) -> Evidence {
    let actions = vec![ActionRecord { account: "a", key: "k".into(), replies }];
    Evidence {
        records: Records { actions, ..Records::default() },
        runs: [("k".to_owned(), runs)].into(),
        ..Evidence::default()
    }
}

fn not_run() -> Refusal {
    Refusal::not_run(Code::StoreUnavailable, "")
}

fn engine_stream(at: Instant, prompt: &str) -> EngineStream {
    let submitted = Submitted { at, generation: "g".into(), prompt: prompt.into(), resumed: false };
    EngineStream { address: "engine".into(), submitted }
}

fn sample(at: Instant, number: u64) -> ConfigSample {
    ConfigSample { entry: "vm".into(), at, number, settled: true }
}

#[test]
fn a_run_without_violations_counts_none() {
    let evidence =
        with_drafts(vec![draft("a", Ok(answer("a", 3))), draft("b", Ok(answer("b", 5)))]);

    assert_eq!(check(&evidence), Violations::default());
}

#[test]
fn missing_and_repeated_tokens_count() {
    let mut missing = answer("a", 3);
    missing.pop();
    let mut repeated = answer("b", 3);
    repeated.insert(7, repeated[6].clone());
    let gap = Unfinished::Violation(Violation::Index { expected: 3, found: 4 });
    let evidence =
        with_drafts(vec![draft("a", Ok(missing)), draft("b", Ok(repeated)), draft("c", Err(gap))]);

    assert_eq!(check(&evidence).token_missing_or_repeated, 3);
}

#[test]
fn mixed_generations_count() {
    let mut mixed = answer("a", 3);
    mixed[20..].clone_from_slice(&answer("a", 5)[20..]);
    let versions = Unfinished::Violation(Violation::Version);
    let evidence = with_drafts(vec![draft("a", Ok(mixed)), draft("b", Err(versions))]);

    assert_eq!(check(&evidence).generations_mixed, 2);
}

#[test]
fn the_answer_to_another_request_counts() {
    let evidence =
        with_drafts(vec![draft("a", Ok(answer("b", 3))), draft("b", Ok(answer("b", 5)))]);

    assert_eq!(check(&evidence).wrong_answer, 1);
}

#[test]
fn requests_that_ran_although_reported_as_not_run_count() {
    let mut evidence = with_action(vec![Reply::Refused(not_run())], 1);
    evidence.records.drafts.push(draft("a", Err(Unfinished::Refused(not_run()))));
    evidence.engine_streams.push(engine_stream(Instant::now(), "a"));

    assert_eq!(check(&evidence).not_run_but_ran, 2);
}

#[test]
fn an_action_that_ran_twice_counts() {
    assert_eq!(check(&with_action(vec![Reply::Broken], 2)).action_more_than_once, 1);
    assert_eq!(check(&with_action(vec![Reply::Broken], 1)).total(), 0);
}

#[test]
fn new_work_for_a_leaving_upstream_counts() {
    let at = Instant::now();
    let departure = Departure { party: "engine".into(), at };
    let early = engine_stream(at + Duration::from_secs(1), "a");
    let late = engine_stream(at + Duration::from_secs(3), "b");
    let evidence = Evidence {
        upstream_departures: vec![departure],
        engine_streams: vec![early, late],
        ..Evidence::default()
    };

    assert_eq!(check(&evidence).leaving_got_new_work, 1);
}

#[test]
fn a_stream_cut_by_a_graceful_shutdown_counts() {
    let at = Instant::now();
    let cut = |entry: &str| CutStream { entry: entry.into(), at };
    let evidence = Evidence {
        entry_departures: vec![Departure { party: "vm".into(), at }],
        cuts: vec![cut("vm"), cut("other")],
        ..Evidence::default()
    };

    assert_eq!(check(&evidence).shutdown_cut, 1);
}

#[test]
fn a_configuration_that_reverts_or_comes_late_counts() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let reverted = Evidence {
        config_samples: vec![sample(at(1), 4), sample(at(2), 3)],
        ..Evidence::default()
    };
    let late = Evidence {
        config_samples: vec![sample(at(4), 1), sample(at(8), 1), sample(at(9), 2)],
        accepted_configs: vec![AcceptedConfig { number: 2, at: at(2) }],
        ..Evidence::default()
    };

    assert_eq!(check(&reverted).configuration_late_or_reverted, 1);
    assert_eq!(check(&late).configuration_late_or_reverted, 1);
}
