//! A short fixed set of seeds: single faults and pairs of faults cause no violation.

use bench::deployment::Deployment;
use bench::faults::{Kind, pair};
use bench::load::LoadPlan;
use bench::report::Report;
use bench::run::{Options, run};
use rstest::rstest;
use std::time::Duration;

/// Maximum wait for the next token after a fault.
const RESUME_LIMIT_MS: f64 = 5_000.0;

fn run_faults(deployment: Deployment, seed: u64, kinds: &[Kind]) -> Report {
    let plan =
        LoadPlan { duration: Duration::from_secs(12), drafts_per_s: 2.5, ..LoadPlan::default() };
    run(&Options { plan, ..Options::new(deployment, seed, kinds) })
}

fn assert_no_violation(report: &Report) {
    assert_eq!(report.violations.total(), 0, "{:?}", report.violations);
    assert_eq!(report.unfinished, 0);
    assert!(report.resume_latency_ms.max <= RESUME_LIMIT_MS, "{:?}", report.resume_latency_ms);
}

#[rstest]
#[case::foundation(Deployment::Foundation)]
#[case::cooperative(Deployment::Cooperative)]
fn single_faults_cause_no_violation(#[case] deployment: Deployment) {
    for (seed, kind) in (1..).zip(Kind::ALL) {
        assert_no_violation(&run_faults(deployment, seed, &[kind]));
    }
}

#[rstest]
#[case::foundation(Deployment::Foundation)]
#[case::cooperative(Deployment::Cooperative)]
fn pairs_of_faults_cause_no_violation(#[case] deployment: Deployment) {
    for seed in 101..107 {
        assert_no_violation(&run_faults(deployment, seed, &pair(seed)));
    }
}

#[test]
fn runs_with_the_same_seed_give_the_same_report() {
    let text = || {
        let report = run_faults(Deployment::Cooperative, 5, &[Kind::EngineKilled]);
        serde_json::to_string(&report).unwrap()
    };

    assert_eq!(text(), text());
}
