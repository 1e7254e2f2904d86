//! Figures of a run, serialised as JSON.

use crate::checker::Violations;
use crate::deployment::Deployment;
use serde::Serialize;
use std::time::Duration;

/// Distribution of durations, in milliseconds.
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
    /// Largest value.
    pub max: f64,
}

impl Times {
    /// Distribution of `values`; quantiles by nearest rank.
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

/// The two measures of the users' brief.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Measures {
    /// Wait of callers whose engine, connection or entry VM was lost.
    pub resume_latency_ms: Times,
    /// Engine tokens in excess of a run without faults, as a fraction of that run's tokens.
    pub extra_work_ratio: f64,
}

/// Measures of simpler strategies under the same load and faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Baseline {
    /// Callers start over from the prompt.
    pub start_over: Measures,
    /// Callers submit prompt and tokens to any engine, without reattachment or affinity.
    pub resume_without_reattach: Measures,
}

/// Cost of control traffic, per entry VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Control {
    /// Calls of the platform per second.
    pub store_calls_per_s: f64,
    /// Bytes sent to peers per second, including journals.
    pub peer_bytes_per_s: f64,
}

/// All figures of a run.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Deployment that ran.
    pub deployment: Deployment,
    /// Seed of the load, the faults and the system.
    pub seed: u64,
    /// Violations of the guarantees.
    pub violations: Violations,
    /// Wait of callers whose engine, connection or entry VM was lost.
    pub resume_latency_ms: Times,
    /// 99th percentile of the shortest possible waits.
    pub resume_floor_ms: f64,
    /// Engine tokens in excess of a run without faults, as a fraction of that run's tokens.
    pub extra_work_ratio: f64,
    /// Prefill of streams that continue an earlier attempt, as a fraction of the tokens of the run
    /// without faults.
    pub resume_work_ratio: f64,
    /// Prefill that no living engine had cached, as a fraction of the tokens of the run without
    /// faults.
    pub extra_work_floor_ratio: f64,
    /// Measures of the baselines, if they were run.
    pub baseline: Option<Baseline>,
    /// Time from a lookup to its reply.
    pub lookup_ms: Times,
    /// Time to the first token.
    pub first_token_ms: Times,
    /// Number of drafts requested.
    pub drafts: usize,
    /// Number of drafts that did not complete.
    pub unfinished: usize,
    /// Number of refusals, counting each retry.
    pub refused: u64,
    /// Number of actions whose last reply leaves the outcome unknown.
    pub unknown: usize,
    /// Number of streams continued on a new connection to the same engine.
    pub reattached: u64,
    /// Number of streams continued on another engine.
    pub redispatched: u64,
    /// Number of suspected losses that the engine disproved.
    pub false_suspicions: u64,
    /// Journal bytes sent to keepers per second, per entry VM.
    pub journal_bytes_per_s: f64,
    /// Time from an operator's write until the configuration is in force everywhere.
    pub config_in_force_ms: Times,
    /// Cost of control traffic.
    pub control: Control,
    /// Duration of the run on its own clock.
    pub duration_s: f64,
    /// Each wait after a fault, for pooling runs.
    #[serde(skip)]
    pub latencies: Vec<Duration>,
    /// Shortest possible wait of each affected stream, for pooling runs.
    #[serde(skip)]
    pub floors: Vec<Duration>,
}
