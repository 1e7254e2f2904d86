//! Counters, sent by statsd and shown in the state dump.

use cadence::{Counted, NopMetricSink, StatsdClient, UdpMetricSink};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicU64, Ordering};

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
    LookupRetried "lookup.retried" "Lookups tried again.",
    LookupSent "lookup.sent" "Lookups sent to a service.",
    PeerCall "peer.call" "Requests sent to peers.",
    Reattached "generation.reattached" "Streams continued on a new connection.",
    Redispatched "generation.redispatched" "Streams continued at another engine.",
    Refused "refused" "Requests refused.",
    StoreCall "store.call" "Calls of the platform.",
    Tokens "generation.tokens" "Tokens emitted to callers.",
}

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
}

impl Metrics {
    /// Sends to `address` by UDP; without one, counts only.
    pub fn new(address: Option<&str>) -> Self {
        let client = address
            .and_then(connect)
            .unwrap_or_else(|| StatsdClient::from_sink(PREFIX, NopMetricSink));
        let values = COUNTERS.iter().map(|_| AtomicU64::new(0)).collect();
        Self { client, values }
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

fn connect(address: &str) -> Option<StatsdClient> {
    let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(address, socket).ok()?;
    Some(StatsdClient::from_sink(PREFIX, sink))
}
