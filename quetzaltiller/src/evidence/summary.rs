//! Counts how and why requests ended.

use super::{EraChange, Line};
use crate::ctl::Table;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// How, why and where a request ended.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RequestEnd {
    /// Outcome: that of the generation, `late`, the HTTP status, or the code of the refusal.
    pub outcome: String,
    /// Last failure before the end; `-` for none.
    pub cause: String,
    /// Route of the request; `-` if none was found.
    pub route: String,
    /// Entry VM on which the request ended.
    pub vm: String,
}

/// Counts of requests by how, why, where and when they ended.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Summary {
    /// Number of requests by how, why and where they ended, largest first.
    pub ends: Vec<(RequestEnd, u64)>,
    /// Number of requests in each second by outcome, from the second in which the first one ended.
    pub seconds: BTreeMap<String, Vec<u64>>,
    /// Returns of the store from an older copy.
    pub eras: Vec<EraChange>,
    /// Number of log lines that entry VMs dropped because standard output was slow.
    pub dropped: u64,
}

impl Summary {
    /// Summarises the lines of all entry VMs.
    pub fn new(lines: &[Line]) -> Self {
        let mut causes: BTreeMap<&str, String> = BTreeMap::new();
        let mut ends: BTreeMap<&str, (RequestEnd, u32)> = BTreeMap::new();
        for line in lines {
            let Some(request) = line.request() else {
                continue;
            };
            if let Some(cause) = cause(line) {
                causes.insert(request, cause);
            }
            let (Some(outcome), Some(second)) = (outcome(line), line.second()) else {
                continue;
            };
            let route = line.value("route").unwrap_or("-").to_owned();
            let cause = causes.get(request).map_or("-", String::as_str).to_owned();
            let vm = line.vm.clone();
            // A refusal is logged before the end of the same request and is more specific, so the
            // first entry is kept.
            ends.entry(request).or_insert((RequestEnd { outcome, cause, route, vm }, second));
        }
        let first = ends.values().map(|(_, second)| *second).min().unwrap_or_default();
        let mut counts: BTreeMap<RequestEnd, u64> = BTreeMap::new();
        let mut seconds: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (end, second) in ends.into_values() {
            let series = seconds.entry(end.outcome.clone()).or_default();
            let at = (second - first) as usize;
            if series.len() <= at {
                series.resize(at + 1, 0);
            }
            series[at] += 1;
            *counts.entry(end).or_default() += 1;
        }
        let mut ends: Vec<_> = counts.into_iter().collect();
        ends.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let dropped = lines.iter().filter_map(|line| line.number("dropped")).sum();
        Self { ends, seconds, eras: EraChange::all(lines), dropped }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["REQUESTS", "OUTCOME", "CAUSE", "ROUTE", "ENTRY VM"]);
        for (RequestEnd { outcome, cause, route, vm }, count) in &self.ends {
            let names = [outcome, cause, route, vm].map(Clone::clone);
            table.push([count.to_string()].into_iter().chain(names));
        }
        write!(f, "{table}")?;
        if !self.eras.is_empty() {
            write!(f, "{}", era_table(&self.eras))?;
        }
        if self.dropped > 0 {
            writeln!(f, "{} lines are missing: standard output was slow", self.dropped)?;
        }
        Ok(())
    }
}

fn era_table(eras: &[EraChange]) -> Table {
    let mut table = Table::new(&[
        "STORE ERA",
        "ENTRY VMS",
        "FROM",
        "TO",
        "SPREAD",
        "KEPT",
        "DISPUTED",
        "ANNOUNCED AGAIN",
    ]);
    for change in eras {
        table.push([
            change.era.to_string(),
            change.vms.to_string(),
            change.from.clone(),
            change.to.clone(),
            format!("{} s", change.spread_s),
            change.kept.to_string(),
            change.disputed.to_string(),
            change.announcements.to_string(),
        ]);
    }
    table
}

fn cause(line: &Line) -> Option<String> {
    let key = match line.event.as_str() {
        "engine_failed" => "reason",
        "try_failed" => "cause",
        _ => return None,
    };
    line.value(key).map(str::to_owned)
}

fn outcome(line: &Line) -> Option<String> {
    match line.event.as_str() {
        "generation_ended" => {
            let late = line.value("late") == Some("true");
            let outcome = line.value("outcome")?.to_lowercase();
            Some(if late { "late".to_owned() } else { outcome })
        }
        "request_refused" => {
            Some(format!("{} ran={}", line.value("code")?, line.value("ran").unwrap_or("No")))
        }
        "request_ended" => Some(line.value("status")?.to_owned()),
        _ => None,
    }
}
