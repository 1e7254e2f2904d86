//! Counters and latencies of a process.
//!
//! Counters are sent by statsd if an address is set, and are part of the state dump. Counters and
//! latencies are served as text.

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
        /// Kind of event that is counted.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Counter {
            $(#[doc = $doc] $variant,)*
        }

        const COUNTERS: &[(Counter, &str)] = &[$((Counter::$variant, $name),)*];
    };
}

counters! {
    ActionReplayed "action.replayed" "Actions answered from their stored record.",
    ActionSent "action.sent" "Actions sent to a service.",
    ActionUnknown "action.unknown" "Actions whose outcome is unknown.",
    BodyLate "admission.body_late" "Bodies of callers that did not arrive in time.",
    BodyMemoryUsedUp "admission.body_memory_used_up" "Bodies of callers that were refused or dropped as memory was used up.",
    BodyTooLong "admission.body_too_long" "Bodies of callers that are longer than allowed.",
    CallAnswered "call.answered" "Lookups and actions answered by an upstream.",
    ConnectionClosed "admission.connection_closed" "Connections closed as others needed their place.",
    ConnectionRefused "admission.connection_refused" "Connections refused as all serve requests.",
    FalseSuspicion "generation.false_suspicion" "Suspected engines that turned out to be alive.",
    GenerationFailed "generation.failed" "Generations that ended incomplete.",
    GenerationStarted "generation.started" "Generations started on this entry VM.",
    GenerationTakenOver "generation.taken_over" "Generations taken over from another entry VM.",
    GenerationWhole "generation.whole" "Generations completed on this entry VM.",
    JournalBytes "journal.bytes" "Bytes of tokens sent to keepers.",
    JournalDegraded "journal.degraded" "Times a keeper did not answer in time.",
    LookupRetried "lookup.retried" "Retries of lookups.",
    LookupSent "lookup.sent" "Lookups sent to a service.",
    MessageRefused "admission.message_refused" "Messages of peers that are too long, late or found no memory.",
    PeerCall "peer.call" "Requests sent to peers.",
    QuarantineRefused "quarantine.refused" "Requests refused because a part of their prompt crashes engines.",
    Reattached "generation.reattached" "Streams continued on a new connection.",
    Redispatched "generation.redispatched" "Streams continued at another engine.",
    Refused "refused" "Requests refused.",
    RunCopied "generation.copied" "Copies of runs that engines made on order.",
    StoreCall "store.call" "Calls to the platform.",
    StoreLost "store.lost" "Times the store became unreachable.",
    Tokens "generation.tokens" "Tokens emitted to callers.",
    UpstreamLost "upstream.lost" "Upstreams found gone.",
    WatchBehind "store.watch_behind" "Watches given up, as the store had changed and they had not told.",
}

macro_rules! latencies {
    ($($variant:ident $name:literal $doc:literal,)*) => {
        /// Kind of latency that is measured, in milliseconds.
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
    Pause "generation.longest_pause.ms" "Longest time between two consecutive events of a generation.",
    Resume "generation.resume.ms" "From a run's loss to the next event of its generation.",
}

/// Quantiles that are reported of each latency.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];
/// Longest latency that is recorded, in milliseconds; longer ones are recorded as this.
const MAX_LATENCY_MS: u64 = 120_000;
/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 2;

impl Counter {
    /// Name of the counter in metrics and dumps.
    pub fn name(self) -> &'static str {
        COUNTERS[self as usize].1
    }
}

/// Counters and latencies of a process.
pub struct Metrics {
    client: StatsdClient,
    values: Vec<AtomicU64>,
    latencies: Vec<Mutex<Histogram<u64>>>,
}

impl Metrics {
    /// Creates metrics whose counters are also sent by UDP to `address`, if there is one.
    pub fn new(address: Option<&str>) -> Self {
        let client = address
            .and_then(connect)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        let values = COUNTERS.iter().map(|_| AtomicU64::new(0)).collect();
        let latencies = LATENCIES.iter().map(|_| Mutex::new(histogram())).collect();
        Self { client, values, latencies }
    }

    /// Records a measured time under a latency.
    pub fn record(&self, latency: Latency, took: Duration) {
        let took_ms = (took.as_millis() as u64).clamp(1, MAX_LATENCY_MS);
        let histogram = &self.latencies[latency as usize];
        histogram.lock().unwrap_or_else(PoisonError::into_inner).saturating_record(took_ms);
    }

    /// Text with one line for each counter and each quantile, count and maximum of a latency.
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

    /// Adds `amount` to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.values[counter as usize].fetch_add(amount, Ordering::Relaxed);
        let _ = self.client.count(counter.name(), amount);
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Value of a counter since the process started.
    pub fn value(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Values of all counters now.
    pub fn snapshot(&self) -> Snapshot {
        let value = |&(counter, name): &(Counter, &'static str)| (name, self.value(counter));
        Snapshot { counters: COUNTERS.iter().map(value).collect() }
    }
}

/// Values of all counters at one time.
#[derive(Debug, Serialize)]
#[serde(transparent)]
pub struct Snapshot {
    counters: BTreeMap<&'static str, u64>,
}

impl Snapshot {
    /// Names and values of the counters.
    pub fn counters(&self) -> impl Iterator<Item = (&'static str, u64)> {
        self.counters.iter().map(|(name, value)| (*name, *value))
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS).expect("constant bounds are sound")
}

fn connect(address: &str) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(address, socket).ok()?;
    Some(StatsdClient::from_sink(PREFIX, sink))
}
