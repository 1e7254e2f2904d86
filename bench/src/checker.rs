//! Counts broken promises from what callers, engines, services and operators saw.

use crate::load::{ActionRecord, DraftRecord, Records};
use crate::system::Cut;
use quetzaltiller::caller::{Completion, Reply, Unfinished, Violation};
use quetzaltiller::refusal::Ran;
use serde::Serialize;
use standin::engine::Submitted;
use standin::text;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time after which a leaving upstream gets nothing new.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(2);
/// Time after which an accepted configuration is in force everywhere.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// A party and when it began to leave.
#[derive(Clone, Debug)]
pub struct Left {
    /// Party.
    pub party: String,
    /// When.
    pub at: Instant,
}

/// A stream that an engine took on.
#[derive(Clone, Debug)]
pub struct Taken {
    /// Engine's address.
    pub address: String,
    /// Stream.
    pub submitted: Submitted,
}

/// Number in force at an entry VM.
#[derive(Clone, Debug)]
pub struct Observed {
    /// Entry VM.
    pub entry: String,
    /// When.
    pub at: Instant,
    /// Number in force.
    pub number: u64,
    /// It has run, unfrozen, for the whole of the limit before.
    pub settled: bool,
}

/// A number and when it was accepted.
#[derive(Clone, Copy, Debug)]
pub struct Accepted {
    /// Number.
    pub number: u64,
    /// When.
    pub at: Instant,
}

/// All that was seen in a run.
#[derive(Debug, Default)]
pub struct Evidence {
    /// By callers.
    pub records: Records,
    /// By the service: runs by key.
    pub runs: BTreeMap<String, u32>,
    /// By engines.
    pub taken: Vec<Taken>,
    /// Upstreams that were marked as leaving.
    pub upstreams_left: Vec<Left>,
    /// Entry VMs that left gracefully and met no other fault.
    pub entries_left: Vec<Left>,
    /// Streams that ended without a last event.
    pub cuts: Vec<Cut>,
    /// Numbers in force, in the order of time.
    pub observed: Vec<Observed>,
    /// Numbers accepted, in the order of time.
    pub accepted: Vec<Accepted>,
}

/// Broken promises, by the promise.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Violations {
    /// A token of an answer is missing or repeated.
    pub token_missing_or_repeated: u64,
    /// Two generations were mixed into one answer.
    pub generations_mixed: u64,
    /// A caller got another request's answer.
    pub wrong_answer: u64,
    /// A request that was said not to have run ran.
    pub not_run_but_ran: u64,
    /// An action ran more than once.
    pub action_more_than_once: u64,
    /// A leaving upstream got new work.
    pub leaving_got_new_work: u64,
    /// A graceful shutdown cut a request.
    pub shutdown_cut: u64,
    /// A configuration came late or reverted.
    pub configuration_late_or_reverted: u64,
}

impl Violations {
    /// Sum over all promises.
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
    /// Adds another run's.
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

/// Counts the violations in what was seen.
pub fn check(evidence: &Evidence) -> Violations {
    let mut violations = Violations::default();
    let drafts = &evidence.records.drafts;
    for record in drafts {
        check_draft(record, drafts, &mut violations);
    }
    violations.not_run_but_ran =
        refused_but_run_drafts(evidence) + refused_but_run_actions(evidence);
    violations.action_more_than_once =
        evidence.runs.values().filter(|runs| **runs > 1).count() as u64;
    violations.leaving_got_new_work = late_work(evidence);
    violations.shutdown_cut = cuts_of_leavers(evidence);
    violations.configuration_late_or_reverted = reverted(evidence) + late(evidence);
    violations
}

fn check_draft(record: &DraftRecord, all: &[DraftRecord], violations: &mut Violations) {
    match &record.result {
        Ok(whole) => check_whole(record, whole, all, violations),
        Err(Unfinished::Violation(Violation::Version)) => violations.generations_mixed += 1,
        Err(Unfinished::Violation(_)) => violations.token_missing_or_repeated += 1,
        Err(Unfinished::Refused(_) | Unfinished::Unreachable) => {}
    }
}

fn check_whole(
    record: &DraftRecord,
    whole: &Completion,
    all: &[DraftRecord],
    violations: &mut Violations,
) {
    let Err(index) = text::check(&record.draft.request, &whole.version, &whole.tokens) else {
        return;
    };
    let fits = |other: &&DraftRecord| {
        text::check(&other.draft.request, &whole.version, &whole.tokens).is_ok()
    };
    if all.iter().any(|other| fits(&other)) {
        violations.wrong_answer += 1;
    } else if index < whole.tokens.len() && !is_shifted(whole, index) {
        violations.generations_mixed += 1;
    } else {
        violations.token_missing_or_repeated += 1;
    }
}

/// Whether the token at `index` repeats the one before it, or the end is missing.
fn is_shifted(whole: &Completion, index: usize) -> bool {
    index > 0 && whole.tokens.get(index) == whole.tokens.get(index - 1)
}

fn refused_but_run_drafts(evidence: &Evidence) -> u64 {
    let prompts: BTreeSet<_> =
        evidence.taken.iter().map(|taken| taken.submitted.prompt.as_ref()).collect();
    let ran = |record: &&DraftRecord| match &record.result {
        Err(Unfinished::Refused(refusal)) => {
            refusal.ran == Ran::No && prompts.contains(record.draft.request.prompt.as_str())
        }
        _ => false,
    };
    evidence.records.drafts.iter().filter(ran).count() as u64
}

/// An action none of whose replies leaves it open must not have run when all say so.
fn refused_but_run_actions(evidence: &Evidence) -> u64 {
    let not_run = |reply: &Reply| match reply {
        Reply::Refused(refusal) => refusal.ran == Ran::No,
        Reply::Unreachable => true,
        Reply::Answered(_) | Reply::Broken => false,
    };
    let denied = |record: &&ActionRecord| record.replies.iter().all(not_run);
    let ran = |record: &&ActionRecord| evidence.runs.get(&record.key).is_some_and(|runs| *runs > 0);
    evidence.records.actions.iter().filter(denied).filter(ran).count() as u64
}

fn late_work(evidence: &Evidence) -> u64 {
    let is_late = |taken: &&Taken| {
        evidence
            .upstreams_left
            .iter()
            .any(|left| left.party == taken.address && taken.submitted.at > left.at + LEAVING_LIMIT)
    };
    evidence.taken.iter().filter(is_late).count() as u64
}

fn cuts_of_leavers(evidence: &Evidence) -> u64 {
    let by_leaver = |cut: &&Cut| {
        evidence.entries_left.iter().any(|left| left.party == cut.entry && left.at <= cut.at)
    };
    evidence.cuts.iter().filter(by_leaver).count() as u64
}

fn reverted(evidence: &Evidence) -> u64 {
    let mut highest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reverted = 0;
    for observed in evidence.observed.iter().filter(|observed| observed.number > 0) {
        let known = highest.entry(&observed.entry).or_default();
        reverted += u64::from(observed.number < *known);
        *known = observed.number.max(*known);
    }
    reverted
}

fn late(evidence: &Evidence) -> u64 {
    let is_late = |observed: &&Observed| {
        observed.settled
            && evidence.accepted.iter().any(|accepted| {
                accepted.number > observed.number && accepted.at + IN_FORCE_LIMIT < observed.at
            })
    };
    evidence.observed.iter().filter(is_late).count() as u64
}
