//! Counts violations of the system's guarantees from the evidence of one run: what callers,
//! engines, the plain service, operators and the entry VMs' configuration showed.

use crate::load::{ActionRecord, DraftRecord, Records};
use crate::system::CutStream;
use quetzaltiller::caller::{Completion, Reply, Unfinished, Violation};
use quetzaltiller::refusal::Ran;
use serde::Serialize;
use standin::engine::Submitted;
use standin::text;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Grace period after an upstream is marked as leaving; a stream submitted to it later is a
/// violation.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(2);
/// Time within which an accepted configuration must be in force on every entry VM.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// A graceful departure of an upstream or an entry VM.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Network party that leaves: address of the upstream or name of the entry VM.
    pub party: String,
    /// Time at which the departure began.
    pub at: Instant,
}

/// A stream that an engine accepted.
#[derive(Clone, Debug)]
pub struct EngineStream {
    /// Address of the engine.
    pub address: String,
    /// The engine's record of the submission.
    pub submitted: Submitted,
}

/// Configuration number in force on an entry VM at one time.
#[derive(Clone, Debug)]
pub struct ConfigSample {
    /// Name of the entry VM.
    pub entry: String,
    /// Time of the sample.
    pub at: Instant,
    /// Configuration number in force; 0 before the first.
    pub number: u64,
    /// Whether the entry VM has run and reached the platform and its peers throughout the preceding
    /// `IN_FORCE_LIMIT`.
    pub settled: bool,
}

/// A configuration that the steward accepted.
#[derive(Clone, Copy, Debug)]
pub struct AcceptedConfig {
    /// Configuration number.
    pub number: u64,
    /// Time at which its acceptance was first read from the store.
    pub at: Instant,
}

/// Everything observed in a run, as input for `check`.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Requests and replies that callers recorded.
    pub records: Records,
    /// Executions of each action in the plain service, by idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Streams that engines accepted.
    pub engine_streams: Vec<EngineStream>,
    /// Upstreams that were marked as leaving.
    pub upstream_departures: Vec<Departure>,
    /// Entry VMs that left gracefully; empty if the run also killed or paused an entry VM or lost a
    /// zone.
    pub entry_departures: Vec<Departure>,
    /// Streams that ended without a last event.
    pub cuts: Vec<CutStream>,
    /// Configuration numbers in force, in order of time.
    pub config_samples: Vec<ConfigSample>,
    /// Accepted configurations, in order of time.
    pub accepted_configs: Vec<AcceptedConfig>,
}

/// Number of violations of each guarantee.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Violations {
    /// Answers with a missing or repeated token.
    pub token_missing_or_repeated: u64,
    /// Answers that mix the tokens of two generations.
    pub generations_mixed: u64,
    /// Answers that belong to another request.
    pub wrong_answer: u64,
    /// Requests that ran although the caller was told that they did not run.
    pub not_run_but_ran: u64,
    /// Actions that ran more than once.
    pub action_more_than_once: u64,
    /// Streams submitted to a leaving upstream after `LEAVING_LIMIT`.
    pub leaving_got_new_work: u64,
    /// Streams cut by the graceful shutdown of an entry VM.
    pub shutdown_cut: u64,
    /// Samples in which an entry VM had an older configuration than before, or lacked one accepted
    /// more than `IN_FORCE_LIMIT` ago.
    pub configuration_late_or_reverted: u64,
}

impl Violations {
    /// Sum over all guarantees.
    pub fn total(&self) -> u64 {
        self.token_missing_or_repeated
            + self.generations_mixed
            + self.wrong_answer
            + self.not_run_but_ran
            + self.action_more_than_once
            + self.leaving_got_new_work
            + self.shutdown_cut
            + self.configuration_late_or_reverted
    }
}

impl Violations {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.token_missing_or_repeated += other.token_missing_or_repeated;
        self.generations_mixed += other.generations_mixed;
        self.wrong_answer += other.wrong_answer;
        self.not_run_but_ran += other.not_run_but_ran;
        self.action_more_than_once += other.action_more_than_once;
        self.leaving_got_new_work += other.leaving_got_new_work;
        self.shutdown_cut += other.shutdown_cut;
        self.configuration_late_or_reverted += other.configuration_late_or_reverted;
    }
}

/// Counts the violations in the evidence of a run.
pub fn check(evidence: &Evidence) -> Violations {
    let mut violations = Violations::default();
    let drafts = &evidence.records.drafts;
    for record in drafts {
        check_draft(record, drafts, &mut violations);
    }
    violations.not_run_but_ran =
        count_refused_drafts_that_ran(evidence) + count_refused_actions_that_ran(evidence);
    violations.action_more_than_once =
        evidence.runs.values().filter(|runs| **runs > 1).count() as u64;
    violations.leaving_got_new_work = count_work_after_leaving(evidence);
    violations.shutdown_cut = count_cuts_by_leaving_entries(evidence);
    violations.configuration_late_or_reverted =
        count_reverts(evidence) + count_late_configs(evidence);
    violations
}

fn check_draft(record: &DraftRecord, all: &[DraftRecord], violations: &mut Violations) {
    match &record.result {
        Ok(completion) => check_completion(record, completion, all, violations),
        Err(Unfinished::Violation(Violation::Version)) => violations.generations_mixed += 1,
        Err(Unfinished::Violation(_)) => violations.token_missing_or_repeated += 1,
        Err(Unfinished::Refused(_) | Unfinished::Unreachable) => {}
    }
}

fn check_completion(
    record: &DraftRecord,
    completion: &Completion,
    all: &[DraftRecord],
    violations: &mut Violations,
) {
    let Err(index) = text::check(&record.draft.request, &completion.version, &completion.tokens)
    else {
        return;
    };
    let matches_answer = |other: &&DraftRecord| {
        text::check(&other.draft.request, &completion.version, &completion.tokens).is_ok()
    };
    if all.iter().any(|other| matches_answer(&other)) {
        violations.wrong_answer += 1;
    } else if index < completion.tokens.len() && !repeats_previous(completion, index) {
        violations.generations_mixed += 1;
    } else {
        violations.token_missing_or_repeated += 1;
    }
}

/// Whether the token at `index` equals the one before it.
fn repeats_previous(completion: &Completion, index: usize) -> bool {
    index > 0 && completion.tokens.get(index) == completion.tokens.get(index - 1)
}

fn count_refused_drafts_that_ran(evidence: &Evidence) -> u64 {
    let prompts: BTreeSet<_> =
        evidence.engine_streams.iter().map(|stream| stream.submitted.prompt.as_ref()).collect();
    let ran = |record: &&DraftRecord| match &record.result {
        Err(Unfinished::Refused(refusal)) => {
            refusal.ran == Ran::No && prompts.contains(record.draft.request.prompt.as_str())
        }
        _ => false,
    };
    evidence.records.drafts.iter().filter(ran).count() as u64
}

/// Counts the actions that ran although every reply said that they did not. An action with an
/// answer, a broken connection or a refusal with an unknown outcome is left out.
fn count_refused_actions_that_ran(evidence: &Evidence) -> u64 {
    let not_run = |reply: &Reply| match reply {
        Reply::Refused(refusal) => refusal.ran == Ran::No,
        Reply::Unreachable => true,
        Reply::Answered(_) | Reply::Broken => false,
    };
    let reported_not_run = |record: &&ActionRecord| record.replies.iter().all(not_run);
    let ran = |record: &&ActionRecord| evidence.runs.get(&record.key).is_some_and(|runs| *runs > 0);
    evidence.records.actions.iter().filter(reported_not_run).filter(ran).count() as u64
}

fn count_work_after_leaving(evidence: &Evidence) -> u64 {
    let is_late = |stream: &&EngineStream| {
        evidence.upstream_departures.iter().any(|departure| {
            departure.party == stream.address && stream.submitted.at > departure.at + LEAVING_LIMIT
        })
    };
    evidence.engine_streams.iter().filter(is_late).count() as u64
}

fn count_cuts_by_leaving_entries(evidence: &Evidence) -> u64 {
    let by_leaving_entry = |cut: &&CutStream| {
        evidence
            .entry_departures
            .iter()
            .any(|departure| departure.party == cut.entry && departure.at <= cut.at)
    };
    evidence.cuts.iter().filter(by_leaving_entry).count() as u64
}

fn count_reverts(evidence: &Evidence) -> u64 {
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reverts = 0;
    for sample in evidence.config_samples.iter().filter(|sample| sample.number > 0) {
        let highest_seen = highest.entry(&sample.entry).or_default();
        reverts += u64::from(sample.number < *highest_seen);
        *highest_seen = sample.number.max(*highest_seen);
    }
    reverts
}

fn count_late_configs(evidence: &Evidence) -> u64 {
    let is_late = |sample: &&ConfigSample| {
        sample.settled
            && evidence.accepted_configs.iter().any(|accepted| {
                accepted.number > sample.number && accepted.at + IN_FORCE_LIMIT < sample.at
            })
    };
    evidence.config_samples.iter().filter(is_late).count() as u64
}
