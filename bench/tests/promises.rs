//! A short fixed set of seeds: no promise is broken under single faults and pairs.

use bench::deployment::Deployment;
use bench::faults::{Kind, pair};
use bench::load::Plan;
use bench::report::Report;
use bench::run::{Options, run};
use rstest::rstest;
use std::time::Duration;

/// After a loss, output goes on within this time.
const RESUME_LIMIT_MS: f64 = 5_000.0;

fn run_faults(deployment: Deployment, seed: u64, kinds: &[Kind]) -> Report {
    let plan = Plan { duration: Duration::from_secs(12), drafts_per_s: 2.5, ..Plan::default() };
    run(&Options { plan, ..Options::new(deployment, seed, kinds) })
}

fn assert_kept(report: &Report) {
    assert_eq!(report.violations.total(), 0, "{:?}", report.violations);
    assert_eq!(report.unfinished, 0);
    assert!(report.resume_latency_ms.max <= RESUME_LIMIT_MS, "{:?}", report.resume_latency_ms);
}

#[rstest]
#[case::foundation(Deployment::Foundation)]
#[case::cooperative(Deployment::Cooperative)]
fn single_faults_break_no_promise(#[case] deployment: Deployment) {
    for (seed, kind) in (1..).zip(Kind::ALL) {
        assert_kept(&run_faults(deployment, seed, &[kind]));
    }
}

#[rstest]
#[case::foundation(Deployment::Foundation)]
#[case::cooperative(Deployment::Cooperative)]
fn pairs_of_faults_break_no_promise(#[case] deployment: Deployment) {
    for seed in 101..107 {
        assert_kept(&run_faults(deployment, seed, &pair(seed)));
    }
}

#[test]
fn a_run_is_a_function_of_its_seed() {
    let text = || {
        let report = run_faults(Deployment::Cooperative, 5, &[Kind::EngineKilled]);
        serde_json::to_string(&report).unwrap()
    };

    assert_eq!(text(), text());
}
