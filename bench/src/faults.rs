//! Seeded faults: when they are injected, which party and which streams they affect, and the
//! shortest possible wait of each affected stream.

use crate::system::{ENTRY_VMS, Location, System, entry_name};
use quetzaltiller::objects::Object;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use serde::Serialize;
use standin::engine::{Engine, Running};
use standin::network::Network;
use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time until a killed party is available again.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(8);
/// Range of the length of a pause.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(6));
/// Duration of a platform outage, and of the loss of its answers.
const STORE_FAULT_DURATION: Duration = Duration::from_secs(5);
/// Duration of a network partition.
const PARTITION_DURATION: Duration = Duration::from_secs(4);
/// Probability that the platform loses the answer to a write.
const ANSWER_LOSS_PROBABILITY: f64 = 0.5;

/// Kind of fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An engine process is killed; an empty one replaces it after a delay.
    EngineKilled,
    /// An engine process restarts at once and loses its streams and its cache.
    EngineRestarted,
    /// An engine process is paused for a random time.
    EnginePaused,
    /// The open connections of an engine stay open but carry no more data.
    SilentConnection,
    /// An entry VM's process is killed; it is replaced after a delay.
    RouterKilled,
    /// An entry VM's process is paused for a random time.
    RouterPaused,
    /// All VMs of an availability zone are killed; they are replaced after a delay.
    ZoneLost,
    /// An entry VM is cut off from one engine and one other entry VM for a limited time.
    Partition,
    /// The platform is unavailable for a limited time.
    StoreDown,
    /// The platform loses answers to writes for a limited time.
    StoreAnswerLost,
    /// An entry VM drains and shuts down; it is replaced after a delay.
    RouterLeaves,
    /// An engine is marked as leaving in the configuration.
    EngineLeaves,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 12] = [
        Self::EngineKilled,
        Self::EngineRestarted,
        Self::EnginePaused,
        Self::SilentConnection,
        Self::RouterKilled,
        Self::RouterPaused,
        Self::ZoneLost,
        Self::Partition,
        Self::StoreDown,
        Self::StoreAnswerLost,
        Self::RouterLeaves,
        Self::EngineLeaves,
    ];

    fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let names: Vec<_> = Self::ALL.iter().map(|kind| kind.name()).collect();
        let found = Self::ALL.into_iter().find(|kind| kind.name() == text);
        found.ok_or_else(|| format!("allowed: {}", names.join(", ")))
    }
}

/// A fault and the time at which to inject it.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Time of injection, after the start of the load.
    pub at: Duration,
    /// Kind of fault.
    pub kind: Kind,
}

/// A stream that a fault interrupted.
#[derive(Clone, Debug)]
pub struct AffectedStream {
    /// Id of the generation.
    pub generation: String,
    /// Shortest possible wait until the next token.
    pub floor: Duration,
}

/// A fault that was injected, and its effects.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// Kind of fault.
    pub kind: Kind,
    /// Time of injection.
    pub at: Instant,
    /// Streams that lost their engine, their connection or their entry VM.
    pub affected: Vec<AffectedStream>,
    /// Prefill that has to be repeated because no living engine has it cached, in tokens.
    pub lost_prefill: u64,
    /// Party that left gracefully, if any.
    pub departed: Option<String>,
}

impl InjectedFault {
    /// A fault that is injected now, without effects so far.
    pub fn new(kind: Kind) -> Self {
        Self { kind, at: Instant::now(), affected: Vec::new(), lost_prefill: 0, departed: None }
    }
}

/// Plans one fault of each entry of `kinds`, at random times between 20 % and 90 % of the load.
pub fn plan(kinds: &[Kind], load: Duration, seed: u64) -> Vec<PlannedFault> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed + 2);
    let (first, last) = (load.mul_f64(0.2), load.mul_f64(0.9));
    let mut at = || rng.random_range(first..last);
    kinds.iter().map(|kind| PlannedFault { at: at(), kind: *kind }).collect()
}

/// Two different kinds, chosen by seed.
pub fn pair(seed: u64) -> Vec<Kind> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed + 3);
    Kind::ALL.choose_multiple(&mut rng, 2).copied().collect()
}

/// Injects the planned faults at their times and returns them with their effects.
pub async fn inject(
    system: Arc<System>,
    planned: Vec<PlannedFault>,
    seed: u64,
) -> Vec<InjectedFault> {
    let start = Instant::now();
    let mut rng = ChaCha12Rng::seed_from_u64(seed + 4);
    let mut planned = planned;
    planned.sort_by_key(|fault| fault.at);
    let mut injected = Vec::new();
    for fault in planned {
        sleep_until(start + fault.at).await;
        let injector = Injector { system: &system, rng: &mut rng };
        injected.push(injector.inject(fault.kind).await);
    }
    injected
}

/// Injects single faults and records their effects.
struct Injector<'a> {
    system: &'a Arc<System>,
    rng: &'a mut ChaCha12Rng,
}

impl Injector<'_> {
    async fn inject(mut self, kind: Kind) -> InjectedFault {
        let mut injected = InjectedFault::new(kind);
        match kind {
            Kind::EngineKilled => {
                let location = self.busy_engine();
                self.kill_engines(&[location.address], &mut injected);
            }
            Kind::EngineRestarted => {
                let location = self.busy_engine();
                self.record_loss(std::slice::from_ref(&location.address), &mut injected);
                self.system.engines[&location.address].restart();
            }
            Kind::EnginePaused => {
                let location = self.busy_engine();
                let pause = self.rng.random_range(PAUSE_RANGE.0..PAUSE_RANGE.1);
                self.record_pause(&location.address, pause, &mut injected);
                self.freeze_engine(location.address, pause);
            }
            Kind::SilentConnection => {
                let location = self.busy_engine();
                self.record_silence(&location.address, &mut injected);
                self.system.engines[&location.address].silence_connections();
            }
            Kind::RouterKilled => {
                let name = self.random_entry();
                self.kill_router(&name, &mut injected).await;
            }
            Kind::RouterPaused => {
                let name = self.random_entry();
                let pause = self.rng.random_range(PAUSE_RANGE.0..PAUSE_RANGE.1);
                let floor = pause.min(KEEP_ALIVE_PERIOD + ROUND_TRIP * 2) + DECODE_STEP;
                self.record_served(&name, floor, &mut injected).await;
                self.freeze_router(name, pause);
            }
            Kind::ZoneLost => self.lose_zone(&mut injected).await,
            Kind::Partition => self.partition(),
            Kind::StoreDown => self.store_outage(),
            Kind::StoreAnswerLost => self.lose_store_answers(),
            Kind::RouterLeaves => injected.departed = Some(self.drain_entry()),
            Kind::EngineLeaves => injected.departed = Some(self.mark_engine_leaving().await),
        }
        injected
    }

    /// The living engine with the most streams, so that the fault interrupts some.
    fn busy_engine(&mut self) -> Location {
        let alive = |location: &&Location| !self.system.network.is_dead(&location.address);
        let alive_engines = self.system.engine_locations.iter().filter(alive);
        let busiest =
            alive_engines.max_by_key(|location| self.system.engines[&location.address].running());
        busiest.cloned().unwrap_or_else(|| self.system.engine_locations[0].clone())
    }

    fn random_entry(&mut self) -> String {
        entry_name(self.rng.random_range(0..ENTRY_VMS))
    }

    fn kill_engines(&mut self, addresses: &[String], injected: &mut InjectedFault) {
        self.record_loss(addresses, injected);
        for address in addresses {
            if let Some(engine) = self.system.engines.get(address) {
                engine.kill();
            } else {
                self.system.network.set_dead(address, true);
            }
        }
        let (system, addresses) = (self.system.clone(), addresses.to_vec());
        tokio::spawn(async move {
            sleep(REPLACEMENT_DELAY).await;
            addresses.iter().for_each(|address| system.network.set_dead(address, false));
        });
    }

    async fn kill_router(&mut self, name: &str, injected: &mut InjectedFault) {
        self.record_served(name, ROUND_TRIP * 2 + DECODE_STEP, injected).await;
        self.system.kill_router(name);
        let (system, name) = (self.system.clone(), name.to_owned());
        tokio::spawn(async move {
            sleep(REPLACEMENT_DELAY).await;
            system.start_router(&name);
        });
    }

    async fn lose_zone(&mut self, injected: &mut InjectedFault) {
        let zone = ["zone-a", "zone-b", "zone-c"][self.rng.random_range(0..3)];
        let addresses = self.system.upstreams_in_zone(zone);
        self.kill_engines(&addresses, injected);
        for name in self.system.entries_in_zone(zone) {
            self.kill_router(&name, injected).await;
        }
    }

    fn freeze_engine(&self, party: String, pause: Duration) {
        let network = self.system.network.clone();
        network.set_frozen(&party, true);
        tokio::spawn(async move {
            sleep(pause).await;
            network.set_frozen(&party, false);
        });
    }

    fn freeze_router(&self, name: String, pause: Duration) {
        let system = self.system.clone();
        system.freeze_router(&name, true);
        tokio::spawn(async move {
            sleep(pause).await;
            system.freeze_router(&name, false);
        });
    }

    fn partition(&mut self) {
        let name = self.random_entry();
        let other = entry_name((self.rng.random_range(1..ENTRY_VMS) + 1) % ENTRY_VMS);
        let engine = self.busy_engine().address;
        let network = self.system.network.clone();
        network.set_partitioned(&name, &other, true);
        network.set_partitioned(&name, &engine, true);
        tokio::spawn(async move {
            sleep(PARTITION_DURATION).await;
            network.set_partitioned(&name, &other, false);
            network.set_partitioned(&name, &engine, false);
        });
    }

    fn store_outage(&self) {
        let platform = self.system.platform.clone();
        platform.set_faults(|faults| faults.outage = true);
        tokio::spawn(async move {
            sleep(STORE_FAULT_DURATION).await;
            platform.set_faults(|faults| faults.outage = false);
        });
    }

    fn lose_store_answers(&self) {
        let platform = self.system.platform.clone();
        platform.set_faults(|faults| faults.answer_lost = ANSWER_LOSS_PROBABILITY);
        tokio::spawn(async move {
            sleep(STORE_FAULT_DURATION).await;
            platform.set_faults(|faults| faults.answer_lost = 0.0);
        });
    }

    fn drain_entry(&mut self) -> String {
        let name = self.random_entry();
        let system = self.system.clone();
        let leaving = name.clone();
        tokio::spawn(async move {
            let Some(router) = system.hub.get(&leaving) else {
                return;
            };
            router.drain().await;
            system.retire(&leaving);
            sleep(REPLACEMENT_DELAY).await;
            system.start_router(&leaving);
        });
        name
    }

    async fn mark_engine_leaving(&mut self) -> String {
        let location = self.busy_engine();
        let mut objects = self.system.objects.clone();
        for object in &mut objects {
            if let Object::Upstream(upstream) = object {
                upstream.leaving = upstream.name == location.name;
            }
        }
        self.system.apply(&objects).await;
        location.address
    }

    fn record_loss(&self, addresses: &[String], injected: &mut InjectedFault) {
        record_loss(&self.system.engines, &self.system.network, addresses, injected);
    }

    /// Records the streams of an engine that pauses. Their wait is at least the shorter of the
    /// pause and of the move to another engine after the silence is detected.
    fn record_pause(&self, address: &String, pause: Duration, injected: &mut InjectedFault) {
        let mut lost = InjectedFault::new(injected.kind);
        self.record_loss(std::slice::from_ref(address), &mut lost);
        injected.affected.extend(lost.affected.into_iter().map(|stream| {
            let replaced = SILENCE_FLOOR + stream.floor;
            AffectedStream { floor: replaced.min(pause + DECODE_STEP), ..stream }
        }));
    }

    fn record_silence(&self, address: &str, injected: &mut InjectedFault) {
        injected.affected.extend(silenced_streams(&self.system.engines[address]));
    }

    async fn record_served(&self, name: &str, floor: Duration, injected: &mut InjectedFault) {
        let Some(router) = self.system.hub.get(name) else {
            return;
        };
        let generations = router.dump().await.generations;
        let affected = |generation| AffectedStream { generation, floor };
        injected.affected.extend(generations.into_keys().map(affected));
    }
}

/// Interval of keep-alives to callers. A paused entry VM looks like an idle stream until one is
/// missed.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(250);
/// Time of one decode step of an engine.
const DECODE_STEP: Duration = Duration::from_millis(23);
/// Network round trip.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Prefill rate of an engine.
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Shortest wait after an engine falls silent: a gap of two steps is the first indication, then
/// follow a reattachment and a step.
const SILENCE_FLOOR: Duration = Duration::from_millis(2 * 23 + 2 * 2 + 23);

/// Records the streams of engines that lose all their state. The shortest wait of a stream includes
/// the prefill that no living engine has cached.
pub fn record_loss(
    engines: &BTreeMap<String, Engine>,
    network: &Network,
    lost: &[String],
    injected: &mut InjectedFault,
) {
    for engine in lost.iter().filter_map(|name| engines.get(name)) {
        for stream in engine.running_streams() {
            let living =
                engines.iter().filter(|(name, _)| !lost.contains(name) && !network.is_dead(name));
            let cached = living.map(|(_, other)| other.peek_cached(&stream.blocks)).max();
            let prefill = stream.tokens.saturating_sub(cached.unwrap_or_default());
            injected.lost_prefill += prefill as u64;
            let floor = resume_floor(prefill);
            injected.affected.push(AffectedStream { generation: stream.generation, floor });
        }
    }
}

/// Running streams of an engine that falls silent, with their shortest wait.
pub fn silenced_streams(engine: &Engine) -> Vec<AffectedStream> {
    let affected =
        |stream: Running| AffectedStream { generation: stream.generation, floor: SILENCE_FLOOR };
    engine.running_streams().into_iter().map(affected).collect()
}

/// Shortest wait after an engine is killed: the broken connection is detected, the generation is
/// submitted to another engine, `prefill` tokens are prefilled, and one step decodes the next
/// token.
fn resume_floor(prefill: usize) -> Duration {
    let prefill = Duration::from_secs_f64(prefill as f64 / PREFILL_TOKENS_PER_S);
    ROUND_TRIP * 2 + prefill + DECODE_STEP
}
