//! Settings of the daemons: plain structs that the command line fills and the rest borrows.

use crate::settings::{Faults, Reader};
use std::path::Path;
use std::time::Duration;

/// Settings of `qt-router`.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the entry VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Where callers connect.
    pub caller_address: String,
    /// Where peers connect.
    pub peer_address: String,
    /// Where operators connect.
    pub operator_address: String,
    /// Platform's object API.
    pub platform_address: String,
    /// Peers to ask at start, beside those that the platform lists.
    pub peers: Vec<String>,
    /// Where metrics go.
    pub metrics_address: Option<String>,
    /// Bounds on what callers may ask.
    pub limits: Limits,
    /// Times.
    pub timing: Timing,
}

/// Bounds on what callers may ask.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Most connections of callers at once.
    pub max_connections: usize,
    /// Memory for answers kept for peers.
    pub journal_bytes: usize,
}

/// Times that a router keeps.
#[derive(Clone, Debug)]
pub struct Timing {
    /// How long callers may keep the list of entry VMs.
    pub entry_lifetime: Duration,
    /// Longest graceful shutdown before streams are handed over.
    pub drain_deadline: Duration,
    /// How long a generation goes on without a caller.
    pub orphan_grace: Duration,
    /// Pause between heartbeats.
    pub heartbeat: Duration,
    /// Silence after which a peer counts as dead.
    pub peer_timeout: Duration,
    /// Time for a keeper to confirm tokens.
    pub journal_timeout: Duration,
    /// How long answers are kept for peers.
    pub journal_retention: Duration,
    /// Time for an engine to accept a stream.
    pub open_timeout: Duration,
    /// Shortest silence of an engine that is acted on.
    pub min_silence: Duration,
    /// Longest silence of an engine that is not acted on.
    pub max_silence: Duration,
    /// Pause between load reports.
    pub report: Duration,
    /// Shortest time after which a lookup is hedged.
    pub min_hedge: Duration,
    /// Longest time after which a lookup is hedged.
    pub max_hedge: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self::read(&mut empty())
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::read(&mut empty())
    }
}

fn empty() -> Reader {
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

    /// Settings of an entry VM with the defaults for the rest.
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
pub struct Steward {
    /// Name of the entry VM.
    pub name: String,
    /// Where operators connect.
    pub operator_address: String,
    /// Platform's object API.
    pub platform_address: String,
    /// Where metrics go.
    pub metrics_address: Option<String>,
}

impl Steward {
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
