//! Runs one seed with and without faults, optionally with the baselines, and compares the runs in a
//! report.

use crate::baseline::{self, Strategy};
use crate::checker::{self, AcceptedConfig, ConfigSample, Departure, EngineStream, Evidence};
use crate::deployment::Deployment;
use crate::faults::{self, AffectedStream, InjectedFault, Kind, PlannedFault};
use crate::load::{self, LoadPlan, Records};
use crate::report::{Baseline, Control, Measures, Report, Times};
use crate::system::{ENTRY_VMS, System, Tuning, entry_name};
use quetzaltiller::caller::Reply;
use quetzaltiller::metrics::Counter;
use quetzaltiller::objects::{Accepted, Object};
use quetzaltiller::platform::{ACCEPTED_KEY, Store as _};
use quetzaltiller::refusal::Ran;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Interval between samples of the configuration numbers in force.
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);
/// Pause between the operator's configuration changes.
const OPERATOR_PERIOD: Duration = Duration::from_secs(4);
/// Drain deadline of the entry VMs in a run.
const DRAIN_DEADLINE: Duration = Duration::from_secs(15);
/// Upper bound on the arrival of tokens that were in flight when a fault was injected; these do not
/// end the wait.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(5);

/// Settings of a run.
#[derive(Clone)]
pub struct Options {
    /// Deployment to build.
    pub deployment: Deployment,
    /// Seed of the load, the faults and the system.
    pub seed: u64,
    /// Load to generate.
    pub plan: LoadPlan,
    /// Faults to inject, one of each entry.
    pub kinds: Vec<Kind>,
    /// Whether to run the baselines too.
    pub baselines: bool,
    /// Overrides of the deployment's settings.
    pub tuning: Tuning,
    /// Callback that receives the name of the phase about to run.
    pub progress: fn(&str),
}

impl Options {
    /// Options for a run with faults of these kinds, the default load and no baselines.
    pub fn new(deployment: Deployment, seed: u64, kinds: &[Kind]) -> Self {
        Self {
            deployment,
            seed,
            plan: LoadPlan::default(),
            kinds: kinds.to_vec(),
            baselines: false,
            tuning: Tuning::default(),
            progress: |_| {},
        }
    }
}

/// Runs on virtual time and returns the report. Turns logging off.
pub fn run(options: &Options) -> Report {
    quetzaltiller::logs::stop();
    let faults = faults::plan(&options.kinds, options.plan.duration, options.seed);
    (options.progress)("without faults");
    let fault_free = on_virtual_time(run_once(options, Vec::new(), None));
    (options.progress)("with faults");
    let outcome = on_virtual_time(run_once(options, faults.clone(), None));
    let mut report = report(options, &outcome, &fault_free);
    if options.baselines {
        let measure = |strategy| {
            (options.progress)(&format!("baseline {strategy:?}"));
            let fault_free = on_virtual_time(run_once(options, Vec::new(), Some(strategy)));
            let outcome = on_virtual_time(run_once(options, faults.clone(), Some(strategy)));
            compute_measures(&outcome, &fault_free)
        };
        report.baseline = Some(Baseline {
            start_over: measure(Strategy::StartOver),
            resume_without_reattach: measure(Strategy::Resume),
        });
    }
    report
}

/// Drives a future on one thread with a paused clock, which makes the run repeatable.
pub fn on_virtual_time<T>(future: impl Future<Output = T>) -> T {
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    runtime.expect("a runtime without I/O needs no system resources").block_on(future)
}

/// Measurements of one run.
pub struct RunOutcome {
    /// Input for the checker.
    pub evidence: Evidence,
    /// Faults that were injected.
    pub injected: Vec<InjectedFault>,
    /// Tokens that engines prefilled or decoded.
    pub work_tokens: u64,
    /// Part of `work_tokens` that was prefilled to resume a generation.
    pub resumed_tokens: u64,
    /// Counters of `REPORTED_COUNTERS` by name, summed over all routers.
    pub counters: BTreeMap<&'static str, u64>,
    /// Bytes sent between entry VMs.
    pub peer_bytes: u64,
    /// Times from an operator's write until the configuration is in force everywhere.
    pub in_force: Vec<Duration>,
    /// Duration of the run on its own clock.
    pub duration: Duration,
}

/// Builds a system, runs load and faults against it and collects the measurements. With a
/// `baseline`, callers submit drafts to the engines directly.
pub async fn run_once(
    options: &Options,
    planned: Vec<PlannedFault>,
    baseline: Option<Strategy>,
) -> RunOutcome {
    let mut tuning = options.tuning.clone();
    let change = tuning.config.take();
    tuning.config = Some(Arc::new(move |config| {
        config.timing.drain_deadline = DRAIN_DEADLINE;
        if let Some(change) = &change {
            change(config);
        }
    }));
    let system = System::start(options.deployment, options.seed, tuning).await;
    let start = Instant::now();
    let sampler = Sampler::start(&system);
    let operator = Operator::start(&system);
    let injection = tokio::spawn(faults::inject(system.clone(), planned, options.seed));
    let records = match baseline {
        None => load::run_load(&system, &options.plan, options.seed).await,
        Some(strategy) => baseline::run_load(&system, &options.plan, options.seed, strategy).await,
    };
    let injected = injection.await.expect("the faults are injected");
    let outcome = gather(&system, records, injected, sampler, operator, start.elapsed());
    system.stop();
    outcome
}

fn gather(
    system: &System,
    records: Records,
    injected: Vec<InjectedFault>,
    sampler: Sampler,
    operator: Operator,
    duration: Duration,
) -> RunOutcome {
    let work = system.work();
    let (config_samples, accepted_configs) = sampler.finish();
    let engine_streams = system.engines.iter().flat_map(|(address, engine)| {
        let submitted = engine.submitted().into_iter();
        submitted.map(|submitted| EngineStream { address: address.clone(), submitted })
    });
    let departures = |kind| {
        let of_kind = injected.iter().filter(move |fault| fault.kind == kind);
        of_kind.filter_map(|fault| Some(Departure { party: fault.departed.clone()?, at: fault.at }))
    };
    let no_other_router_fault = injected.iter().all(|fault| {
        !matches!(fault.kind, Kind::RouterKilled | Kind::RouterPaused | Kind::ZoneLost)
    });
    let evidence = Evidence {
        records,
        runs: system.service.runs(),
        engine_streams: engine_streams.collect(),
        upstream_departures: departures(Kind::EngineLeaves).collect(),
        entry_departures: departures(Kind::RouterLeaves)
            .filter(|_| no_other_router_fault)
            .collect(),
        cuts: system.hub.cuts(),
        config_samples,
        accepted_configs,
    };
    let counters = REPORTED_COUNTERS.iter().map(|counter| (counter.name(), system.count(*counter)));
    RunOutcome {
        evidence,
        injected,
        work_tokens: work.prefilled + work.decoded,
        resumed_tokens: work.resumed,
        counters: counters.collect(),
        peer_bytes: system.hub.peer_bytes(),
        in_force: operator.finish(),
        duration,
    }
}

/// Router counters that a report uses.
pub const REPORTED_COUNTERS: [Counter; 6] = [
    Counter::Reattached,
    Counter::Redispatched,
    Counter::FalseSuspicion,
    Counter::JournalBytes,
    Counter::StoreCall,
    Counter::Refused,
];

impl RunOutcome {
    fn count(&self, counter: Counter) -> u64 {
        self.counters.get(counter.name()).copied().unwrap_or_default()
    }

    /// Time from each fault to the next token of every affected stream that completed.
    pub fn resume_latencies(&self) -> Vec<Duration> {
        let affected_streams = self
            .injected
            .iter()
            .flat_map(|fault| fault.affected.iter().map(move |stream| (fault.at, stream)));
        affected_streams.filter_map(|(at, stream)| self.resume_latency(at, stream)).collect()
    }

    fn floors(&self) -> Vec<Duration> {
        self.injected.iter().flat_map(|fault| &fault.affected).map(|stream| stream.floor).collect()
    }

    fn resume_latency(&self, at: Instant, stream: &AffectedStream) -> Option<Duration> {
        let record = self.evidence.records.drafts.iter().find(|record| {
            record
                .result
                .as_ref()
                .is_ok_and(|completion| completion.generations.contains(&stream.generation))
        })?;
        let completion = record.result.as_ref().ok()?;
        let mut arrivals = completion.arrivals.iter().map(|(after, _)| record.started_at + *after);
        let next = arrivals.find(|arrival| *arrival > at + IN_FLIGHT_TIME)?;
        Some(next - at)
    }
}

fn compute_measures(outcome: &RunOutcome, fault_free: &RunOutcome) -> Measures {
    let extra = outcome.work_tokens as f64 - fault_free.work_tokens as f64;
    Measures {
        resume_latency_ms: Times::new(outcome.resume_latencies()),
        extra_work_ratio: extra / fault_free.work_tokens as f64,
    }
}

/// Report on a run, relative to the same run without faults.
pub fn report(options: &Options, outcome: &RunOutcome, fault_free: &RunOutcome) -> Report {
    let records = &outcome.evidence.records;
    let measures = compute_measures(outcome, fault_free);
    let lost: u64 = outcome.injected.iter().map(|fault| fault.lost_prefill).sum();
    let completions = records.drafts.iter().filter_map(|record| record.result.as_ref().ok());
    let unknown = |replies: &[Reply]| match replies.last() {
        Some(Reply::Refused(refusal)) => refusal.ran == Ran::Unknown,
        Some(Reply::Broken) => true,
        _ => false,
    };
    let vm_seconds = outcome.duration.as_secs_f64() * ENTRY_VMS as f64;
    Report {
        deployment: options.deployment,
        seed: options.seed,
        violations: checker::check(&outcome.evidence),
        resume_latency_ms: measures.resume_latency_ms,
        resume_floor_ms: Times::new(outcome.floors()).p99,
        extra_work_ratio: measures.extra_work_ratio,
        resume_work_ratio: outcome.resumed_tokens as f64 / fault_free.work_tokens as f64,
        extra_work_floor_ratio: lost as f64 / fault_free.work_tokens as f64,
        baseline: None,
        lookup_ms: Times::new(records.lookups.iter().map(|lookup| lookup.latency)),
        first_token_ms: Times::new(completions.filter_map(|completion| completion.first_token())),
        drafts: records.drafts.len(),
        unfinished: records.drafts.iter().filter(|record| record.result.is_err()).count(),
        refused: outcome.count(Counter::Refused),
        unknown: records.actions.iter().filter(|action| unknown(&action.replies)).count(),
        reattached: outcome.count(Counter::Reattached),
        redispatched: outcome.count(Counter::Redispatched),
        false_suspicions: outcome.count(Counter::FalseSuspicion),
        journal_bytes_per_s: outcome.count(Counter::JournalBytes) as f64 / vm_seconds,
        config_in_force_ms: Times::new(outcome.in_force.iter().copied()),
        control: Control {
            store_calls_per_s: outcome.count(Counter::StoreCall) as f64 / vm_seconds,
            peer_bytes_per_s: outcome.peer_bytes as f64 / vm_seconds,
        },
        duration_s: outcome.duration.as_secs_f64(),
        latencies: outcome.resume_latencies(),
        floors: outcome.floors(),
    }
}

#[derive(Default)]
struct Samples {
    config_samples: Vec<ConfigSample>,
    accepted_configs: Vec<AcceptedConfig>,
    last_unreachable: BTreeMap<String, Instant>,
}

/// Background task that samples the accepted configuration and the numbers in force.
struct Sampler {
    samples: Arc<Mutex<Samples>>,
    task: JoinHandle<()>,
}

impl Sampler {
    fn start(system: &Arc<System>) -> Self {
        let samples = Arc::new(Mutex::new(Samples::default()));
        let task = tokio::spawn(sample(system.clone(), samples.clone()));
        Self { samples, task }
    }

    fn finish(self) -> (Vec<ConfigSample>, Vec<AcceptedConfig>) {
        self.task.abort();
        let samples =
            std::mem::take(&mut *self.samples.lock().unwrap_or_else(PoisonError::into_inner));
        (samples.config_samples, samples.accepted_configs)
    }
}

async fn sample(system: Arc<System>, samples: Arc<Mutex<Samples>>) {
    loop {
        let stored = system.platform.read(ACCEPTED_KEY).await.ok().flatten();
        let number = stored
            .and_then(|stored| serde_json::from_str::<Accepted>(&stored.value).ok())
            .map_or(0, |accepted| accepted.number);
        samples.lock().unwrap_or_else(PoisonError::into_inner).record(&system, number);
        sleep(SAMPLE_PERIOD).await;
    }
}

impl Samples {
    fn record(&mut self, system: &System, number: u64) {
        let now = Instant::now();
        if self.accepted_configs.last().is_none_or(|last| last.number < number) {
            self.accepted_configs.push(AcceptedConfig { number, at: now });
        }
        for entry in (0..ENTRY_VMS).map(entry_name) {
            self.record_entry(system, entry, now);
        }
    }

    fn record_entry(&mut self, system: &System, entry: String, now: Instant) {
        let reaches_all = system.network.is_reachable(&entry, "platform")
            && (0..ENTRY_VMS).all(|peer| system.network.is_reachable(&entry, &entry_name(peer)));
        let Some(router) = system.hub.get(&entry).filter(|_| reaches_all) else {
            self.last_unreachable.insert(entry, now);
            return;
        };
        let unreachable_at = self.last_unreachable.get(&entry);
        let settled = unreachable_at
            .is_none_or(|unreachable_at| now > *unreachable_at + checker::IN_FORCE_LIMIT);
        self.config_samples.push(ConfigSample { entry, at: now, number: router.number(), settled });
    }
}

/// Background task that changes an account's patience every `OPERATOR_PERIOD` and measures the time
/// until the change is in force.
struct Operator {
    times: Arc<Mutex<Vec<Duration>>>,
    task: JoinHandle<()>,
}

impl Operator {
    fn start(system: &Arc<System>) -> Self {
        let times = Arc::new(Mutex::new(Vec::new()));
        let task = tokio::spawn(operate(system.clone(), times.clone()));
        Self { times, task }
    }

    fn finish(self) -> Vec<Duration> {
        self.task.abort();
        std::mem::take(&mut *self.times.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn operate(system: Arc<System>, times: Arc<Mutex<Vec<Duration>>>) {
    for round in 0u64.. {
        sleep(OPERATOR_PERIOD).await;
        let account_object =
            system.objects.iter().rev().find(|object| matches!(object, Object::Account(_)));
        let Some(Object::Account(account)) = account_object.cloned() else {
            return;
        };
        let patience_ms = account.patience_ms + round % 2 + 1;
        let changed = Object::Account(quetzaltiller::objects::Account { patience_ms, ..account });
        let started_at = Instant::now();
        system.apply(&[changed]).await;
        system.wait_in_force().await;
        let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
        times.push(started_at.elapsed());
    }
}
