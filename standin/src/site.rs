//! Deployment in process: entry VMs on stand-ins of the store, the engines, the replicas and the
//! links between entry VMs.

use crate::control::ControlStore;
use crate::fleet::Fleet;
use crate::hub::Hub;
use bytes::Bytes;
use hyper::{HeaderMap, Method};
use quetzaltiller::admission::Resources;
use quetzaltiller::digest::sha256_hex;
use quetzaltiller::entry::{Config, Entry, Ports, Tunables};
use quetzaltiller::fleet::Upstream;
use quetzaltiller::proxy::{Chunk, Part, Prompt, Reply, Request};
use quetzaltiller::routes::{Account, Content, Engine, Kind, Route, Service, Target};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Key of the client account.
pub const KEY: &str = "gate-crew-key";
/// Number of events in a complete answer.
pub const EVENTS: u32 = 140;
/// Names of the availability zones.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Record of a generation as its caller received it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Time from the request to the first event.
    pub first: Option<Duration>,
    /// Longest time between two consecutive events.
    pub longest_pause: Duration,
    /// Numbers of the events received.
    pub numbers: Vec<u32>,
    /// Whether the stream ended as complete.
    pub whole: bool,
    /// Refusal, if the entry VM refused the request.
    pub refused: Option<quetzaltiller::refusal::Refusal>,
}

impl Seen {
    /// Whether every event came once and in order and the stream ended as complete.
    pub fn is_whole(&self) -> bool {
        self.whole && self.numbers.iter().copied().eq(1..=EVENTS)
    }

    /// Whether the answer is complete, with the first event within 4.5 s and no pause above 0.7 s;
    /// these are the users' limits.
    pub fn is_on_time(&self) -> bool {
        self.is_whole()
            && self.first.is_some_and(|first| first <= Duration::from_millis(4_500))
            && self.longest_pause <= Duration::from_millis(700)
    }
}

/// Deployment in process, with its stand-ins.
pub struct Site {
    /// Stand-in engines and replicas.
    pub fleet: Fleet,
    /// Stand-in of the store.
    pub store: ControlStore,
    /// Links between entry VMs.
    pub hub: Hub,
    /// Entry VMs that run.
    pub entries: Vec<Arc<Entry>>,
    /// Clients with which the entry VMs reach the store, by name.
    pub clients: BTreeMap<String, ControlStore>,
    /// Time after an outage of the store in which the entry VMs have to follow it again.
    recovery: Duration,
}

impl Site {
    /// Starts three zones, each with `engines` engines, one replica and one entry VM.
    pub async fn start(engines: usize) -> Self {
        Self::start_with(engines, config(ZONES[0], 1).recovery).await
    }

    /// Starts the same with entry VMs that have to follow the store again within `recovery`.
    pub async fn start_with(engines: usize, recovery: Duration) -> Self {
        quetzaltiller::logs::stop();
        let site = Self {
            recovery,
            fleet: Fleet::default(),
            store: ControlStore::default(),
            hub: Hub::default(),
            entries: Vec::new(),
            clients: BTreeMap::new(),
        };
        site.store.configure(configuration(1));
        for (z, zone) in ZONES.iter().enumerate() {
            for n in 0..engines {
                site.add(engine(&format!("engine-{zone}-{n}"), zone, (z * 50 + n) as u8), EVENTS);
            }
            site.add(replica(&format!("desk-{zone}"), zone, (200 + z) as u8), 0);
        }
        let mut site = site;
        for zone in ZONES {
            site.join(zone, 1);
        }
        sleep(Duration::from_secs(2)).await;
        site
    }

    /// Adds an upstream and lists it in the store; `events` as for [`Fleet::insert`].
    pub fn add(&self, upstream: Upstream, events: u32) {
        self.fleet.insert(upstream.clone(), events);
        self.store.list(upstream);
    }

    /// Starts an entry VM in a zone.
    pub fn join(&mut self, zone: &str, incarnation: u64) -> Arc<Entry> {
        self.join_with(config(zone, incarnation))
    }

    /// Starts the entry VM `name` in a zone that has other ones.
    pub fn join_as(&mut self, name: &str, zone: &str) -> Arc<Entry> {
        self.join_with(Config {
            name: name.to_owned(),
            caller_address: format!("{name}:1"),
            peer_address: name.to_owned(),
            ..config(zone, 1)
        })
    }

    fn join_with(&mut self, config: Config) -> Arc<Entry> {
        let config = Config { recovery: self.recovery, ..config };
        let (name, client) = (config.name.clone(), self.store.client());
        let ports = Ports {
            store: Arc::new(client.clone()),
            client: Arc::new(self.fleet.clone()),
            link: self.hub.link(&name),
        };
        let entry = Entry::start(config, ports);
        self.hub.insert(&name, entry.clone());
        self.entries.push(entry.clone());
        self.clients.insert(name, client);
        entry
    }

    /// Stops the entry VM of a zone.
    pub fn lose_entry(&mut self, zone: &str) {
        let address = format!("entry-{zone}:1");
        self.entries.retain(|entry| {
            let lost = entry.caller_address() == address;
            if lost {
                entry.stop();
            }
            !lost
        });
    }

    /// Crashes all engines of a zone, with silent connections if `silent`. New engines start at
    /// their addresses after 1.2 s and are listed 0.8 s later; the old entries are removed 1.6 s
    /// after that.
    pub fn lose_zone(&self, zone: &str, silent: bool) {
        for id in self.fleet.of_zone(zone).into_iter().filter(|id| id.starts_with("engine")) {
            self.fleet.crash(&id, silent);
            tokio::spawn(replace_upstream(self.fleet.clone(), self.store.clone(), id));
        }
    }

    /// Lets prompts with `part` crash engines; they are replaced as in [`Self::lose_zone`].
    pub fn poison(&self, part: u64) {
        self.fleet.poison_part(part);
        self.replace_poisoned();
    }

    /// Lets requests with the path and body of `request` crash upstreams; they are replaced as in
    /// [`Self::lose_zone`].
    pub fn poison_request(&self, request: &Request) {
        self.fleet.poison_request(request);
        self.replace_poisoned();
    }

    /// Crashes an upstream, which is replaced as in [`Self::lose_zone`].
    pub fn crash(&self, id: &str) {
        self.fleet.crash(id, false);
        tokio::spawn(replace_upstream(self.fleet.clone(), self.store.clone(), id.to_owned()));
    }

    fn replace_poisoned(&self) {
        let mut crashed = self.fleet.watch_poisoned_crashes();
        let (fleet, store) = (self.fleet.clone(), self.store.clone());
        tokio::spawn(async move {
            while let Some(id) = crashed.recv().await {
                tokio::spawn(replace_upstream(fleet.clone(), store.clone(), id));
            }
        });
    }
}

/// Starts a new upstream at the address of a crashed one, lists it and removes the old entry.
async fn replace_upstream(fleet: Fleet, store: ControlStore, id: String) {
    sleep(Duration::from_millis(1_200)).await;
    let new_id = format!("{id}+");
    fleet.restart(&id, &new_id);
    sleep(Duration::from_millis(800)).await;
    if let Some(listed) = fleet.listing().into_iter().find(|known| known.id == new_id) {
        store.list(listed);
    }
    sleep(Duration::from_millis(1_600)).await;
    store.remove(&id);
}

/// Returns the settings of the entry VM of a zone.
pub fn config(zone: &str, incarnation: u64) -> Config {
    Config {
        name: format!("entry-{zone}"),
        zone: zone.to_owned(),
        caller_address: format!("entry-{zone}:1"),
        peer_address: format!("entry-{zone}"),
        peer_seeds: ZONES.iter().map(|zone| format!("entry-{zone}")).collect(),
        incarnation,
        resources: Resources::default(),
        memory: Resources::default().memory(),
        tunables: Tunables {
            grace: Duration::from_secs(8),
            entries_lifetime: Duration::from_secs(5),
        },
        reuse_after: Duration::from_secs(2),
        recovery: Duration::from_secs(3),
        retry_ratio: 0.8,
        retry_slack: 150.0,
    }
}

/// Returns the entry of an engine, at the address `10.0.0.number`.
pub fn engine(id: &str, zone: &str, number: u8) -> Upstream {
    upstream(id, "drafts", zone, number, 64)
}

/// Returns the entry of a replica of the plain service, at the address `10.0.0.number`.
pub fn replica(id: &str, zone: &str, number: u8) -> Upstream {
    upstream(id, "desk", zone, number, 6)
}

fn upstream(id: &str, service: &str, zone: &str, number: u8, slots: u32) -> Upstream {
    Upstream {
        id: id.to_owned(),
        service: service.to_owned(),
        address: ([10, 0, 0, number], 80).into(),
        zone: zone.to_owned(),
        slots,
        leaving: false,
        incarnation: 1,
    }
}

/// Returns a configuration with a route for a generation, a lookup and an action.
pub fn configuration(number: u64) -> Content {
    let engine = Engine {
        slots: 64,
        memory_tokens: 88_000,
        backups: true,
        moves: true,
        copy_term_ms: 4_000,
    };
    let service = |name: &str, engine| Service {
        name: name.to_owned(),
        check_path: "/healthz".to_owned(),
        max_connections: 370,
        engine,
    };
    let route = |prefix: &str, kind, target: &str, attempts, timeout_ms| {
        Arc::new(Route {
            name: prefix.trim_matches('/').to_owned(),
            host: "prints.example".to_owned(),
            path_prefix: prefix.to_owned(),
            kind,
            targets: vec![Target { service: target.to_owned(), weight: 1 }],
            attempts,
            timeout_ms,
            objective_ms: 4_500,
            pause_ms: Some(700),
            priority: 1,
            public: false,
        })
    };
    Content {
        number,
        routes: vec![
            route("/draft/", Kind::Generation { resumable: true }, "drafts", 5, 25_000),
            route("/status/", Kind::Lookup, "desk", 2, 1_200),
            route("/order/", Kind::Action, "desk", 1, 1_200),
        ],
        services: vec![service("drafts", Some(engine)), service("desk", None)],
        accounts: Some(vec![Account {
            name: "roskilde".to_owned(),
            priority: None,
            key_digests: vec![sha256_hex(&[KEY.as_bytes()])],
        }]),
        ..Content::default()
    }
}

/// Returns a request with the account key and without a prompt.
pub fn request(id: &str, path: &str) -> Request {
    Request {
        id: id.to_owned(),
        method: Method::POST,
        host: "prints.example".to_owned(),
        path: path.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"{}"),
        patience: Some(Duration::from_secs(25)),
        key: Some(KEY.to_owned()),
        prompt: None,
        last_event: None,
    }
}

/// Returns a generation whose body, and prompt but for its first 200 tokens, differ from all others.
pub fn draft(id: &str) -> Request {
    let own = u64::from_str_radix(&sha256_hex(&[id.as_bytes()])[..15], 16).unwrap_or(1);
    let prompt = Prompt {
        model: "m".to_owned(),
        tokens: 8_000,
        max_output: 900,
        parts: vec![Part { id: 1, tokens: 200 }, Part { id: own, tokens: 7_800 }],
    };
    let body = Bytes::from(id.to_owned());
    Request { prompt: Some(prompt), body, ..request(id, "/draft/1") }
}

/// Sends a generation to an entry VM and reads its answer to the end.
pub async fn generate(entry: Arc<Entry>, request: Request) -> Seen {
    let began = Instant::now();
    let mut seen = Seen::default();
    let mut stream = match entry.proxy().handle(request).await {
        Reply::Streaming(stream) => stream,
        Reply::Refused(refusal) => {
            seen.refused = Some(refusal);
            return seen;
        }
        Reply::Answered(_) => return seen,
    };
    let mut last = Instant::now();
    while let Some(chunk) = stream.events.recv().await {
        match chunk {
            Chunk::Events(bytes) => {
                let now = Instant::now();
                if seen.first.is_some() {
                    seen.longest_pause = seen.longest_pause.max(now - last);
                }
                seen.first.get_or_insert(now - began);
                last = now;
                let text = String::from_utf8_lossy(&bytes).into_owned();
                let number = text.lines().find_map(|line| line.strip_prefix("id: "));
                seen.numbers.extend(number.and_then(|number| number.parse::<u32>().ok()));
            }
            Chunk::End => seen.whole = true,
        }
    }
    seen
}
