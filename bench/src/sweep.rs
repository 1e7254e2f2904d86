//! Measures the trade-off between waiting and engine work as a function of the resume weight.

mod plot;

pub use plot::draw;

use crate::deployment::Deployment;
use crate::faults::Kind;
use crate::report::{Measures, Times};
use crate::run::{Options, run};
use crate::soak::run_many;
use crate::system::Tuning;
use serde::Serialize;
use std::time::Duration;

/// Resume weights to measure, in engine seconds for each second of waiting.
pub const WEIGHTS: [f64; 8] = [0.01, 0.03, 0.1, 0.3, 1.0, 2.0, 4.0, 10.0];
/// Faults injected in each run.
const KINDS: [Kind; 2] = [Kind::EngineKilled, Kind::EnginePaused];

/// Measurements at one weight, pooled over seeds.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Point {
    /// Resume weight, in engine seconds for each second of waiting.
    pub weight: f64,
    /// Mean wait after a fault.
    pub mean_wait_ms: f64,
    /// Distribution of the waits.
    pub resume_latency_ms: Times,
    /// Mean ratio of extra engine work.
    pub extra_work_ratio: f64,
}

/// Measurements of one deployment.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Curve {
    /// Deployment that ran.
    pub deployment: Deployment,
    /// Number of pooled seeds.
    pub seeds: u64,
    /// Points in order of weight.
    pub points: Vec<Point>,
    /// Point at the configured weight.
    pub configured: Point,
    /// Baseline that starts over from the prompt, at the first seed.
    pub start_over: Measures,
    /// Baseline that resumes without reattachment or affinity, at the first seed.
    pub resume_without_reattach: Measures,
}

/// Measures the curve of one deployment over the seeds from 1 to `seeds`, `jobs` runs at a time.
pub fn measure(deployment: Deployment, seeds: u64, jobs: usize) -> Curve {
    let objects = deployment.objects();
    let pools = objects.iter().filter_map(quetzaltiller::objects::Object::as_pool);
    let configured = pools.map(|pool| pool.resume_weight).next().unwrap_or_default();
    let weights: Vec<_> = WEIGHTS.iter().copied().chain([configured]).collect();
    let mut points: Vec<_> =
        weights.iter().map(|weight| point(deployment, *weight, seeds, jobs)).collect();
    let mut options = Options::new(deployment, 1, &KINDS);
    options.baselines = true;
    let baseline = run(&options).baseline.unwrap_or_default();
    Curve {
        deployment,
        seeds,
        configured: points.pop().expect("the configured weight was measured"),
        points,
        start_over: baseline.start_over,
        resume_without_reattach: baseline.resume_without_reattach,
    }
}

fn point(deployment: Deployment, weight: f64, seeds: u64, jobs: usize) -> Point {
    let work: Vec<_> = (1..=seeds)
        .map(|seed| Options {
            tuning: Tuning { resume_weight: Some(weight), ..Tuning::default() },
            ..Options::new(deployment, seed, &KINDS)
        })
        .collect();
    let reports = run_many(work, jobs, &run);
    let waits: Vec<_> = reports.iter().flat_map(|report| report.latencies.clone()).collect();
    let mean = waits.iter().sum::<Duration>() / waits.len().max(1) as u32;
    let extra = reports.iter().map(|report| report.extra_work_ratio).sum::<f64>();
    Point {
        weight,
        mean_wait_ms: mean.as_secs_f64() * 1e3,
        resume_latency_ms: Times::new(waits),
        extra_work_ratio: extra / reports.len().max(1) as f64,
    }
}
