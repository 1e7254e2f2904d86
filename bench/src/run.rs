//! One run with faults, the same without, and the baselines.

use crate::baseline::{self, Strategy};
use crate::checker::{self, Accepted, Evidence, Left, Observed, Taken};
use crate::deployment::Deployment;
use crate::faults::{self, Hit, Injected, Kind, Planned};
use crate::load::{self, Plan, Records};
use crate::report::{Baseline, Control, Measures, Report, Times};
use crate::system::{ENTRY_VMS, System, Tuning, entry_name};
use quetzaltiller::caller::Reply;
use quetzaltiller::metrics::Counter;
use quetzaltiller::objects::{Accepted as AcceptedSet, Object};
use quetzaltiller::platform::{ACCEPTED_KEY, Store as _};
use quetzaltiller::refusal::Ran;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

const SAMPLE_PERIOD: Duration = Duration::from_millis(100);
const OPERATOR_PERIOD: Duration = Duration::from_secs(4);
const DRAIN_DEADLINE: Duration = Duration::from_secs(15);
/// Tokens that were on their way when a fault struck arrive within this time.
const IN_FLIGHT: Duration = Duration::from_millis(5);

/// What to run.
#[derive(Clone)]
pub struct Options {
    /// Deployment.
    pub deployment: Deployment,
    /// Seed of the load, the faults and the system.
    pub seed: u64,
    /// Load.
    pub plan: Plan,
    /// Faults, one of each.
    pub kinds: Vec<Kind>,
    /// Also run the baselines.
    pub baselines: bool,
    /// Adjusts the system.
    pub tuning: Tuning,
    /// Told what is run next.
    pub progress: fn(&str),
}

impl Options {
    /// A run with faults of these kinds.
    pub fn new(deployment: Deployment, seed: u64, kinds: &[Kind]) -> Self {
        Self {
            deployment,
            seed,
            plan: Plan::default(),
            kinds: kinds.to_vec(),
            baselines: false,
            tuning: Tuning::default(),
            progress: |_| {},
        }
    }
}

/// Runs on virtual time and reports; logs are off.
pub fn run(options: &Options) -> Report {
    quetzaltiller::logs::stop();
    let faults = faults::plan(&options.kinds, options.plan.duration, options.seed);
    (options.progress)("without faults");
    let quiet = on_virtual_time(observe(options, Vec::new(), None));
    (options.progress)("with faults");
    let seen = on_virtual_time(observe(options, faults.clone(), None));
    let mut report = report(options, &seen, &quiet);
    if options.baselines {
        let measure = |strategy| {
            (options.progress)(&format!("baseline {strategy:?}"));
            let quiet = on_virtual_time(observe(options, Vec::new(), Some(strategy)));
            let seen = on_virtual_time(observe(options, faults.clone(), Some(strategy)));
            measures(&seen, &quiet)
        };
        report.baseline = Some(Baseline {
            start_over: measure(Strategy::StartOver),
            resume_without_reattach: measure(Strategy::Resume),
        });
    }
    report
}

/// Drives a future on a paused clock and one thread, which makes it repeatable.
pub fn on_virtual_time<T>(future: impl Future<Output = T>) -> T {
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build();
    runtime.expect("a runtime without I/O needs nothing").block_on(future)
}

/// What one run brought.
pub struct Seen {
    /// For the checker.
    pub evidence: Evidence,
    /// Faults injected.
    pub injected: Vec<Injected>,
    /// Engine tokens prefilled and decoded.
    pub work_tokens: u64,
    /// Of these, prefilled to resume.
    pub resumed_tokens: u64,
    /// Counters of the routers.
    pub counters: BTreeMap<&'static str, u64>,
    /// Bytes between entry VMs.
    pub peer_bytes: u64,
    /// Times from an operator's write to in force everywhere.
    pub in_force: Vec<Duration>,
    /// Time that the run took.
    pub duration: Duration,
}

/// Builds a system, offers load and faults, and gathers what was seen.
pub async fn observe(options: &Options, planned: Vec<Planned>, without: Option<Strategy>) -> Seen {
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
    let injecting = tokio::spawn(faults::inject(system.clone(), planned, options.seed));
    let records = match without {
        None => load::offer(&system, &options.plan, options.seed).await,
        Some(strategy) => baseline::offer(&system, &options.plan, options.seed, strategy).await,
    };
    let injected = injecting.await.expect("the faults are injected");
    let seen = gather(&system, records, injected, sampler, operator, start.elapsed());
    system.stop();
    seen
}

fn gather(
    system: &System,
    records: Records,
    injected: Vec<Injected>,
    sampler: Sampler,
    operator: Operator,
    duration: Duration,
) -> Seen {
    let work = system.work();
    let (observed, accepted) = sampler.finish();
    let taken = system.engines.iter().flat_map(|(address, engine)| {
        let taken = engine.submitted().into_iter();
        taken.map(|submitted| Taken { address: address.clone(), submitted })
    });
    let left = |kind| {
        let of_kind = injected.iter().filter(move |fault| fault.kind == kind);
        of_kind.filter_map(|fault| Some(Left { party: fault.left.clone()?, at: fault.at }))
    };
    let only_left = injected.iter().all(|fault| {
        !matches!(fault.kind, Kind::RouterKilled | Kind::RouterPaused | Kind::ZoneLost)
    });
    let evidence = Evidence {
        records,
        runs: system.service.runs(),
        taken: taken.collect(),
        upstreams_left: left(Kind::EngineLeaves).collect(),
        entries_left: left(Kind::RouterLeaves).filter(|_| only_left).collect(),
        cuts: system.hub.cuts(),
        observed,
        accepted,
    };
    let counters = COUNTED.iter().map(|counter| (counter.name(), system.count(*counter)));
    Seen {
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

/// Counters that a report uses.
pub const COUNTED: [Counter; 6] = [
    Counter::Reattached,
    Counter::Redispatched,
    Counter::FalseSuspicion,
    Counter::JournalBytes,
    Counter::StoreCall,
    Counter::Refused,
];

impl Seen {
    fn count(&self, counter: Counter) -> u64 {
        self.counters.get(counter.name()).copied().unwrap_or_default()
    }

    /// Waits of the streams that faults hit.
    pub fn resume_latencies(&self) -> Vec<Duration> {
        let hits = self
            .injected
            .iter()
            .flat_map(|fault| fault.hits.iter().map(move |hit| (fault.at, hit)));
        hits.filter_map(|(at, hit)| self.resume_latency(at, hit)).collect()
    }

    fn floors(&self) -> Vec<Duration> {
        self.injected.iter().flat_map(|fault| &fault.hits).map(|hit| hit.floor).collect()
    }

    fn resume_latency(&self, at: Instant, hit: &Hit) -> Option<Duration> {
        let record = self.evidence.records.drafts.iter().find(|record| {
            record.result.as_ref().is_ok_and(|whole| whole.generations.contains(&hit.generation))
        })?;
        let whole = record.result.as_ref().ok()?;
        let mut arrivals = whole.arrivals.iter().map(|(after, _)| record.began + *after);
        let next = arrivals.find(|arrival| *arrival > at + IN_FLIGHT)?;
        Some(next - at)
    }
}

fn measures(seen: &Seen, quiet: &Seen) -> Measures {
    let extra = seen.work_tokens as f64 - quiet.work_tokens as f64;
    Measures {
        resume_latency_ms: Times::new(seen.resume_latencies()),
        extra_work_ratio: extra / quiet.work_tokens as f64,
    }
}

/// Figures of a run beside the same one without faults.
pub fn report(options: &Options, seen: &Seen, quiet: &Seen) -> Report {
    let records = &seen.evidence.records;
    let measures = measures(seen, quiet);
    let lost: u64 = seen.injected.iter().map(|fault| fault.lost_prefill).sum();
    let wholes = records.drafts.iter().filter_map(|record| record.result.as_ref().ok());
    let unknown = |replies: &[Reply]| match replies.last() {
        Some(Reply::Refused(refusal)) => refusal.ran == Ran::Unknown,
        Some(Reply::Broken) => true,
        _ => false,
    };
    let vm_seconds = seen.duration.as_secs_f64() * ENTRY_VMS as f64;
    Report {
        deployment: options.deployment,
        seed: options.seed,
        violations: checker::check(&seen.evidence),
        resume_latency_ms: measures.resume_latency_ms,
        resume_floor_ms: Times::new(seen.floors()).p99,
        extra_work_ratio: measures.extra_work_ratio,
        resume_work_ratio: seen.resumed_tokens as f64 / quiet.work_tokens as f64,
        extra_work_floor_ratio: lost as f64 / quiet.work_tokens as f64,
        baseline: None,
        lookup_ms: Times::new(records.lookups.iter().map(|lookup| lookup.took)),
        first_token_ms: Times::new(wholes.filter_map(|whole| whole.first_token())),
        drafts: records.drafts.len(),
        unfinished: records.drafts.iter().filter(|record| record.result.is_err()).count(),
        refused: seen.count(Counter::Refused),
        unknown: records.actions.iter().filter(|action| unknown(&action.replies)).count(),
        reattached: seen.count(Counter::Reattached),
        redispatched: seen.count(Counter::Redispatched),
        false_suspicions: seen.count(Counter::FalseSuspicion),
        journal_bytes_per_s: seen.count(Counter::JournalBytes) as f64 / vm_seconds,
        config_in_force_ms: Times::new(seen.in_force.iter().copied()),
        control: Control {
            store_calls_per_s: seen.count(Counter::StoreCall) as f64 / vm_seconds,
            peer_bytes_per_s: seen.peer_bytes as f64 / vm_seconds,
        },
        duration_s: seen.duration.as_secs_f64(),
        latencies: seen.resume_latencies(),
        floors: seen.floors(),
    }
}

#[derive(Default)]
struct Samples {
    observed: Vec<Observed>,
    accepted: Vec<Accepted>,
    unsettled: BTreeMap<String, Instant>,
}

/// Looks at the numbers in force.
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

    fn finish(self) -> (Vec<Observed>, Vec<Accepted>) {
        self.task.abort();
        let samples =
            std::mem::take(&mut *self.samples.lock().unwrap_or_else(PoisonError::into_inner));
        (samples.observed, samples.accepted)
    }
}

async fn sample(system: Arc<System>, samples: Arc<Mutex<Samples>>) {
    loop {
        let stored = system.platform.read(ACCEPTED_KEY).await.ok().flatten();
        let number = stored
            .and_then(|stored| serde_json::from_str::<AcceptedSet>(&stored.value).ok())
            .map_or(0, |accepted| accepted.number);
        samples.lock().unwrap_or_else(PoisonError::into_inner).take(&system, number);
        sleep(SAMPLE_PERIOD).await;
    }
}

impl Samples {
    fn take(&mut self, system: &System, number: u64) {
        let now = Instant::now();
        if self.accepted.last().is_none_or(|last| last.number < number) {
            self.accepted.push(Accepted { number, at: now });
        }
        for entry in (0..ENTRY_VMS).map(entry_name) {
            self.observe(system, entry, now);
        }
    }

    fn observe(&mut self, system: &System, entry: String, now: Instant) {
        let reaches_all = system.network.is_reachable(&entry, "platform")
            && (0..ENTRY_VMS).all(|peer| system.network.is_reachable(&entry, &entry_name(peer)));
        let Some(router) = system.hub.get(&entry).filter(|_| reaches_all) else {
            self.unsettled.insert(entry, now);
            return;
        };
        let since = self.unsettled.get(&entry);
        let settled = since.is_none_or(|since| now > *since + checker::IN_FORCE_LIMIT);
        self.observed.push(Observed { entry, at: now, number: router.number(), settled });
    }
}

/// Changes a label now and then and measures when it is in force.
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
        let touched =
            system.objects.iter().rev().find(|object| matches!(object, Object::Account(_)));
        let Some(Object::Account(account)) = touched.cloned() else {
            return;
        };
        let patience_ms = account.patience_ms + round % 2 + 1;
        let changed = Object::Account(quetzaltiller::objects::Account { patience_ms, ..account });
        let began = Instant::now();
        system.apply(&[changed]).await;
        system.wait_in_force().await;
        let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
        times.push(began.elapsed());
    }
}
