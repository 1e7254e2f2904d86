//! Seeded faults and whom they hit.

use crate::system::{ENTRY_VMS, Place, System, entry_name};
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

/// Time until a killed party is back.
const REPLACEMENT: Duration = Duration::from_secs(8);
const PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(6));
const OUTAGE: Duration = Duration::from_secs(5);
const PARTITION: Duration = Duration::from_secs(4);
const ANSWER_LOSS: f64 = 0.5;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An engine ends; it is back empty later.
    EngineKilled,
    /// An engine ends and is back at once, empty.
    EngineRestarted,
    /// An engine stops for a random time.
    EnginePaused,
    /// The open connections of an engine go silent.
    SilentConnection,
    /// An entry VM ends; it is replaced later.
    RouterKilled,
    /// An entry VM stops for a random time.
    RouterPaused,
    /// All VMs of a zone end; they are replaced later.
    ZoneLost,
    /// An entry VM loses an engine and another entry VM for a while.
    Partition,
    /// The platform is down.
    StoreDown,
    /// The platform loses answers of writes.
    StoreAnswerLost,
    /// An entry VM leaves gracefully and is replaced.
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

/// A fault and its time after the start of the load.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// Time.
    pub at: Duration,
    /// Kind.
    pub kind: Kind,
}

/// A stream that a fault hit.
#[derive(Clone, Debug)]
pub struct Hit {
    /// Generation.
    pub generation: String,
    /// Shortest possible wait.
    pub floor: Duration,
}

/// What a fault did.
#[derive(Clone, Debug)]
pub struct Injected {
    /// Kind.
    pub kind: Kind,
    /// When.
    pub at: Instant,
    /// Streams that lost their engine, their connection or their entry VM.
    pub hits: Vec<Hit>,
    /// Prefill that no living engine could spare, in tokens.
    pub lost_prefill: u64,
    /// Party that left gracefully, if one did.
    pub left: Option<String>,
}

impl Injected {
    /// A fault that strikes now and has hit nothing yet.
    pub fn new(kind: Kind) -> Self {
        Self { kind, at: Instant::now(), hits: Vec::new(), lost_prefill: 0, left: None }
    }
}

/// Faults for a run: one of each given kind, or a random pair.
pub fn plan(kinds: &[Kind], load: Duration, seed: u64) -> Vec<Planned> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed + 2);
    let (first, last) = (load.mul_f64(0.2), load.mul_f64(0.9));
    let mut at = || rng.random_range(first..last);
    kinds.iter().map(|kind| Planned { at: at(), kind: *kind }).collect()
}

/// Two kinds chosen by seed.
pub fn pair(seed: u64) -> Vec<Kind> {
    let mut rng = ChaCha12Rng::seed_from_u64(seed + 3);
    Kind::ALL.choose_multiple(&mut rng, 2).copied().collect()
}

/// Injects faults at their times; the result tells what they did.
pub async fn inject(system: Arc<System>, planned: Vec<Planned>, seed: u64) -> Vec<Injected> {
    let start = Instant::now();
    let mut rng = ChaCha12Rng::seed_from_u64(seed + 4);
    let mut planned = planned;
    planned.sort_by_key(|fault| fault.at);
    let mut injected = Vec::new();
    for fault in planned {
        sleep_until(start + fault.at).await;
        let hurt = Injector { system: &system, rng: &mut rng };
        injected.push(hurt.inject(fault.kind).await);
    }
    injected
}

struct Injector<'a> {
    system: &'a Arc<System>,
    rng: &'a mut ChaCha12Rng,
}

impl Injector<'_> {
    async fn inject(mut self, kind: Kind) -> Injected {
        let mut injected = Injected::new(kind);
        match kind {
            Kind::EngineKilled => {
                let place = self.busy_engine();
                self.kill_engines(&[place.address], &mut injected);
            }
            Kind::EngineRestarted => {
                let place = self.busy_engine();
                self.note_loss(std::slice::from_ref(&place.address), &mut injected);
                self.system.engines[&place.address].restart();
            }
            Kind::EnginePaused => {
                let place = self.busy_engine();
                let pause = self.rng.random_range(PAUSE.0..PAUSE.1);
                self.note_pause(&place.address, pause, &mut injected);
                self.freeze(place.address, pause);
            }
            Kind::SilentConnection => {
                let place = self.busy_engine();
                self.note_hits(&place.address, &mut injected);
                self.system.engines[&place.address].silence_connections();
            }
            Kind::RouterKilled => {
                let name = self.entry();
                self.kill_router(&name, &mut injected).await;
            }
            Kind::RouterPaused => {
                let name = self.entry();
                let pause = self.rng.random_range(PAUSE.0..PAUSE.1);
                let floor = pause.min(SIGN_OF_LIFE + ROUND_TRIP * 2) + STEP;
                self.note_served(&name, floor, &mut injected).await;
                self.freeze_router(name, pause);
            }
            Kind::ZoneLost => self.lose_zone(&mut injected).await,
            Kind::Partition => self.part(),
            Kind::StoreDown => self.store_outage(),
            Kind::StoreAnswerLost => self.lose_answers(),
            Kind::RouterLeaves => injected.left = Some(self.leave()),
            Kind::EngineLeaves => injected.left = Some(self.mark_leaving().await),
        }
        injected
    }

    /// The engine with the most streams, so that the fault hits something.
    fn busy_engine(&mut self) -> Place {
        let alive = |place: &&Place| !self.system.network.is_dead(&place.address);
        let places = self.system.places.iter().filter(alive);
        let busiest = places.max_by_key(|place| self.system.engines[&place.address].running());
        busiest.cloned().unwrap_or_else(|| self.system.places[0].clone())
    }

    fn entry(&mut self) -> String {
        entry_name(self.rng.random_range(0..ENTRY_VMS))
    }

    fn kill_engines(&mut self, addresses: &[String], injected: &mut Injected) {
        self.note_loss(addresses, injected);
        for address in addresses {
            if let Some(engine) = self.system.engines.get(address) {
                engine.kill();
            } else {
                self.system.network.set_dead(address, true);
            }
        }
        let (system, addresses) = (self.system.clone(), addresses.to_vec());
        tokio::spawn(async move {
            sleep(REPLACEMENT).await;
            addresses.iter().for_each(|address| system.network.set_dead(address, false));
        });
    }

    async fn kill_router(&mut self, name: &str, injected: &mut Injected) {
        self.note_served(name, ROUND_TRIP * 2 + STEP, injected).await;
        self.system.kill_router(name);
        let (system, name) = (self.system.clone(), name.to_owned());
        tokio::spawn(async move {
            sleep(REPLACEMENT).await;
            system.start_router(&name);
        });
    }

    async fn lose_zone(&mut self, injected: &mut Injected) {
        let zone = ["zone-a", "zone-b", "zone-c"][self.rng.random_range(0..3)];
        let addresses = self.system.in_zone(zone);
        self.kill_engines(&addresses, injected);
        for name in self.system.entries_in_zone(zone) {
            self.kill_router(&name, injected).await;
        }
    }

    fn freeze(&self, party: String, pause: Duration) {
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

    fn part(&mut self) {
        let name = self.entry();
        let other = entry_name((self.rng.random_range(1..ENTRY_VMS) + 1) % ENTRY_VMS);
        let engine = self.busy_engine().address;
        let network = self.system.network.clone();
        network.set_partitioned(&name, &other, true);
        network.set_partitioned(&name, &engine, true);
        tokio::spawn(async move {
            sleep(PARTITION).await;
            network.set_partitioned(&name, &other, false);
            network.set_partitioned(&name, &engine, false);
        });
    }

    fn store_outage(&self) {
        let platform = self.system.platform.clone();
        platform.set_faults(|faults| faults.outage = true);
        tokio::spawn(async move {
            sleep(OUTAGE).await;
            platform.set_faults(|faults| faults.outage = false);
        });
    }

    fn lose_answers(&self) {
        let platform = self.system.platform.clone();
        platform.set_faults(|faults| faults.answer_lost = ANSWER_LOSS);
        tokio::spawn(async move {
            sleep(OUTAGE).await;
            platform.set_faults(|faults| faults.answer_lost = 0.0);
        });
    }

    fn leave(&mut self) -> String {
        let name = self.entry();
        let system = self.system.clone();
        let leaving = name.clone();
        tokio::spawn(async move {
            let Some(router) = system.hub.get(&leaving) else {
                return;
            };
            router.drain().await;
            system.retire(&leaving);
            sleep(REPLACEMENT).await;
            system.start_router(&leaving);
        });
        name
    }

    async fn mark_leaving(&mut self) -> String {
        let place = self.busy_engine();
        let mut objects = self.system.objects.clone();
        for object in &mut objects {
            if let Object::Upstream(upstream) = object {
                upstream.leaving = upstream.name == place.name;
            }
        }
        self.system.apply(&objects).await;
        place.address
    }

    fn note_loss(&self, addresses: &[String], injected: &mut Injected) {
        note_loss(&self.system.engines, &self.system.network, addresses, injected);
    }

    /// An engine that pauses costs the pause, or a replacement once the silence is noticed.
    fn note_pause(&self, address: &String, pause: Duration, injected: &mut Injected) {
        let mut lost = Injected::new(injected.kind);
        self.note_loss(std::slice::from_ref(address), &mut lost);
        injected.hits.extend(lost.hits.into_iter().map(|hit| {
            let replaced = SILENCE_FLOOR + hit.floor;
            Hit { floor: replaced.min(pause + STEP), ..hit }
        }));
    }

    fn note_hits(&self, address: &str, injected: &mut Injected) {
        injected.hits.extend(silence_hits(&self.system.engines[address]));
    }

    async fn note_served(&self, name: &str, floor: Duration, injected: &mut Injected) {
        let Some(router) = self.system.hub.get(name) else {
            return;
        };
        let generations = router.dump().await.generations;
        let hit = |generation| Hit { generation, floor };
        injected.hits.extend(generations.into_keys().map(hit));
    }
}

/// A paused entry VM is not told from an idle stream before a sign of life is missed.
const SIGN_OF_LIFE: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(23);
const ROUND_TRIP: Duration = Duration::from_millis(2);
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// A gap of two steps is the first sign of silence; a reattach and a step follow.
const SILENCE_FLOOR: Duration = Duration::from_millis(2 * 23 + 2 * 2 + 23);

/// Notes the streams of engines that lose everything: the floor is the prefill that no living
/// engine has cached.
pub fn note_loss(
    engines: &BTreeMap<String, Engine>,
    network: &Network,
    lost: &[String],
    injected: &mut Injected,
) {
    for engine in lost.iter().filter_map(|name| engines.get(name)) {
        for stream in engine.running_streams() {
            let living =
                engines.iter().filter(|(name, _)| !lost.contains(name) && !network.is_dead(name));
            let cached = living.map(|(_, other)| other.peek_cached(&stream.blocks)).max();
            let prefill = stream.tokens.saturating_sub(cached.unwrap_or_default());
            injected.lost_prefill += prefill as u64;
            let floor = resume_floor(prefill);
            injected.hits.push(Hit { generation: stream.generation, floor });
        }
    }
}

/// Streams of an engine that falls silent.
pub fn silence_hits(engine: &Engine) -> Vec<Hit> {
    let hit = |stream: Running| Hit { generation: stream.generation, floor: SILENCE_FLOOR };
    engine.running_streams().into_iter().map(hit).collect()
}

/// Shortest wait after an engine died: the broken connection is seen, the rest is submitted,
/// prefilled, and one step brings the next token.
fn resume_floor(prefill: usize) -> Duration {
    let prefill = Duration::from_secs_f64(prefill as f64 / PREFILL_TOKENS_PER_S);
    ROUND_TRIP * 2 + prefill + STEP
}
