//! Compares what callers and upstreams saw with what the system promises.
//!
//! No verdict depends on how fast the machine is, but for two wide bounds: a configuration is in
//! force everywhere, and no run goes on, some seconds after all faults have ended.

use crate::record::{Attempt, Calm, Kind, Outcome};
use quetzaltiller::evidence::Line;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Events of a whole draft.
pub const EVENTS: u32 = 40;
/// Account of all callers.
pub const ACCOUNT: &str = "roskilde";
/// A configuration is in force everywhere so long after all faults have ended.
const IN_FORCE: Duration = Duration::from_secs(5);

/// A request that ends so soon may have crossed the end of its connection.
const CROSSING: Duration = Duration::from_millis(500);

/// What the system promises.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// No event is missing or comes twice; what looks whole is whole.
    Whole,
    /// An answer belongs to its own request.
    OwnAnswer,
    /// An action runs once at most.
    OnceAtMost,
    /// What was refused did not run.
    TrueRefusal,
    /// Only what callers asked for runs, for their account.
    Asked,
    /// A configuration never goes back.
    NeverBack,
    /// A configuration comes in force everywhere.
    InForce,
    /// Leaving upstreams get nothing from an entry VM that knows it.
    NothingToLeaving,
    /// A graceful end cuts nothing.
    NothingCut,
    /// A run ends with its request.
    NoOrphan,
    /// Processes do not end by themselves.
    Alive,
}

/// A broken promise.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Violation {
    /// Promise.
    pub promise: Promise,
    /// Request, entry VM or upstream.
    pub subject: String,
    /// What was seen.
    pub seen: String,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Attempts of callers.
    pub attempts: Vec<Attempt>,
    /// Log lines of upstreams.
    pub upstreams: Vec<Line>,
    /// Log lines of entry VMs.
    pub entries: Vec<Line>,
    /// Last part of the run, without faults.
    pub calm: Option<Calm>,
    /// Starts and ends of entry VMs, from the start of the load.
    pub restarts: Vec<(SocketAddr, Duration)>,
    /// Runs that engines still had at the end, by upstream.
    pub running: BTreeMap<String, u64>,
    /// Processes that ended by themselves.
    pub ended: Vec<String>,
}

/// Broken promises, each once.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = BTreeSet::new();
    let runs = runs(&evidence.upstreams);
    found.extend(evidence.attempts.iter().filter_map(answer));
    found.extend(evidence.attempts.iter().filter_map(|attempt| ran(attempt, &runs)));
    found.extend(asked(&evidence.attempts, &evidence.upstreams));
    found.extend(back(&evidence.entries));
    found.extend(served_back(&evidence.attempts, &evidence.restarts));
    found.extend(to_leaving(&evidence.entries));
    if let Some(calm) = evidence.calm {
        found.extend(evidence.attempts.iter().filter_map(|attempt| cut(attempt, calm, &runs)));
        found.extend(evidence.attempts.iter().filter_map(|attempt| in_force(attempt, calm)));
    }
    for (upstream, runs) in evidence.running.iter().filter(|(_, runs)| **runs > 0) {
        found.insert(violation(
            Promise::NoOrphan,
            upstream,
            format!("{runs} runs without callers"),
        ));
    }
    for process in &evidence.ended {
        found.insert(violation(Promise::Alive, process, "ended by itself"));
    }
    found.into_iter().collect()
}

fn violation(promise: Promise, subject: &str, seen: impl Into<String>) -> Violation {
    Violation { promise, subject: subject.to_owned(), seen: seen.into() }
}

/// Runs by request, those that were refused left out.
fn runs(lines: &[Line]) -> BTreeMap<&str, i64> {
    let mut runs = BTreeMap::new();
    for line in lines {
        let change = match line.event.as_str() {
            "run_begun" => 1,
            "run_refused" => -1,
            _ => continue,
        };
        if let Some(request) = line.request() {
            *runs.entry(request).or_default() += change;
        }
    }
    runs
}

fn answer(attempt: &Attempt) -> Option<Violation> {
    let (events, own, success) = match &attempt.outcome {
        Outcome::Success { events, own } => (events, *own, true),
        Outcome::Cut { events, own } => (events, *own, false),
        _ => return None,
    };
    if !own {
        return Some(violation(Promise::OwnAnswer, &attempt.id, "a part of another request"));
    }
    if attempt.kind != Kind::Draft {
        return None;
    }
    let expected = attempt.last_event + 1..=EVENTS;
    let in_order = events.iter().copied().zip(expected.clone()).all(|(got, due)| got == due);
    if !in_order || events.len() > expected.clone().count() {
        return Some(violation(Promise::Whole, &attempt.id, format!("events {events:?}")));
    }
    let short = success && events.len() != expected.count();
    let seen = format!("looks whole after {} of {EVENTS} events", events.len());
    short.then(|| violation(Promise::Whole, &attempt.id, seen))
}

fn ran(attempt: &Attempt, runs: &BTreeMap<&str, i64>) -> Option<Violation> {
    let count = runs.get(attempt.id.as_str()).copied().unwrap_or_default();
    if attempt.kind == Kind::Order && count > 1 {
        return Some(violation(Promise::OnceAtMost, &attempt.id, format!("ran {count} times")));
    }
    let refused = matches!(attempt.outcome, Outcome::Answered(408 | 421 | 429 | 503));
    let seen = format!("{:?} and ran {count} times", attempt.outcome);
    (refused && attempt.kind != Kind::Status && count > 0)
        .then(|| violation(Promise::TrueRefusal, &attempt.id, seen))
}

fn asked(attempts: &[Attempt], lines: &[Line]) -> Vec<Violation> {
    let sent: BTreeSet<_> = attempts.iter().map(|attempt| attempt.id.as_str()).collect();
    let begun = lines.iter().filter(|line| line.event == "run_begun");
    let unasked = begun.filter_map(|line| {
        let request = line.request()?;
        let account = line.value("account").unwrap_or_default();
        let seen = if !sent.contains(request) {
            "nobody sent it".to_owned()
        } else if account != ACCOUNT {
            format!("ran for account {account}")
        } else {
            return None;
        };
        Some(violation(Promise::Asked, request, seen))
    });
    unasked.collect()
}

/// In the log of one start of an entry VM configurations only rise.
fn back(lines: &[Line]) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        let known = newest.entry(&line.vm).or_default();
        match (line.event.as_str(), line.number("number")) {
            ("entry_started", _) => *known = 0,
            ("configuration_in_force", Some(number)) if number <= *known => {
                let seen = format!("{number} after {known}");
                found.push(violation(Promise::NeverBack, &line.vm, seen));
            }
            ("configuration_in_force", Some(number)) => *known = number,
            _ => {}
        }
    }
    found
}

/// Probes succeed on the route of one configuration alone: after a success on a later one no probe may
/// succeed on an earlier one while the entry VM runs on.
fn served_back(attempts: &[Attempt], restarts: &[(SocketAddr, Duration)]) -> Vec<Violation> {
    let probes = attempts.iter().filter_map(|attempt| Some((attempt, version(attempt)?)));
    let probes: Vec<_> = probes.collect();
    let ran_on = |entry: SocketAddr, from: Duration, to: Duration| {
        !restarts.iter().any(|(known, at)| *known == entry && (from..=to).contains(at))
    };
    let stale = probes.iter().filter_map(|(probe, old)| {
        let (newer, new) = probes.iter().find(|(newer, new)| {
            newer.entry == probe.entry
                && new > old
                && newer.ended < probe.sent
                && ran_on(probe.entry, newer.sent, probe.ended)
        })?;
        let seen = format!("served configuration {old} after {new} was served to {}", newer.id);
        Some(violation(Promise::NeverBack, &probe.id, seen))
    });
    stale.collect()
}

fn version(attempt: &Attempt) -> Option<u64> {
    match (&attempt.kind, &attempt.outcome) {
        (Kind::Probe(version), Outcome::Success { .. }) => Some(*version),
        _ => None,
    }
}

/// In the log of one start of an entry VM nothing goes to an upstream after that is known to leave.
fn to_leaving(lines: &[Line]) -> Vec<Violation> {
    let mut leaving: BTreeSet<(&str, &str)> = BTreeSet::new();
    let mut found = Vec::new();
    for line in lines {
        let vm = line.vm.as_str();
        let upstream = line.value("upstream").unwrap_or_default();
        match line.event.as_str() {
            "entry_started" => leaving.retain(|(known, _)| *known != vm),
            "upstream_listed" if line.value("leaving") == Some("true") => {
                leaving.insert((vm, upstream));
            }
            "upstream_listed" => {
                leaving.remove(&(vm, upstream));
            }
            "generation_placed" | "request_repeated" if leaving.contains(&(vm, upstream)) => {
                let request = line.request().unwrap_or_default();
                found.push(violation(
                    Promise::NothingToLeaving,
                    request,
                    format!("{upstream} at {vm}"),
                ));
            }
            _ => {}
        }
    }
    found
}

/// While nothing fails, no request that was taken ends without an answer, though entry VMs end and
/// start. One that crosses the end of its connection was not taken.
fn cut(attempt: &Attempt, calm: Calm, runs: &BTreeMap<&str, i64>) -> Option<Violation> {
    let ran = runs.contains_key(attempt.id.as_str());
    let waited = attempt.ended.saturating_sub(attempt.sent) > CROSSING;
    let broke = match &attempt.outcome {
        Outcome::Cut { .. } => ran || waited,
        Outcome::Answered(status) => *status >= 500 && *status != 503,
        _ => false,
    };
    let seen = format!("{:?} at {} while nothing failed", attempt.outcome, attempt.entry);
    (broke && attempt.sent > calm.from).then(|| violation(Promise::NothingCut, &attempt.id, seen))
}

fn in_force(attempt: &Attempt, calm: Calm) -> Option<Violation> {
    let Kind::Probe(version) = attempt.kind else {
        return None;
    };
    let late = attempt.sent > calm.from + IN_FORCE;
    let stale = match attempt.outcome {
        Outcome::Answered(404) => version == calm.version,
        Outcome::Success { .. } => version < calm.version,
        _ => false,
    };
    let seen = format!("{:?} for {version} at {}", attempt.outcome, attempt.entry);
    (late && stale).then(|| violation(Promise::InForce, &attempt.id, seen))
}
