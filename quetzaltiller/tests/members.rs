//! Membership: what heartbeats cost, and how soon a silent member is left out, among many.

use async_trait::async_trait;
use coordination::membership::Heartbeat;
use quetzaltiller::clock::Clock;
use quetzaltiller::control::Member;
use quetzaltiller::local_member::LocalMember;
use quetzaltiller::members::{Delegate, Dependencies, Members, Timing, View};
use quetzaltiller::metrics::Metrics;
use quetzaltiller::peer::{self, Link};
use quetzaltiller::scope::Scope;
use quetzaltiller::wire;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const PERIOD: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_millis(1_300);
const RETENTION: Duration = Duration::from_secs(600);

/// Delegate that counts what it takes; members of other zones than its own are far.
#[derive(Default)]
struct CountingDelegate {
    zone: String,
    changes: AtomicUsize,
}

impl Delegate for CountingDelegate {
    fn fill_heartbeat(&self, _beat: &mut wire::Heartbeat, _near: bool) {}

    fn is_near(&self, zone: &str) -> bool {
        zone == self.zone
    }

    fn handle_heartbeat(&self, _beat: &wire::Heartbeat) {}

    fn handle_view_change(&self, _known: Vec<String>, _view: &View) {
        self.changes.fetch_add(1, Ordering::Relaxed);
    }
}

/// Network in the process: members by address, those that are cut, and calls.
#[derive(Clone, Default)]
struct Net {
    members: Arc<Mutex<BTreeMap<String, Members>>>,
    cut: Arc<Mutex<BTreeSet<String>>>,
    calls: Arc<Mutex<BTreeMap<String, usize>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One member's end of the network.
struct End {
    net: Net,
    address: String,
}

#[async_trait]
impl Link for End {
    async fn call(&self, address: &str, ask: wire::Ask) -> Result<wire::Reply, peer::Error> {
        *lock(&self.net.calls).entry(self.address.clone()).or_default() += 1;
        let is_cut = |address: &str| lock(&self.net.cut).contains(address);
        let peer = lock(&self.net.members).get(address).cloned();
        match (peer, ask) {
            (Some(peer), wire::Ask::Heartbeat(beat))
                if !is_cut(address) && !is_cut(&self.address) =>
            {
                Ok(wire::Reply::Heartbeat(peer.handle_heartbeat(beat)))
            }
            _ => Err(peer::Error::Unreachable),
        }
    }
}

struct Node {
    members: Members,
    host: Arc<CountingDelegate>,
}

impl Node {
    fn sees(&self, name: &str) -> bool {
        self.members.view().member(name).is_some()
    }
}

fn name(zone: usize, number: usize) -> String {
    format!("entry-{zone}-{number:03}")
}

/// Entry VMs of several zones that know one seed, by zone and number.
fn start(net: &Net, scope: &Scope, zones: usize, each: usize, fan_out: usize) -> Vec<Vec<Node>> {
    let node = |zone: usize, number: usize| {
        let address = name(zone, number);
        let local = LocalMember::new(Heartbeat {
            name: address.clone(),
            incarnation: 1,
            zone: zone.to_string(),
            peer_address: address.clone(),
            ready: true,
            ..Heartbeat::default()
        });
        let host =
            Arc::new(CountingDelegate { zone: zone.to_string(), ..CountingDelegate::default() });
        let parts = Dependencies {
            seeds: vec![name(0, 0)],
            timing: Timing {
                period: PERIOD,
                timeout: TIMEOUT,
                retention: RETENTION,
                one_sided: true,
                fan_out,
            },
            local: Arc::new(local),
            clock: Clock::default(),
            link: Arc::new(End { net: net.clone(), address: address.clone() }),
            delegate: host.clone(),
            metrics: Arc::new(Metrics::new(None)),
        };
        let members = Members::start(scope, parts);
        lock(&net.members).insert(address, members.clone());
        Node { members, host }
    };
    (0..zones).map(|zone| (0..each).map(|number| node(zone, number)).collect()).collect()
}

async fn pass(time: Duration) {
    tokio::time::sleep(time).await;
}

/// Load: 300 entry VMs that hear each other. Work for each heartbeat must not grow with their number.
#[tokio::test(start_paused = true)]
async fn heartbeats_that_bring_nothing_new_do_not_make_others_look_again() {
    let (net, scope) = (Net::default(), Scope::default());
    let nodes = start(&net, &scope, 1, 1, 20);
    let members = &nodes[0][0].members;
    let beat = |number: usize, open: u64| {
        let peer_address = name(0, number);
        let beat = Heartbeat {
            name: peer_address.clone(),
            incarnation: 1,
            zone: "0".to_owned(),
            peer_address,
            open,
            ..Heartbeat::default()
        };
        wire::Heartbeat::from(beat)
    };
    (1..300).for_each(|number| drop(members.handle_heartbeat(beat(number, 0))));
    pass(Duration::from_millis(1)).await;
    let before = nodes[0][0].host.changes.load(Ordering::Relaxed);

    for open in 1..10 {
        (1..300).for_each(|number| drop(members.handle_heartbeat(beat(number, open))));
    }
    pass(PERIOD).await;

    let looks = nodes[0][0].host.changes.load(Ordering::Relaxed) - before;
    assert!((1..=2).contains(&looks), "{looks} looks at 2,691 heartbeats in one period");
}

/// Load: 40 entry VMs in each of three zones, called in turn.
#[tokio::test(start_paused = true)]
async fn calls_stay_within_the_fan_out_and_all_stay_known() {
    let (net, scope) = (Net::default(), Scope::default());
    let (zones, each, fan_out) = (3, 40, 10);
    let nodes = start(&net, &scope, zones, each, fan_out);
    pass(Duration::from_secs(30)).await;
    lock(&net.calls).clear();

    let rounds = 30;
    for _ in 0..rounds {
        pass(PERIOD).await;
        for node in nodes.iter().flatten() {
            assert_eq!(node.members.view().alive.len(), zones * each - 1);
        }
    }

    let most = lock(&net.calls).values().max().copied().unwrap_or_default();
    assert!(most <= (rounds + 1) * fan_out * 4 / 3, "{most} calls in {rounds} rounds");
}

/// Load: a VM dies among many that call each other in turn, so that each hears it seldom.
#[rstest]
#[case::of_the_zone(0)]
#[case::of_another_zone(1)]
#[tokio::test(start_paused = true)]
async fn a_dead_member_is_left_out_soon_although_turns_are_long(#[case] zone: usize) {
    let (net, scope) = (Net::default(), Scope::default());
    let nodes = start(&net, &scope, 3, 40, 10);
    pass(Duration::from_secs(30)).await;
    let dead = name(zone, 20);

    lock(&net.cut).insert(dead.clone());
    pass(3 * TIMEOUT + 3 * PERIOD).await;

    let others = nodes.iter().flatten().filter(|node| node.members.view().alive.len() > 1);
    let still = others.filter(|node| node.sees(&dead)).count();
    assert_eq!(still, 0, "entry VMs that still count on it");
}

/// Load: one VM can't reach another that all others reach.
#[tokio::test(start_paused = true)]
async fn a_member_that_one_peer_cannot_reach_stays_known_to_the_others() {
    let (net, scope) = (Net::default(), Scope::default());
    let nodes = start(&net, &scope, 1, 30, 5);
    pass(Duration::from_secs(30)).await;
    let told = name(0, 20);

    for _ in 0..20 {
        let mut beat = nodes[0][3].members.heartbeat(true);
        beat.unreachable_members = vec![told.clone()];
        nodes[0][7].members.handle_heartbeat(beat);
        pass(PERIOD).await;
        assert!(nodes[0][7].sees(&told));
    }
}

/// Load: a thousand VMs are replaced a day, and the store still lists them to those that start.
#[tokio::test(start_paused = true)]
async fn members_that_are_gone_for_good_are_not_called_for_ever() {
    let (net, scope) = (Net::default(), Scope::default());
    let nodes = start(&net, &scope, 1, 2, 20);
    let gone = (100..300).map(|number| Member {
        name: name(0, number),
        zone: "0".to_owned(),
        peer_address: name(0, number),
    });
    nodes[0][0].members.add_provisional(gone.collect());

    pass(RETENTION / 2).await;
    lock(&net.calls).clear();
    pass(10 * PERIOD).await;
    let while_kept = lock(&net.calls).get(&name(0, 0)).copied().unwrap_or_default();
    pass(RETENTION).await;
    lock(&net.calls).clear();
    pass(10 * PERIOD).await;
    let at_last = lock(&net.calls).get(&name(0, 0)).copied().unwrap_or_default();

    assert!(while_kept > 20, "{while_kept} calls");
    assert!(at_last <= 10, "{at_last} calls to one member in ten rounds");
    assert!(nodes[0][0].sees(&name(0, 1)));
}
