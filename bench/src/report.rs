//! Figures of a run, as JSON.

use crate::checker::Violations;
use crate::deployment::Deployment;
use serde::Serialize;
use std::time::Duration;

/// Distribution of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Times {
    /// Number of values.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

impl Times {
    /// Distribution of `values`, by nearest rank.
    pub fn new(values: impl IntoIterator<Item = Duration>) -> Self {
        let mut values: Vec<_> =
            values.into_iter().map(|value| value.as_secs_f64() * 1e3).collect();
        values.sort_by(f64::total_cmp);
        let rank = |share: f64| {
            let index = (share * values.len() as f64).ceil() as usize;
            values.get(index.saturating_sub(1)).copied().unwrap_or_default()
        };
        Self {
            count: values.len(),
            p50: rank(0.5),
            p95: rank(0.95),
            p99: rank(0.99),
            max: rank(1.0),
        }
    }
}

/// The two measures of the brief.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Measures {
    /// Wait of callers whose engine, connection or entry VM was lost.
    pub resume_latency_ms: Times,
    /// Engine tokens beyond a run without faults, over that run.
    pub extra_work_ratio: f64,
}

/// Figures of simpler ways, under the same load and faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Baseline {
    /// Callers start over from the prompt.
    pub start_over: Measures,
    /// Callers submit prompt and tokens to any engine, without reattaching or affinity.
    pub resume_without_reattach: Measures,
}

/// Cost of control, of one entry VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Control {
    /// Calls of the platform a second.
    pub store_calls_per_s: f64,
    /// Bytes to peers a second, journals included.
    pub peer_bytes_per_s: f64,
}

/// All figures.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Deployment.
    pub deployment: Deployment,
    /// Seed.
    pub seed: u64,
    /// Broken promises.
    pub violations: Violations,
    /// Wait of callers whose engine, connection or entry VM was lost.
    pub resume_latency_ms: Times,
    /// 99th percentile of the shortest possible waits.
    pub resume_floor_ms: f64,
    /// Engine tokens beyond a run without faults, over that run.
    pub extra_work_ratio: f64,
    /// Prefill of streams that continue an earlier attempt, over the run without faults.
    pub resume_work_ratio: f64,
    /// Prefill that no living engine had cached, over the run without faults.
    pub extra_work_floor_ratio: f64,
    /// Simpler ways.
    pub baseline: Option<Baseline>,
    /// Time of lookups.
    pub lookup_ms: Times,
    /// Time to the first token.
    pub first_token_ms: Times,
    /// Drafts asked for.
    pub drafts: usize,
    /// Drafts that did not become whole.
    pub unfinished: usize,
    /// Requests refused, tries included.
    pub refused: u64,
    /// Actions whose outcome is unknown to the caller in the end.
    pub unknown: usize,
    /// Streams continued on a new connection.
    pub reattached: u64,
    /// Streams continued at another engine.
    pub redispatched: u64,
    /// Suspicions that the engine disproved.
    pub false_suspicions: u64,
    /// Bytes of tokens to keepers a second, of one entry VM.
    pub journal_bytes_per_s: f64,
    /// Time from an operator's write to in force everywhere.
    pub config_in_force_ms: Times,
    /// Cost of control.
    pub control: Control,
    /// Time that the run took on its clock, in seconds.
    pub duration_s: f64,
    /// Each wait, to pool runs.
    #[serde(skip)]
    pub latencies: Vec<Duration>,
    /// Shortest possible wait of each stream that was hit, to pool runs.
    #[serde(skip)]
    pub floors: Vec<Duration>,
}
