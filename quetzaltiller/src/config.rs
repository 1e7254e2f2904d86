//! Settings of the daemons, read from JSON files into plain structs.

use crate::settings::{Faults, Reader};
use std::path::Path;
use std::time::Duration;

/// Settings of `qt-router`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the entry VM.
    pub name: String,
    /// Availability zone of the entry VM.
    pub zone: String,
    /// Address on which callers connect.
    pub caller_address: String,
    /// Address on which peers connect.
    pub peer_address: String,
    /// Address on which operators connect.
    pub operator_address: String,
    /// Address of the platform's object API.
    pub platform_address: String,
    /// Addresses of peers to contact at the start, beside those that the platform lists.
    pub peers: Vec<String>,
    /// Address to which metrics are sent, if any.
    pub metrics_address: Option<String>,
    /// Limits on callers' requests and on memory.
    pub limits: Limits,
    /// Timeouts and periods.
    pub timing: Timing,
}

/// Limits on callers' requests and on memory.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of callers' connections at once.
    pub max_connections: usize,
    /// Maximum size of the answers kept for peers, in bytes.
    pub journal_bytes: usize,
}

/// Timeouts, periods and other durations of a router.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Time for which callers may cache the list of entry VMs.
    pub entry_lifetime: Duration,
    /// Longest wait of a graceful shutdown for open requests before streams are handed over.
    pub drain_deadline: Duration,
    /// Time for which a generation continues without a caller.
    pub orphan_grace: Duration,
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a peer counts as dead.
    pub peer_timeout: Duration,
    /// Longest wait for a keeper to confirm tokens.
    pub journal_timeout: Duration,
    /// Time for which answers are kept for peers.
    pub journal_retention: Duration,
    /// Longest wait for an engine to accept a stream.
    pub open_timeout: Duration,
    /// Lower bound of the silence after which an engine is suspected.
    pub min_silence: Duration,
    /// Upper bound of the silence after which an engine is suspected.
    pub max_silence: Duration,
    /// Interval between load reports.
    pub report: Duration,
    /// Lower bound of the time after which a lookup is hedged.
    pub min_hedge: Duration,
    /// Upper bound of the time after which a lookup is hedged.
    pub max_hedge: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self::read(&mut empty_reader())
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::read(&mut empty_reader())
    }
}

fn empty_reader() -> Reader {
    Reader::parse("{}").expect("an empty object is an object")
}

impl Limits {
    fn read(reader: &mut Reader) -> Self {
        Self {
            max_body_bytes: reader.number("max_body_bytes", 4 << 20, 1_024, 64 << 20) as usize,
            max_connections: reader.number("max_connections", 20_000, 1, 1_000_000) as usize,
            journal_bytes: reader.number("journal_bytes", 64 << 20, 1 << 20, 1 << 32) as usize,
        }
    }
}

impl Timing {
    fn read(reader: &mut Reader) -> Self {
        Self {
            entry_lifetime: reader.millis("entry_lifetime_ms", 5_000, 100, 600_000),
            drain_deadline: reader.millis("drain_deadline_ms", 600_000, 0, 3_600_000),
            orphan_grace: reader.millis("orphan_grace_ms", 10_000, 100, 600_000),
            heartbeat: reader.millis("heartbeat_ms", 200, 20, 10_000),
            peer_timeout: reader.millis("peer_timeout_ms", 1_000, 100, 60_000),
            journal_timeout: reader.millis("journal_timeout_ms", 150, 5, 5_000),
            journal_retention: reader.millis("journal_retention_ms", 60_000, 1_000, 3_600_000),
            open_timeout: reader.millis("open_timeout_ms", 1_000, 10, 4_000),
            min_silence: reader.millis("min_silence_ms", 80, 10, 4_000),
            max_silence: reader.millis("max_silence_ms", 1_000, 10, 4_000),
            report: reader.millis("report_ms", 1_000, 50, 60_000),
            min_hedge: reader.millis("min_hedge_ms", 10, 1, 60_000),
            max_hedge: reader.millis("max_hedge_ms", 250, 1, 3_600_000),
        }
    }
}

impl Config {
    /// Reads and checks a settings file.
    pub fn open(path: &Path) -> Result<Self, Faults> {
        Self::read(Reader::open(path)?)
    }

    /// Settings of an entry VM without addresses, with default limits and timing.
    pub fn new(name: &str, zone: &str) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            caller_address: String::new(),
            peer_address: String::new(),
            operator_address: String::new(),
            platform_address: String::new(),
            peers: Vec::new(),
            metrics_address: None,
            limits: Limits::default(),
            timing: Timing::default(),
        }
    }

    fn read(mut reader: Reader) -> Result<Self, Faults> {
        let config = Self {
            name: reader.text("name"),
            zone: reader.text("zone"),
            caller_address: reader.address("caller_address"),
            peer_address: reader.address("peer_address"),
            operator_address: reader.address("operator_address"),
            platform_address: reader.address("platform_address"),
            peers: reader.addresses("peers"),
            metrics_address: reader.optional_address("metrics_address"),
            limits: reader.section("limits", Limits::read),
            timing: reader.section("timing", Timing::read),
        };
        reader.finish(config)
    }
}

/// Settings of `qt-steward`.
#[derive(Clone, Debug)]
pub struct StewardConfig {
    /// Name of the entry VM.
    pub name: String,
    /// Address on which operators connect.
    pub operator_address: String,
    /// Address of the platform's object API.
    pub platform_address: String,
    /// Address to which metrics are sent, if any.
    pub metrics_address: Option<String>,
}

impl StewardConfig {
    /// Reads and checks a settings file.
    pub fn open(path: &Path) -> Result<Self, Faults> {
        let mut reader = Reader::open(path)?;
        let config = Self {
            name: reader.text("name"),
            operator_address: reader.address("operator_address"),
            platform_address: reader.address("platform_address"),
            metrics_address: reader.optional_address("metrics_address"),
        };
        reader.finish(config)
    }
}
