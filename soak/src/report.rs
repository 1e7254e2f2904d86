//! Results of several runs, as JSON, as text and as a chart.

use crate::run::Result;
use quetzaltiller::evidence::{self, Summary};
use serde::Serialize;
use std::fmt;
use std::path::Path;

/// Results of all runs.
#[derive(Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Results in order of their seeds.
    pub results: Vec<Result>,
}

impl Report {
    /// Whether no run violated a guarantee.
    pub fn is_clean(&self) -> bool {
        self.results.iter().all(|result| result.violations.is_empty())
    }

    /// Writes a chart of the outcomes of all runs' requests, by second of the run, to `path`.
    pub fn draw(&self, path: &Path) -> std::result::Result<(), Box<dyn std::error::Error>> {
        let mut all = Summary::default();
        for result in &self.results {
            for (outcome, counts) in Summary::new(&result.lines).seconds {
                let known = all.seconds.entry(outcome).or_default();
                known.resize(known.len().max(counts.len()), 0);
                known.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
            }
        }
        evidence::draw(&all, path)
    }
}

impl fmt::Display for Result {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { plan, attempts, whole, runs, violations, folder, .. } = self;
        write!(
            f,
            "seed {}: {} faults, {attempts} attempts, {whole} whole, {runs} runs, {} violations",
            plan.seed,
            plan.events.len(),
            violations.len()
        )?;
        for violation in violations {
            write!(f, "\n  {:?} {}: {}", violation.promise, violation.subject, violation.seen)?;
        }
        if !violations.is_empty() {
            write!(f, "\n  logs, settings and attempts: {}", folder.display())?;
        }
        Ok(())
    }
}
