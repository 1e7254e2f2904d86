//! The trade between waiting and engine work, over the weight of a second's wait.

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

/// Weights tried: engine seconds that a second of waiting is worth.
pub const WEIGHTS: [f64; 8] = [0.01, 0.03, 0.1, 0.3, 1.0, 2.0, 4.0, 10.0];
const KINDS: [Kind; 2] = [Kind::EngineKilled, Kind::EnginePaused];

/// Figures at one weight, pooled over seeds.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Point {
    /// Engine seconds that a second of waiting is worth.
    pub weight: f64,
    /// Mean wait after a loss, in milliseconds.
    pub mean_wait_ms: f64,
    /// Distribution of the waits.
    pub resume_latency_ms: Times,
    /// Mean extra engine work.
    pub extra_work_ratio: f64,
}

/// The curve of one deployment.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Curve {
    /// Deployment.
    pub deployment: Deployment,
    /// Seeds pooled.
    pub seeds: u64,
    /// Points by weight.
    pub points: Vec<Point>,
    /// The configured point.
    pub configured: Point,
    /// Start over from the prompt, at the first seed.
    pub start_over: Measures,
    /// Resume without reattaching or affinity, at the first seed.
    pub resume_without_reattach: Measures,
}

/// Measures one deployment's curve over `seeds` seeds from 1, `jobs` runs at once.
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
