//! Membership of many entry VMs: the cost of heartbeats and the time to detect a dead member.

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

/// Delegate that counts changes of the view; members outside its zone are far.
#[derive(Default)]
struct CountingDelegate {
    zone: String,
    view_changes: AtomicUsize,
}

impl Delegate for CountingDelegate {
    fn fill_heartbeat(&self, _beat: &mut wire::Heartbeat, _near: bool) {}

    fn is_near(&self, zone: &str) -> bool {
        zone == self.zone
    }

    fn handle_heartbeat(&self, _beat: &wire::Heartbeat) {}

    fn handle_view_change(&self, _known: Vec<Member>, _view: &View) {
        self.view_changes.fetch_add(1, Ordering::Relaxed);
    }
}

/// In-process network: members by address, addresses that are unreachable, and numbers of calls by
/// caller.
#[derive(Clone, Default)]
struct Network {
    members: Arc<Mutex<BTreeMap<String, Members>>>,
    unreachable: Arc<Mutex<BTreeSet<String>>>,
    calls: Arc<Mutex<BTreeMap<String, usize>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Link of one member to the network.
struct NetworkLink {
    network: Network,
    address: String,
}

#[async_trait]
impl Link for NetworkLink {
    async fn call(&self, address: &str, ask: wire::Ask) -> Result<wire::Reply, peer::Error> {
        *lock(&self.network.calls).entry(self.address.clone()).or_default() += 1;
        let is_unreachable = |address: &str| lock(&self.network.unreachable).contains(address);
        let peer = lock(&self.network.members).get(address).cloned();
        match (peer, ask) {
            (Some(peer), wire::Ask::Heartbeat(beat))
                if !is_unreachable(address) && !is_unreachable(&self.address) =>
            {
                Ok(wire::Reply::Heartbeat(Box::new(peer.handle_heartbeat(beat))))
            }
            _ => Err(peer::Error::Unreachable),
        }
    }
}

struct Node {
    members: Members,
    delegate: Arc<CountingDelegate>,
}

impl Node {
    fn sees(&self, name: &str) -> bool {
        self.members.view().member(name).is_some()
    }
}

fn name(zone: usize, number: usize) -> String {
    format!("entry-{zone}-{number:03}")
}

/// Starts entry VMs in several zones, all with the same seed; returns them by zone and number.
fn start(
    network: &Network,
    scope: &Scope,
    zones: usize,
    per_zone: usize,
    fan_out: usize,
) -> Vec<Vec<Node>> {
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
        let delegate =
            Arc::new(CountingDelegate { zone: zone.to_string(), ..CountingDelegate::default() });
        let dependencies = Dependencies {
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
            link: Arc::new(NetworkLink { network: network.clone(), address: address.clone() }),
            delegate: delegate.clone(),
            metrics: Arc::new(Metrics::new(None)),
        };
        let members = Members::start(scope, dependencies);
        lock(&network.members).insert(address, members.clone());
        Node { members, delegate }
    };
    (0..zones).map(|zone| (0..per_zone).map(|number| node(zone, number)).collect()).collect()
}

async fn advance_time(time: Duration) {
    tokio::time::sleep(time).await;
}

/// Load: 300 entry VMs that exchange heartbeats. Guards against work per heartbeat that grows with
/// the number of members: unchanged heartbeats must not cause a new view each.
#[tokio::test(start_paused = true)]
async fn unchanged_heartbeats_do_not_update_the_view_one_by_one() {
    let (network, scope) = (Network::default(), Scope::default());
    let nodes = start(&network, &scope, 1, 1, 20);
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
    advance_time(Duration::from_millis(1)).await;
    let before = nodes[0][0].delegate.view_changes.load(Ordering::Relaxed);

    for open in 1..10 {
        (1..300).for_each(|number| drop(members.handle_heartbeat(beat(number, open))));
    }
    advance_time(PERIOD).await;

    let updates = nodes[0][0].delegate.view_changes.load(Ordering::Relaxed) - before;
    assert!((1..=2).contains(&updates), "{updates} updates for 2,691 heartbeats in one period");
}

/// Load: 40 entry VMs in each of three zones, called in rotation. Guards against rounds with too
/// many calls, and against live members that time out within a rotation.
#[tokio::test(start_paused = true)]
async fn calls_stay_within_the_fan_out_and_all_members_stay_alive() {
    let (network, scope) = (Network::default(), Scope::default());
    let (zones, per_zone, fan_out) = (3, 40, 10);
    let nodes = start(&network, &scope, zones, per_zone, fan_out);
    advance_time(Duration::from_secs(30)).await;
    lock(&network.calls).clear();

    let rounds = 30;
    for _ in 0..rounds {
        advance_time(PERIOD).await;
        for node in nodes.iter().flatten() {
            assert_eq!(node.members.view().alive.len(), zones * per_zone - 1);
        }
    }

    let max_calls = lock(&network.calls).values().max().copied().unwrap_or_default();
    assert!(max_calls <= (rounds + 1) * fan_out * 4 / 3, "{max_calls} calls in {rounds} rounds");
}

/// Load: a VM dies among many that call each other in rotation, so that each rarely calls it.
/// Guards against dead members that count as alive for the long timeout of a rotation.
#[rstest]
#[case::of_the_zone(0)]
#[case::of_another_zone(1)]
#[tokio::test(start_paused = true)]
async fn dead_member_is_removed_from_the_view_soon_despite_a_long_rotation(#[case] zone: usize) {
    let (network, scope) = (Network::default(), Scope::default());
    let nodes = start(&network, &scope, 3, 40, 10);
    advance_time(Duration::from_secs(30)).await;
    let dead = name(zone, 20);

    lock(&network.unreachable).insert(dead.clone());
    advance_time(3 * TIMEOUT + 3 * PERIOD).await;

    let others = nodes.iter().flatten().filter(|node| node.members.view().alive.len() > 1);
    let not_updated = others.filter(|node| node.sees(&dead)).count();
    assert_eq!(not_updated, 0, "entry VMs that still count the dead member as alive");
}

/// Load: one VM can't reach another that all others can reach. Guards against a report of one peer
/// that removes a live member elsewhere.
#[tokio::test(start_paused = true)]
async fn member_that_one_peer_cannot_reach_stays_alive_for_the_others() {
    let (network, scope) = (Network::default(), Scope::default());
    let nodes = start(&network, &scope, 1, 30, 5);
    advance_time(Duration::from_secs(30)).await;
    let reported = name(0, 20);

    for _ in 0..20 {
        let mut beat = nodes[0][3].members.heartbeat(true);
        beat.unreachable_members = vec![reported.clone()];
        nodes[0][7].members.handle_heartbeat(beat);
        advance_time(PERIOD).await;
        assert!(nodes[0][7].sees(&reported));
    }
}

/// Load: a thousand VMs are replaced a day, and VMs that start still find them in the store's list.
/// Guards against calls to dead members without end.
#[tokio::test(start_paused = true)]
async fn dead_members_are_not_called_after_the_retention() {
    let (network, scope) = (Network::default(), Scope::default());
    let nodes = start(&network, &scope, 1, 2, 20);
    let gone = (100..300).map(|number| Member {
        name: name(0, number),
        zone: "0".to_owned(),
        peer_address: name(0, number),
    });
    nodes[0][0].members.add_provisional(gone.collect());

    advance_time(RETENTION / 2).await;
    lock(&network.calls).clear();
    advance_time(10 * PERIOD).await;
    let calls_within_retention = lock(&network.calls).get(&name(0, 0)).copied().unwrap_or_default();
    advance_time(RETENTION).await;
    lock(&network.calls).clear();
    advance_time(10 * PERIOD).await;
    let calls_after_retention = lock(&network.calls).get(&name(0, 0)).copied().unwrap_or_default();

    assert!(calls_within_retention > 20, "{calls_within_retention} calls");
    assert!(
        calls_after_retention <= 10,
        "{calls_after_retention} calls to one member in ten rounds"
    );
    assert!(nodes[0][0].sees(&name(0, 1)));
}
