//! Plan of the faults of a run, drawn from a seed.
//!
//! The same seed, sizes and length always give the same plan, so a failed run can be repeated.

use platform_standin::store::Drill;
use rand::seq::IndexedRandom as _;
use rand::{Rng, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::time::Duration;

/// Range of the duration of a fault, in milliseconds.
const FAULT_MS: std::ops::Range<u64> = 300..3_500;
/// Range of the pause between the starts of two faults, in milliseconds; on average shorter than a
/// fault, so that several overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..1_400;

/// Range of the pause between the starts of two babble faults, in milliseconds.
const BABBLE_PAUSE_MS: std::ops::Range<u64> = 1_000..9_000;
/// Random number stream for babble faults, separate so that the other faults of older seeds stay
/// the same.
const BABBLE_STREAM: u64 = 1;

/// Range of the pause between the starts of two drills of the store, in milliseconds.
const DRILL_PAUSE_MS: std::ops::Range<u64> = 1_500..7_000;
/// Range of the time for which a drill keeps the store away, in milliseconds.
const DRILL_AWAY_MS: std::ops::Range<u64> = 0..1_200;
/// Range of the age of the copy from which the store returns, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 200..6_000;
/// Range of the time after which the platform has written again what a drill lost, in milliseconds.
const REWRITE_MS: std::ops::Range<u64> = 100..2_500;
/// Random number stream for drills and the faults beside them.
const DRILL_STREAM: u64 = 2;

/// Range of the pause between the starts of two faults of watches, in milliseconds.
const WATCH_PAUSE_MS: std::ops::Range<u64> = 500..4_000;
/// Range of the time for which a compacting store's watches are deaf, in milliseconds.
const DEAF_MS: std::ops::Range<u64> = 300..1_200;
/// Random number stream for faults of watches.
const WATCH_STREAM: u64 = 3;

/// Number of entry VMs, upstreams and callers in a run.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Size {
    /// Number of entry VMs.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub replicas: usize,
    /// Number of callers.
    pub callers: usize,
}

/// A way in which the store fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreFault {
    /// The store rejects every call.
    Busy,
    /// The store resets connections.
    Reset,
    /// The store accepts calls and never answers.
    Silent,
    /// The store answers late.
    Slow,
    /// The store performs writes and loses some of their answers.
    Lossy,
    /// The store has lost its history of changes.
    Forgetful,
    /// The store rejects every call, and the upstreams' entries expire meanwhile.
    Lapsed,
    /// The store's process is suspended with SIGSTOP.
    Stopped,
}

/// A watch of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Watch {
    /// Watch of the configuration.
    Configuration,
    /// Watch of the upstreams.
    Upstreams,
    /// Watch of the quarantine records.
    Quarantine,
}

/// A fault. Upstream numbers count the engines first, then the replicas.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// An upstream's process is killed and started again after the fault's duration.
    KillUpstream(usize),
    /// All engines of an availability zone are killed and started again.
    KillZone(usize),
    /// An upstream's process is suspended with SIGSTOP for the fault's duration.
    StopUpstream(usize),
    /// An upstream leaves gracefully, and a new one starts at its address.
    LeaveUpstream(usize),
    /// Data on connections to an upstream is delayed.
    DelayUpstream(usize),
    /// Connections to an upstream carry requests but no answers.
    HalveUpstream(usize),
    /// Open connections to an upstream stop carrying data for good; new ones work.
    SilenceUpstream(usize),
    /// Open connections to an upstream are reset.
    ResetUpstream(usize),
    /// Connections to an upstream return an endless run of meaningless bytes in place of answers.
    BabbleUpstream(usize),
    /// An entry VM is killed and started again.
    KillEntry(usize),
    /// All entry VMs are killed, and started again after at most a second.
    KillEntries,
    /// An entry VM's process is suspended with SIGSTOP for the fault's duration.
    StopEntry(usize),
    /// An entry VM is stopped gracefully with SIGTERM and started again.
    EndEntry(usize),
    /// An entry VM's settings file changes and is reloaded with SIGHUP.
    Settings(usize),
    /// One entry VM loses its connection to the store.
    CutStore(usize),
    /// The connections that carry a watch of the store fall silent, at one entry VM or, without its
    /// number, at all.
    SilenceWatch(Watch, Option<usize>),
    /// They are reset, and connections to the store that open during the fault are silent.
    ResetWatch(Watch, Option<usize>),
    /// The store's watches hear of no change for so many milliseconds; then its history is dropped and
    /// they are cut.
    Compact(u64),
    /// The store fails for all of its clients.
    Store(StoreFault),
    /// The store is away for the fault's duration and returns from an older copy.
    Drill(Drill),
    /// A new configuration is written.
    Configure,
    /// A new configuration replaces the account key of the callers.
    Revoke,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Event {
    /// Start of the fault, as time since the start of the load.
    pub at: Duration,
    /// Duration of the fault.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Seed, sizes and faults of a run.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Plan {
    /// Seed that the faults were drawn from.
    pub seed: u64,
    /// Number of processes and callers.
    pub size: Size,
    /// Faults in order of their start; they overlap.
    pub events: Vec<Event>,
}

impl Plan {
    /// Draws the plan of a seed; faults start within `length`.
    pub fn new(seed: u64, size: Size, length: Duration) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut events = Vec::new();
        let mut at = Duration::from_millis(random.random_range(PAUSE_MS));
        while at < length {
            let lasts = Duration::from_millis(random.random_range(FAULT_MS));
            events.push(Event { at, lasts, fault: draw_fault(&mut random, size) });
            // One pause in five is very short, so that some faults come in bursts.
            let pause = if random.random_bool(0.2) { 20..80 } else { PAUSE_MS };
            at += Duration::from_millis(random.random_range(pause));
        }
        events.extend(draw_babble(seed, size, length));
        events.extend(draw_drills(seed, size, length));
        events.extend(draw_watch_faults(seed, size, length));
        events.sort_by_key(|event| event.at);
        Self { seed, size, events }
    }
}

/// Draws the babble faults from their own random number stream.
fn draw_babble(seed: u64, size: Size, length: Duration) -> Vec<Event> {
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

/// Draws drills of the store from their own random number stream. Most have another fault around
/// their end, when the entry VMs first see the copy.
fn draw_drills(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(DRILL_STREAM);
    let mut events = Vec::new();
    let mut at = Duration::from_millis(random.random_range(DRILL_PAUSE_MS));
    while at < length {
        let lasts = Duration::from_millis(random.random_range(DRILL_AWAY_MS));
        let drill = Drill {
            age_ms: random.random_range(COPY_AGE_MS),
            rewrite_ms: random.random_range(REWRITE_MS),
        };
        events.push(Event { at, lasts, fault: Fault::Drill(drill) });
        let (entry, upstream) =
            (random.random_range(0..size.entries), random.random_range(0..size.engines));
        let beside = [
            None,
            Some(Fault::KillEntry(entry)),
            Some(Fault::KillEntries),
            Some(Fault::StopEntry(entry)),
            Some(Fault::CutStore(entry)),
            Some(Fault::Configure),
            Some(Fault::LeaveUpstream(upstream)),
            Some(Fault::KillUpstream(upstream)),
        ];
        let offset = Duration::from_millis(random.random_range(0..1_000));
        let beside_lasts = Duration::from_millis(random.random_range(FAULT_MS));
        if let Some(fault) = beside.choose(&mut random).copied().flatten() {
            events.push(Event { at: at + offset, lasts: beside_lasts, fault });
        }
        at += Duration::from_millis(random.random_range(DRILL_PAUSE_MS));
    }
    events
}

/// Draws the faults of watches from their own random number stream. A change of the configuration
/// follows most of them.
fn draw_watch_faults(seed: u64, size: Size, length: Duration) -> Vec<Event> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(WATCH_STREAM);
    let mut events = Vec::new();
    let mut at = Duration::from_millis(random.random_range(WATCH_PAUSE_MS));
    while at < length {
        let watches = [Watch::Configuration, Watch::Upstreams, Watch::Quarantine];
        let watch = watches[random.random_range(0..watches.len())];
        let entry = random.random_bool(0.5).then(|| random.random_range(0..size.entries));
        let fault = match random.random_range(0..4) {
            0..=1 => Fault::SilenceWatch(watch, entry),
            2 => Fault::ResetWatch(watch, entry),
            _ => Fault::Compact(random.random_range(DEAF_MS)),
        };
        let lasts = Duration::from_millis(random.random_range(100..800));
        events.push(Event { at, lasts, fault });
        if random.random_bool(0.7) {
            let offset = Duration::from_millis(random.random_range(0..3_000));
            events.push(Event { at: at + offset, lasts, fault: Fault::Configure });
        }
        at += Duration::from_millis(random.random_range(WATCH_PAUSE_MS));
    }
    events
}

/// Draws a fault and what it applies to. Each call takes the same draws in the same order,
/// whichever fault is chosen.
fn draw_fault(random: &mut ChaCha8Rng, size: Size) -> Fault {
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
