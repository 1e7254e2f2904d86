//! Seeded load: callers that request drafts, send actions (orders) and lookups, and record the
//! replies.

use crate::deployment::Deployment;
use quetzaltiller::caller::{Caller, Completion, Reply, Unfinished};
use quetzaltiller::generation::Request;
use quetzaltiller::service::Call;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Share of drafts that are long.
const LONG_SHARE: f64 = 0.05;
/// Range of `max_tokens` of a short draft.
const SHORT_TOKENS: (u32, u32) = (200, 600);
/// Range of `max_tokens` of a long draft.
const LONG_TOKENS: (u32, u32) = (3_000, 5_000);
/// Number of different words in prompts.
const VOCABULARY: u32 = 5_000;
/// Time that a caller waits for a draft.
const DRAFT_PATIENCE: Duration = Duration::from_secs(30);
/// Time that a caller waits for one call of the plain service.
const CALL_PATIENCE: Duration = Duration::from_secs(8);
/// Maximum number of calls for one action, all under one key, while its outcome is unknown or it
/// was not run.
const MAX_ACTION_TRIES: usize = 3;

/// A system under load.
pub trait Target: Send + Sync + 'static {
    /// Deployment.
    fn deployment(&self) -> Deployment;

    /// A caller of the account; `index` selects the entry VM that it contacts first.
    fn caller(&self, account: &str, index: usize) -> Caller;
}

/// Duration and rates of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Time during which requests start.
    pub duration: Duration,
    /// Mean number of drafts started per second.
    pub drafts_per_s: f64,
    /// Mean number of actions started per second.
    pub actions_per_s: f64,
    /// Mean number of lookups started per second.
    pub lookups_per_s: f64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(30),
            drafts_per_s: 4.0,
            actions_per_s: 2.0,
            lookups_per_s: 8.0,
        }
    }
}

/// A planned request for a draft.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Time at which it starts, after the start of the load.
    pub at: Duration,
    /// Account of the caller.
    pub account: &'static str,
    /// Body of the request.
    pub request: Request,
}

/// A draft and its result.
#[derive(Debug)]
pub struct DraftRecord {
    /// The planned request.
    pub draft: Draft,
    /// Time at which the caller sent the request.
    pub started_at: Instant,
    /// The completed answer, or the reason for which there is none.
    pub result: Result<Completion, Unfinished>,
}

/// An action and the replies to all its tries.
#[derive(Debug)]
pub struct ActionRecord {
    /// Account of the caller.
    pub account: &'static str,
    /// Idempotency key.
    pub key: String,
    /// Replies, in the order of the tries.
    pub replies: Vec<Reply>,
}

/// A lookup and its reply.
#[derive(Debug)]
pub struct LookupRecord {
    /// Time from the call to the reply.
    pub latency: Duration,
    /// The reply.
    pub reply: Reply,
}

/// Requests and replies of all callers.
#[derive(Debug, Default)]
pub struct Records {
    /// Drafts, in order of completion.
    pub drafts: Vec<DraftRecord>,
    /// Actions, in order of completion.
    pub actions: Vec<ActionRecord>,
    /// Lookups, in order of completion.
    pub lookups: Vec<LookupRecord>,
}

enum Record {
    Draft(Box<DraftRecord>),
    Action(ActionRecord),
    Lookup(LookupRecord),
}

/// Drafts of a plan; the same for each run of a seed.
pub fn drafts(deployment: Deployment, plan: &LoadPlan, seed: u64) -> Vec<Draft> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed);
    let generators = deployment.generators();
    let times = arrivals(&mut rng, plan.drafts_per_s, plan.duration);
    let draft = |at| {
        let index = (0..2).map(|_| rng.random_range(0..generators.len())).min().unwrap_or(0);
        let (account, model) = generators[index];
        Draft { at, account, request: draft_request(&mut rng, deployment, account, model) }
    };
    times.into_iter().map(draft).collect()
}

/// Generates the load of a plan and waits until every request has ended.
pub async fn run_load<T: Target>(system: &Arc<T>, plan: &LoadPlan, seed: u64) -> Records {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for (index, draft) in drafts(system.deployment(), plan, seed).into_iter().enumerate() {
        tasks.spawn(run_draft(system.clone(), start, index, draft));
    }
    let mut rng = ChaCha12Rng::seed_from_u64(seed + 1);
    let accounts = system.deployment().callers();
    let actions = arrivals(&mut rng, plan.actions_per_s, plan.duration);
    for (index, at) in actions.into_iter().enumerate() {
        let account = accounts[index % accounts.len()];
        tasks.spawn(run_action(system.clone(), start + at, index, account));
    }
    let lookups = arrivals(&mut rng, plan.lookups_per_s, plan.duration);
    for (index, at) in lookups.into_iter().enumerate() {
        let account = accounts[index % accounts.len()];
        tasks.spawn(run_lookup(system.clone(), start + at, index, account));
    }
    let mut records = Records::default();
    while let Some(record) = tasks.join_next().await {
        match record.expect("callers do not panic") {
            Record::Draft(draft) => records.drafts.push(*draft),
            Record::Action(action) => records.actions.push(action),
            Record::Lookup(lookup) => records.lookups.push(lookup),
        }
    }
    records
}

async fn run_draft<T: Target>(
    system: Arc<T>,
    start: Instant,
    index: usize,
    draft: Draft,
) -> Record {
    sleep_until(start + draft.at).await;
    let caller = system.caller(draft.account, index);
    let started_at = Instant::now();
    let result = caller.generate(&draft.request, DRAFT_PATIENCE, &mut |_| {}).await;
    Record::Draft(Box::new(DraftRecord { draft, started_at, result }))
}

async fn run_action<T: Target>(
    system: Arc<T>,
    at: Instant,
    index: usize,
    account: &'static str,
) -> Record {
    sleep_until(at).await;
    let caller = system.caller(account, index);
    let key = format!("{account}-{index}");
    let call = Call {
        method: "POST".into(),
        path: "/orders".into(),
        key: Some(key.clone()),
        content_type: None,
        body: format!("{{\"item\":{index}}}").into(),
    };
    let mut replies = Vec::new();
    for _ in 0..MAX_ACTION_TRIES {
        let reply = caller.call(system.deployment().service(), &call, CALL_PATIENCE).await;
        let answered = matches!(reply, Reply::Answered(_));
        replies.push(reply);
        // Half of the callers repeat an answered call once, like a caller that lost the answer.
        if answered && (index.is_multiple_of(2) || replies.len() > 1) {
            break;
        }
    }
    Record::Action(ActionRecord { account, key, replies })
}

async fn run_lookup<T: Target>(
    system: Arc<T>,
    at: Instant,
    index: usize,
    account: &'static str,
) -> Record {
    sleep_until(at).await;
    let caller = system.caller(account, index);
    let call = Call {
        method: "GET".into(),
        path: format!("/halls/{index}"),
        key: None,
        content_type: None,
        body: "".into(),
    };
    let started_at = Instant::now();
    let reply = caller.call(system.deployment().service(), &call, CALL_PATIENCE).await;
    Record::Lookup(LookupRecord { latency: started_at.elapsed(), reply })
}

/// Arrival times of a Poisson process with `per_s` arrivals per second; none if `per_s` is not
/// positive.
pub fn arrivals(rng: &mut ChaCha12Rng, per_s: f64, duration: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    let mut at_s = 0.0;
    if per_s <= 0.0 {
        return times;
    }
    loop {
        at_s -= (1.0 - rng.random::<f64>()).ln() / per_s;
        if at_s >= duration.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at_s));
    }
}

fn draft_request(
    rng: &mut ChaCha12Rng,
    deployment: Deployment,
    account: &str,
    model: &str,
) -> Request {
    let (shared_words, own_words) = deployment.prompt_words();
    let mut account_rng = ChaCha12Rng::seed_from_u64(account.bytes().map(u64::from).sum());
    let mut prompt = words(&mut account_rng, shared_words);
    let length = rng.random_range(own_words / 4..=own_words);
    prompt.push_str(&words(rng, length));
    let (low, high) = if rng.random_bool(LONG_SHARE) { LONG_TOKENS } else { SHORT_TOKENS };
    let max_tokens = rng.random_range(low..=high);
    Request { model: model.into(), prompt, max_tokens, ..Request::default() }
}

fn words(rng: &mut ChaCha12Rng, count: usize) -> String {
    (0..count).map(|_| format!("w{} ", rng.random_range(0..VOCABULARY))).collect()
}
