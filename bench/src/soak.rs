//! Runs many seeds in parallel and pools their figures.

use crate::checker::Violations;
use crate::deployment::Deployment;
use crate::faults::{self, Kind};
use crate::report::{Report, Times};
use crate::run::{Options, run};
use serde::Serialize;
use std::ops::RangeInclusive;
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Number of faults in each run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultSelection {
    /// One fault, selected by seed.
    Single,
    /// Two different faults, selected by seed.
    Pairs,
}

impl FaultSelection {
    fn for_seed(self, seed: u64) -> Vec<Kind> {
        match self {
            Self::Single => vec![Kind::ALL[seed as usize % Kind::ALL.len()]],
            Self::Pairs => faults::pair(seed),
        }
    }
}

/// Pooled figures of one deployment.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Summary {
    /// Deployment that ran.
    pub deployment: Deployment,
    /// Number of runs.
    pub runs: usize,
    /// Violations of the guarantees.
    pub violations: Violations,
    /// Number of drafts requested.
    pub drafts: usize,
    /// Number of drafts that did not complete.
    pub unfinished: usize,
    /// Waits of all affected streams.
    pub resume_latency_ms: Times,
    /// Shortest possible waits of all affected streams.
    pub resume_floor_ms: Times,
    /// Mean ratio of extra engine work.
    pub extra_work_ratio: f64,
    /// Mean ratio of prefill of resumed streams.
    pub resume_work_ratio: f64,
    /// Mean ratio of prefill that no living engine had cached.
    pub extra_work_floor_ratio: f64,
}

/// Runs both deployments over `seeds`, `jobs` runs at a time. `on_report` is called with every
/// report as its run ends.
pub fn run_all(
    kinds: FaultSelection,
    seeds: RangeInclusive<u64>,
    jobs: usize,
    on_report: &(dyn Fn(&Report, &[Kind]) + Sync),
) -> Vec<Summary> {
    let work: Vec<_> = seeds
        .flat_map(|seed| Deployment::ALL.map(|deployment| (seed, deployment)))
        .map(|(seed, deployment)| Options::new(deployment, seed, &kinds.for_seed(seed)))
        .collect();
    let reports = run_many(work, jobs, &|options| {
        let report = run(options);
        on_report(&report, &options.kinds);
        report
    });
    let reports_of =
        |deployment| reports.iter().filter(move |report| report.deployment == deployment);
    Deployment::ALL
        .map(|deployment| summarize(deployment, &reports_of(deployment).collect::<Vec<_>>()))
        .into()
}

/// Runs `run_one` on each item with `jobs` threads; results are in the order of `work`.
pub fn run_many<W: Send, R: Send>(
    work: Vec<W>,
    jobs: usize,
    run_one: &(dyn Fn(&W) -> R + Sync),
) -> Vec<R> {
    let (work, results) = (Mutex::new(work.into_iter().enumerate()), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let next = work.lock().unwrap_or_else(PoisonError::into_inner).next();
                    let Some((index, item)) = next else {
                        return;
                    };
                    let result = run_one(&item);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((index, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}

fn summarize(deployment: Deployment, reports: &[&Report]) -> Summary {
    let mut violations = Violations::default();
    reports.iter().for_each(|report| violations.add(&report.violations));
    let mean = |figure: fn(&Report) -> f64| {
        reports.iter().map(|report| figure(report)).sum::<f64>() / reports.len().max(1) as f64
    };
    Summary {
        deployment,
        runs: reports.len(),
        violations,
        drafts: reports.iter().map(|report| report.drafts).sum(),
        unfinished: reports.iter().map(|report| report.unfinished).sum(),
        resume_latency_ms: Times::new(reports.iter().flat_map(|r| r.latencies.iter().copied())),
        resume_floor_ms: Times::new(reports.iter().flat_map(|r| r.floors.iter().copied())),
        extra_work_ratio: mean(|report| report.extra_work_ratio),
        resume_work_ratio: mean(|report| report.resume_work_ratio),
        extra_work_floor_ratio: mean(|report| report.extra_work_floor_ratio),
    }
}
