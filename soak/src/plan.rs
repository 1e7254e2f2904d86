//! What happens when, by a seed.

use rand::seq::IndexedRandom as _;
use rand::{Rng, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::time::Duration;

/// Shortest and longest time that a fault lasts, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..3_500;
/// Mean pause between faults, in milliseconds: several overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..1_400;

/// Mean pause between upstreams that babble, in milliseconds.
const BABBLE_PAUSE_MS: std::ops::Range<u64> = 1_000..9_000;
/// Stream of random numbers for these, so that the other faults of older seeds stay as they are.
const BABBLE_STREAM: u64 = 1;

/// How many of each there are.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Size {
    /// Entry VMs.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Replicas of the plain service.
    pub replicas: usize,
    /// Callers.
    pub callers: usize,
}

/// How the store fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// Turns calls away.
    Busy,
    /// Closes connections.
    Reset,
    /// Answers nothing.
    Silent,
    /// Is late.
    Slow,
    /// Loses the answers of writes.
    Lossy,
    /// Has lost its history.
    Forgetful,
    /// Lets the upstreams' entries expire while it is away.
    Lapsed,
    /// Its process is stopped.
    Stopped,
}

/// A fault. Upstreams are engines and replicas, counted together.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An upstream's process is killed and started again.
    KillUpstream(usize),
    /// All engines of a zone are killed.
    KillZone(usize),
    /// An upstream's process is stopped for a while.
    StopUpstream(usize),
    /// An upstream leaves, and another takes its place.
    LeaveUpstream(usize),
    /// Connections to an upstream are delayed.
    DelayUpstream(usize),
    /// Connections to an upstream pass bytes one way only.
    HalveUpstream(usize),
    /// Open connections to an upstream fall silent; new ones work.
    SilenceUpstream(usize),
    /// Open connections to an upstream are reset.
    ResetUpstream(usize),
    /// Connections to an upstream bring bytes without end in place of answers.
    BabbleUpstream(usize),
    /// An entry VM is killed and started again.
    KillEntry(usize),
    /// All entry VMs are killed and started again.
    KillEntries,
    /// An entry VM's process is stopped for a while.
    StopEntry(usize),
    /// An entry VM is told to end, and started again.
    EndEntry(usize),
    /// An entry VM's settings change, with SIGHUP.
    Settings(usize),
    /// One entry VM does not reach the store.
    CutStore(usize),
    /// The store fails all.
    Store(StoreFault),
    /// A new configuration.
    Configure,
    /// The key that callers used is replaced.
    Revoke,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Event {
    /// From the start of the load.
    pub at: Duration,
    /// How long.
    pub lasts: Duration,
    /// What.
    pub fault: Fault,
}

/// All faults of a run.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Plan {
    /// Seed.
    pub seed: u64,
    /// Sizes.
    pub size: Size,
    /// Faults by time; they overlap.
    pub events: Vec<Event>,
}

impl Plan {
    /// Plan of a seed for a run of `length`.
    pub fn new(seed: u64, size: Size, length: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut events = Vec::new();
        let mut at = Duration::from_millis(random.random_range(PAUSE_MS));
        while at < length {
            let lasts = Duration::from_millis(random.random_range(FAULT_MS));
            events.push(Event { at, lasts, fault: draw(&mut random, size) });
            // Some come in series.
            let pause = if random.random_bool(0.2) { 20..80 } else { PAUSE_MS };
            at += Duration::from_millis(random.random_range(pause));
        }
        events.extend(babble(seed, size, length));
        events.sort_by_key(|event| event.at);
        Self { seed, size, events }
    }
}

fn babble(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(BABBLE_STREAM);
    let mut events = Vec::new();
    let mut at = Duration::from_millis(random.random_range(BABBLE_PAUSE_MS));
    while at < length {
        let lasts = Duration::from_millis(random.random_range(FAULT_MS));
        let upstream = random.random_range(0..size.engines + size.replicas);
        events.push(Event { at, lasts, fault: Fault::BabbleUpstream(upstream) });
        at += Duration::from_millis(random.random_range(BABBLE_PAUSE_MS));
    }
    events
}

fn draw(random: &mut ChaCha8Rng, size: Size) -> Fault {
    let upstream = random.random_range(0..size.engines + size.replicas);
    let entry = random.random_range(0..size.entries);
    let zone = random.random_range(0..crate::deployment::ZONES.len());
    let store = [
        StoreFault::Busy,
        StoreFault::Reset,
        StoreFault::Silent,
        StoreFault::Slow,
        StoreFault::Lossy,
        StoreFault::Forgetful,
        StoreFault::Lapsed,
        StoreFault::Stopped,
    ];
    let faults = [
        Fault::KillUpstream(upstream),
        Fault::KillUpstream(upstream),
        Fault::KillZone(zone),
        Fault::StopUpstream(upstream),
        Fault::LeaveUpstream(upstream),
        Fault::DelayUpstream(upstream),
        Fault::HalveUpstream(upstream),
        Fault::SilenceUpstream(upstream),
        Fault::ResetUpstream(upstream),
        Fault::KillEntry(entry),
        Fault::KillEntries,
        Fault::StopEntry(entry),
        Fault::EndEntry(entry),
        Fault::Settings(entry),
        Fault::CutStore(entry),
        Fault::Store(store.choose(random).copied().unwrap_or(StoreFault::Busy)),
        Fault::Configure,
        Fault::Revoke,
    ];
    faults.choose(random).copied().unwrap_or(Fault::Configure)
}
