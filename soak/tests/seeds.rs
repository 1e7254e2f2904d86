//! Guards against violated guarantees in a short seeded run of the real programs under faults.

use quetzaltiller::evidence::{Explanation, Line};
use rstest::rstest;
use soak::plan::Size;
use soak::run::{Options, play};
use std::time::Duration;

const SIZE: Size = Size { entries: 3, engines: 6, replicas: 3, callers: 8 };

fn options(name: &str) -> Options {
    let folder = std::env::temp_dir().join(format!("qt-soak-{name}-{}", std::process::id()));
    Options { size: SIZE, length: Duration::from_secs(6), folder, keep: false }
}

/// The seeds are fixed, so that each version is tested with the same faults.
#[rstest]
#[case::first(1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_faults_from_outside(#[case] seed: u64) {
    let result = play(seed, &options("ci")).await.unwrap();

    assert!(result.violations.is_empty(), "{result}");
    assert!(result.attempts > 20, "{result}");
    let failures = result.lines.iter().filter(|line| line.event == "engine_failed");
    for request in failures.filter_map(Line::request) {
        let explained = Explanation::new(request, &result.lines);
        assert!(explained.is_some_and(|explanation| explanation.steps.len() > 1), "{request}");
    }
}
