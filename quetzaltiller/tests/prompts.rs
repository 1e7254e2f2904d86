//! Search for cached prompts, among few engines and among more than one entry VM queries.

use async_trait::async_trait;
use quetzaltiller::clock::Clock;
use quetzaltiller::control::Version;
use quetzaltiller::fleet::{Change, Directory, Upstream};
use quetzaltiller::placement::{self, Booked, Booking, Peer, Placer, Registrar, Table};
use quetzaltiller::prompts::rounds::{RoundKey, Rounds};
use quetzaltiller::prompts::{Finder, Neighbours, PromptQuery};
use quetzaltiller::routes;
use quetzaltiller::scope::Scope;
use quetzaltiller::upstream::{Call, Client, Copy, Error, Listener, Report, Response};
use rstest::rstest;
use standin::site::configuration;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// Engines that each have one prompt part cached, whose identifier is the engine's port.
#[derive(Clone, Default)]
struct Engines {
    asked: Arc<AtomicUsize>,
}

#[async_trait]
impl Client for Engines {
    fn set_listener(&self, _listener: Arc<dyn Listener>) {}

    async fn send(&self, _call: Call<'_>) -> Result<Response, Error> {
        Err(Error::Unsent)
    }

    async fn has_ended(&self, _address: SocketAddr, _limit: Duration) -> bool {
        false
    }

    async fn check(&self, _address: SocketAddr, _limit: Duration) -> bool {
        true
    }

    async fn copy_run(
        &self,
        _from: SocketAddr,
        _request: &str,
        _to: SocketAddr,
        _limit: Duration,
    ) -> Option<Copy> {
        None
    }

    async fn drop_copy(&self, _holder: SocketAddr, _copy: &Copy, _limit: Duration) {}

    async fn accepts_work(&self, _upstream: &Upstream, _path: &str, _limit: Duration) -> bool {
        true
    }

    async fn report(&self, _address: SocketAddr, _limit: Duration) -> Option<Report> {
        None
    }

    async fn cached_parts(
        &self,
        address: SocketAddr,
        _model: &str,
        _limit: Duration,
    ) -> Option<Vec<u64>> {
        self.asked.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(2)).await;
        Some(vec![u64::from(address.port())])
    }

    async fn identify(
        &self,
        _address: SocketAddr,
        _path: &str,
        _limit: Duration,
    ) -> Option<String> {
        None
    }
}

struct NoRegistrar;

#[async_trait]
impl Registrar for NoRegistrar {
    async fn book(&self, _booking: &Booking) -> Option<Booked> {
        None
    }

    async fn borrow(&self, _lender: &str, _upstream: &str) -> bool {
        false
    }
}

/// The other entry VMs of a zone, in this process.
#[derive(Clone, Default)]
struct Others(Arc<Mutex<Vec<Finder>>>);

#[async_trait]
impl Neighbours for Others {
    async fn find(&self, query: &PromptQuery) -> Option<String> {
        let others = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        for other in others {
            if let Some(engine) = other.find_local(query).await {
                return Some(engine);
            }
        }
        None
    }
}

struct Node {
    finder: Finder,
    placer: Placer,
    engines: Engines,
    peers: Vec<Peer>,
}

impl Node {
    /// Sets the other entry VMs, which become known shortly after a start.
    fn set_members(&self) {
        self.placer.set_members(self.peers.clone(), Vec::new());
        self.placer.mark_members_known();
    }
}

fn upstream(number: u16) -> Upstream {
    let zone = ["a", "b", "c"][usize::from(number % 3)];
    Upstream {
        id: format!("engine-{number}"),
        service: "drafts".to_owned(),
        address: ([10, 0, 0, 1], number).into(),
        zone: zone.to_owned(),
        slots: 64,
        leaving: false,
        incarnation: 1,
    }
}

fn peer(number: usize) -> Peer {
    let name = format!("entry-{number}");
    Peer { name: name.clone(), zone: "a".to_owned(), address: name, leaving: false }
}

/// Starts entry VMs of one zone with engines in three zones.
fn start(scope: &Scope, entries: usize, engines: u16) -> Vec<Node> {
    quetzaltiller::logs::stop();
    let mut directory = Directory::default();
    directory.apply(
        Version { era: 0, revision: 1 },
        (1..=engines).map(|number| Change::Set(upstream(number))).collect(),
    );
    let directory = Arc::new(directory);
    let clock = Clock::default();
    let node = |number: usize, others: &Others| {
        let mut table = Table::new(&peer(number).name, "a");
        table.configure(Arc::new(routes::Table::from(configuration(1))));
        let client = Engines::default();
        let dependencies = placement::Dependencies {
            clock,
            table,
            client: Arc::new(client.clone()),
            reuse_after: Duration::from_secs(2),
            successors: mpsc::unbounded_channel().0,
            registrar: Arc::new(NoRegistrar),
        };
        let placer = Placer::start(scope, dependencies);
        placer.set_upstreams(directory.clone());
        let neighbours = Arc::new(others.clone());
        let client_handle = Arc::new(client.clone());
        let finder = Finder::start(scope, clock, placer.clone(), client_handle, neighbours);
        let peers = (0..entries).filter(|other| *other != number).map(peer).collect();
        Node { finder, placer, engines: client, peers }
    };
    let others: Vec<_> = (0..entries).map(|_| Others::default()).collect();
    let nodes: Vec<_> = (0..entries).map(|number| node(number, &others[number])).collect();
    for (number, others) in others.iter().enumerate() {
        let finders = nodes.iter().enumerate().filter(|(other, _)| *other != number);
        let finders = finders.map(|(_, node)| node.finder.clone()).collect();
        *others.0.lock().unwrap_or_else(PoisonError::into_inner) = finders;
    }
    nodes
}

/// Callers of lost entry VMs return to one of three others. Guards against prompts that are not
/// found, and against too many queries where one entry VM can't query all engines.
#[rstest]
#[case::few_engines(200)]
#[case::hundreds_of_engines(306)]
#[case::many_engines(1_100)]
#[tokio::test(start_paused = true)]
async fn a_cached_prompt_is_found_at_any_engine(#[case] engines: u16) {
    let scope = Scope::default();
    let nodes = start(&scope, 3, engines);
    nodes.iter().for_each(Node::set_members);

    for number in (1..=engines).step_by(37) {
        let (service, model) = ("drafts".to_owned(), "drafts".to_owned());
        let query = PromptQuery { service, model, part: u64::from(number) };
        let found = nodes[usize::from(number % 3)].finder.find(&query).await;
        assert_eq!(found, Some(format!("engine-{number}")));
    }

    for node in nodes {
        let asked = node.engines.asked.load(Ordering::Relaxed);
        assert!(asked <= 400, "one entry VM asked {asked} times within 300 ms");
    }
}

#[rstest]
#[case::few_engines(200)]
#[case::hundreds_of_engines(306)]
#[case::many_engines(1_100)]
#[tokio::test(start_paused = true)]
async fn a_prompt_that_no_engine_has_cached_is_not_found(#[case] engines: u16) {
    let scope = Scope::default();
    let nodes = start(&scope, 3, engines);
    nodes.iter().for_each(Node::set_members);
    let query =
        PromptQuery { service: "drafts".to_owned(), model: "drafts".to_owned(), part: u64::MAX };

    let found = nodes[0].finder.find(&query).await;

    assert_eq!(found, None);
}

/// All entry VMs restart together, and callers return before each knows which engines it owns.
/// Guards against searches that end before the neighbours are ready.
#[tokio::test(start_paused = true)]
async fn a_cached_prompt_is_found_by_neighbours_that_have_just_started() {
    let scope = Scope::default();
    let nodes = start(&scope, 3, 1_100);
    nodes[0].set_members();
    let query = |number: u16| {
        let (service, model) = ("drafts".to_owned(), "drafts".to_owned());
        PromptQuery { service, model, part: u64::from(number) }
    };
    let searches = (1..=60).map(|number| (number, nodes[0].finder.clone(), query(number)));
    let searches: Vec<_> = searches
        .map(|(number, finder, query)| {
            (number, tokio::spawn(async move { finder.find(&query).await }))
        })
        .collect();

    tokio::time::sleep(Duration::from_millis(50)).await;
    nodes.iter().for_each(Node::set_members);

    for (number, search) in searches {
        assert_eq!(search.await.unwrap(), Some(format!("engine-{number}")));
    }
}

/// Guards against names of models that callers make up and that stay in memory.
#[test]
fn rounds_of_made_up_models_end_and_are_limited() {
    let mut rounds = Rounds::default();
    let mut most = 0;

    for second in 0..100 {
        for number in 0..100 {
            let model = format!("made-up-{second}-{number}");
            let key = RoundKey { service: "drafts".to_owned(), model };
            let now = Duration::from_secs(second);
            if !rounds.has_current(&key, now) && rounds.has_room() {
                rounds.begin(key, now, 3);
            }
            most = most.max(rounds.len());
        }
    }

    assert_eq!((most, rounds.len()), (64, 64));
    let key = RoundKey { service: "drafts".to_owned(), model: "m".to_owned() };
    assert!(!rounds.has_current(&key, Duration::from_secs(100)) && rounds.is_empty());
}
