//! Explanation of one request: the logged decisions about it, in order of time.

use super::Line;
use crate::ctl::Table;
use serde::Serialize;
use std::fmt;

/// Events that change an entry VM's view of an upstream.
const UPSTREAM_EVENTS: [&str; 5] = [
    "upstream_lost",
    "upstream_listed",
    "upstream_gone",
    "upstream_rechecked",
    "upstream_succeeded",
];

/// One logged decision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Step {
    /// Log line of the decision.
    pub line: Line,
    /// Whether the line is about an upstream of the request rather than the request itself.
    pub around: bool,
}

/// Decisions about one request, in order of time.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Explanation {
    /// Id of the request.
    pub request: String,
    /// Decisions, in order of time.
    pub steps: Vec<Step>,
}

impl Explanation {
    /// Explains a request; `None` if no line is about it. Includes lines in which the same entry VM
    /// changed its view of an upstream of the request between the request's first and last line.
    pub fn new(request: &str, lines: &[Line]) -> Option<Self> {
        let own: Vec<_> = lines.iter().filter(|line| line.request() == Some(request)).collect();
        let first = own.iter().map(|line| &line.time).min()?;
        let last = own.iter().map(|line| &line.time).max()?;
        let is_of_upstream = |line: &Line| {
            let upstream = line.value("upstream");
            let names_upstream = |own: &&Line| {
                let named = own.value("upstream").into_iter().chain(own.value("backup"));
                own.vm == line.vm && named.into_iter().any(|name| Some(name) == upstream)
            };
            own.iter().any(names_upstream)
        };
        let around = lines.iter().filter(|line| {
            UPSTREAM_EVENTS.contains(&line.event.as_str())
                && (first..=last).contains(&&line.time)
                && is_of_upstream(line)
        });
        let around = around.map(|line| Step { line: line.clone(), around: true });
        let own = own.iter().map(|line| Step { line: (*line).clone(), around: false });
        let mut steps: Vec<_> = own.chain(around).collect();
        steps.sort_by(|a, b| a.line.time.cmp(&b.line.time));
        Some(Self { request: request.to_owned(), steps })
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["TIME", "ENTRY VM", "EVENT", "INPUTS AND OUTCOME"]);
        for Step { line, around } in &self.steps {
            let inputs = line.fields.iter().filter(|(key, _)| key != "request");
            let inputs: Vec<_> = inputs.map(|(key, value)| format!("{key}={value}")).collect();
            let mark = if *around { "  " } else { "" };
            let event = format!("{mark}{}", line.event);
            table.push([line.time.clone(), line.vm.clone(), event, inputs.join(" ")]);
        }
        write!(f, "{table}")
    }
}
