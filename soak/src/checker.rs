//! Checks the records of callers, upstreams and entry VMs against the guarantees of the system.
//!
//! Two checks depend on time, with bounds wide enough for a slow machine: some seconds after all
//! faults have ended, the newest configuration is in force everywhere and no run is left without a
//! caller. No other verdict depends on the speed of the machine.

use crate::record::{Attempt, Calm, Kind, Outcome};
use quetzaltiller::evidence::Line;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of events in a complete draft answer.
pub const EVENTS: u32 = 40;
/// Name of the client account that all callers use.
pub const ACCOUNT: &str = "roskilde";
/// Longest time from the end of all faults until the newest configuration is in force everywhere.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(5);

/// Window after sending in which a cut request may have raced with the close of its connection and
/// so never have been accepted.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(500);

/// A guarantee of the system.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// No event of an answer is missing or repeated, and an answer that ends as complete is
    /// complete.
    Whole,
    /// An answer contains only parts of its own request.
    OwnAnswer,
    /// An action runs at most once.
    OnceAtMost,
    /// A refused request did not run.
    TrueRefusal,
    /// Upstreams run only requests that callers sent, under the callers' account.
    Asked,
    /// An entry VM never returns to an older configuration while it runs.
    NeverBack,
    /// The newest configuration comes into force on every entry VM.
    InForce,
    /// An entry VM sends nothing to an upstream that it knows to be leaving.
    NothingToLeaving,
    /// The graceful stop of an entry VM cuts no request.
    NothingCut,
    /// A run ends when its request ends.
    NoOrphan,
    /// No process exits without being stopped by the soak.
    Alive,
}

/// A violated guarantee, with the evidence for it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Violation {
    /// The violated guarantee.
    pub promise: Promise,
    /// Request id, entry VM, upstream or process that violated it.
    pub subject: String,
    /// Observation that shows the violation.
    pub seen: String,
}

/// Everything that a run recorded.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Attempts of all callers.
    pub attempts: Vec<Attempt>,
    /// Log lines of upstreams.
    pub upstreams: Vec<Line>,
    /// Log lines of entry VMs.
    pub entries: Vec<Line>,
    /// Last part of the run, without faults; `None` leaves out the checks that need it.
    pub calm: Option<Calm>,
    /// Starts and stops of entry VMs, as time since the start of the load.
    pub restarts: Vec<(SocketAddr, Duration)>,
    /// Number of runs that each engine still had at the end, by upstream name.
    pub running: BTreeMap<String, u64>,
    /// Names of processes that exited without being stopped by the soak.
    pub ended: Vec<String>,
}

/// Returns the violations in `evidence`, sorted and without duplicates.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = BTreeSet::new();
    let runs = count_runs(&evidence.upstreams);
    found.extend(evidence.attempts.iter().filter_map(check_answer));
    found.extend(evidence.attempts.iter().filter_map(|attempt| check_run_count(attempt, &runs)));
    found.extend(find_unrequested_runs(&evidence.attempts, &evidence.upstreams));
    found.extend(find_logged_regressions(&evidence.entries));
    found.extend(find_served_regressions(&evidence.attempts, &evidence.restarts));
    found.extend(find_work_for_leaving(&evidence.entries));
    if let Some(calm) = evidence.calm {
        found
            .extend(evidence.attempts.iter().filter_map(|attempt| check_cut(attempt, calm, &runs)));
        found.extend(evidence.attempts.iter().filter_map(|attempt| check_in_force(attempt, calm)));
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

/// Counts the runs of each request, without those that the upstream refused.
fn count_runs(lines: &[Line]) -> BTreeMap<&str, i64> {
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

/// Checks that an answer holds only its own parts and that a draft has all events in order.
fn check_answer(attempt: &Attempt) -> Option<Violation> {
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

/// Checks that an action ran at most once and that a refused request did not run. Status requests
/// are exempt from the second check.
fn check_run_count(attempt: &Attempt, runs: &BTreeMap<&str, i64>) -> Option<Violation> {
    let count = runs.get(attempt.id.as_str()).copied().unwrap_or_default();
    if attempt.kind == Kind::Order && count > 1 {
        return Some(violation(Promise::OnceAtMost, &attempt.id, format!("ran {count} times")));
    }
    let refused = matches!(attempt.outcome, Outcome::Answered(408 | 421 | 429 | 503));
    let seen = format!("{:?} and ran {count} times", attempt.outcome);
    (refused && attempt.kind != Kind::Status && count > 0)
        .then(|| violation(Promise::TrueRefusal, &attempt.id, seen))
}

/// Finds runs that no caller requested or that ran under another account.
fn find_unrequested_runs(attempts: &[Attempt], lines: &[Line]) -> Vec<Violation> {
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

/// Finds configuration numbers that do not rise in the log of an entry VM between two of its
/// starts.
fn find_logged_regressions(lines: &[Line]) -> Vec<Violation> {
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

/// Finds probes that an entry VM answered from an older configuration than one it had served
/// before, without a restart between them. The route of a probe exists in one configuration only.
fn find_served_regressions(
    attempts: &[Attempt],
    restarts: &[(SocketAddr, Duration)],
) -> Vec<Violation> {
    let probes = attempts.iter().filter_map(|attempt| Some((attempt, served_version(attempt)?)));
    let probes: Vec<_> = probes.collect();
    let ran_throughout = |entry: SocketAddr, from: Duration, to: Duration| {
        !restarts.iter().any(|(known, at)| *known == entry && (from..=to).contains(at))
    };
    let stale = probes.iter().filter_map(|(probe, old)| {
        let (newer, new) = probes.iter().find(|(newer, new)| {
            newer.entry == probe.entry
                && new > old
                && newer.ended < probe.sent
                && ran_throughout(probe.entry, newer.sent, probe.ended)
        })?;
        let seen = format!("served configuration {old} after {new} was served to {}", newer.id);
        Some(violation(Promise::NeverBack, &probe.id, seen))
    });
    stale.collect()
}

/// Returns the configuration that answered a successful probe.
fn served_version(attempt: &Attempt) -> Option<u64> {
    match (&attempt.kind, &attempt.outcome) {
        (Kind::Probe(version), Outcome::Success { .. }) => Some(*version),
        _ => None,
    }
}

/// Finds requests sent to an upstream after the same start of the entry VM had listed it as
/// leaving.
fn find_work_for_leaving(lines: &[Line]) -> Vec<Violation> {
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

/// Checks that no accepted request ends without an answer in the calm part, although entry VMs
/// restart then. A request that races with the close of its connection was never accepted and does
/// not count.
fn check_cut(attempt: &Attempt, calm: Calm, runs: &BTreeMap<&str, i64>) -> Option<Violation> {
    let ran = runs.contains_key(attempt.id.as_str());
    let waited = attempt.ended.saturating_sub(attempt.sent) > CLOSE_RACE_WINDOW;
    let lost = match &attempt.outcome {
        Outcome::Cut { .. } => ran || waited,
        Outcome::Answered(status) => *status >= 500 && *status != 503,
        _ => false,
    };
    let seen = format!("{:?} at {} while nothing failed", attempt.outcome, attempt.entry);
    (lost && attempt.sent > calm.from).then(|| violation(Promise::NothingCut, &attempt.id, seen))
}

/// Checks that a probe late in the calm part is answered from the newest configuration.
fn check_in_force(attempt: &Attempt, calm: Calm) -> Option<Violation> {
    let Kind::Probe(version) = attempt.kind else {
        return None;
    };
    let late = attempt.sent > calm.from + ROLLOUT_LIMIT;
    let stale = match attempt.outcome {
        Outcome::Answered(404) => version == calm.version,
        Outcome::Success { .. } => version < calm.version,
        _ => false,
    };
    let seen = format!("{:?} for {version} at {}", attempt.outcome, attempt.entry);
    (late && stale).then(|| violation(Promise::InForce, &attempt.id, seen))
}
