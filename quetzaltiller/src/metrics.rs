//! Counters and latencies: sent by statsd where an address is set, shown in the state dump, and served
//! as text.

use cadence::{Counted, NopMetricSink, StatsdClient, UdpMetricSink};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

const PREFIX: &str = "quetzaltiller";

macro_rules! counters {
    ($($variant:ident $name:literal $doc:literal,)*) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Counter {
            $(#[doc = $doc] $variant,)*
        }

        const COUNTERS: &[(Counter, &str)] = &[$((Counter::$variant, $name),)*];
    };
}

counters! {
    ActionReplayed "action.replayed" "Actions answered from their record.",
    ActionSent "action.sent" "Actions sent to a service.",
    ActionUnknown "action.unknown" "Actions whose outcome is unknown.",
    FalseSuspicion "generation.false_suspicion" "Suspicions that the engine disproved.",
    GenerationFailed "generation.failed" "Generations that ended unfinished.",
    GenerationStarted "generation.started" "Generations begun here.",
    GenerationTakenOver "generation.taken_over" "Generations taken over from another entry VM.",
    GenerationWhole "generation.whole" "Generations that became whole here.",
    JournalBytes "journal.bytes" "Bytes of tokens sent to keepers.",
    JournalDegraded "journal.degraded" "Times a keeper did not answer in time.",
    CallAnswered "call.answered" "Lookups and actions answered by an upstream.",
    LookupRetried "lookup.retried" "Lookups tried again.",
    LookupSent "lookup.sent" "Lookups sent to a service.",
    PeerCall "peer.call" "Requests sent to peers.",
    Reattached "generation.reattached" "Streams continued on a new connection.",
    Redispatched "generation.redispatched" "Streams continued at another engine.",
    Refused "refused" "Requests refused.",
    RunCopied "generation.copied" "Copies of runs made on order.",
    StoreCall "store.call" "Calls of the platform.",
    StoreLost "store.lost" "Times the store was lost.",
    Tokens "generation.tokens" "Tokens emitted to callers.",
    UpstreamLost "upstream.lost" "Upstreams found gone.",
}

macro_rules! latencies {
    ($($variant:ident $name:literal $doc:literal,)*) => {
        /// Time that is measured, in milliseconds.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Latency {
            $(#[doc = $doc] $variant,)*
        }

        const LATENCIES: &[(Latency, &str)] = &[$((Latency::$variant, $name),)*];
    };
}

latencies! {
    Call "call.ms" "From a lookup or an action to its answer.",
    FirstEvent "generation.first_event.ms" "From a generation's request to its first event.",
    Pause "generation.longest_pause.ms" "Longest time between two events of a generation.",
    Resume "generation.resume.ms" "From a run's loss to the next event of its generation.",
}

/// Quantiles that are shown of each latency.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];
/// Longest time that is told apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 120_000;
/// Significant digits of a latency.
const DIGITS: u8 = 2;

impl Counter {
    /// Name in metrics and dumps.
    pub fn name(self) -> &'static str {
        COUNTERS[self as usize].1
    }
}

/// Counts and sends them.
pub struct Metrics {
    client: StatsdClient,
    values: Vec<AtomicU64>,
    latencies: Vec<Mutex<Histogram<u64>>>,
}

impl Metrics {
    /// Sends to `address` by UDP; without one, counts only.
    pub fn new(address: Option<&str>) -> Self {
        let client = address
            .and_then(connect)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        let values = COUNTERS.iter().map(|_| AtomicU64::new(0)).collect();
        let latencies = LATENCIES.iter().map(|_| Mutex::new(histogram())).collect();
        Self { client, values, latencies }
    }

    /// Records a time.
    pub fn record(&self, latency: Latency, took: Duration) {
        let took_ms = (took.as_millis() as u64).clamp(1, MAX_LATENCY_MS);
        let histogram = &self.latencies[latency as usize];
        histogram.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(took_ms);
    }

    /// Counters and quantiles of latencies, a line each.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (counter, name) in COUNTERS {
            let name = name.replace('.', "_");
            let _ = writeln!(text, "{PREFIX}_{name} {}", self.value(*counter));
        }
        for (latency, name) in LATENCIES {
            let name = name.replace('.', "_");
            let histogram = self.latencies[*latency as usize].lock();
            let histogram = histogram.unwrap_or_else(PoisonError::into_inner);
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{PREFIX}_{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "{PREFIX}_{name}_count {}", histogram.len());
            let _ = writeln!(text, "{PREFIX}_{name}_max {}", histogram.max());
        }
        text
    }

    /// Adds `amount`.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.values[counter as usize].fetch_add(amount, Ordering::Relaxed);
        let _ = self.client.count(counter.name(), amount);
    }

    /// Adds one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Value since the start.
    pub fn value(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// All values.
    pub fn snapshot(&self) -> Snapshot {
        let value = |&(counter, name): &(Counter, &'static str)| (name, self.value(counter));
        Snapshot { counters: COUNTERS.iter().map(value).collect() }
    }
}

/// Values at one time.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct Snapshot {
    counters: BTreeMap<&'static str, u64>,
}

impl Snapshot {
    /// Values by name.
    pub fn counters(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.counters.iter().map(|(name, value)| (*name, *value))
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MS, DIGITS).expect("constant bounds are sound")
}

fn connect(address: &str) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(address, socket).ok()?;
    Some(StatsdClient::from_sink(PREFIX, sink))
}
