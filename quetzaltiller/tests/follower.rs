//! Following of the store and of peers: configurations, upstreams and successors.

use proptest::prelude::*;
use quetzaltiller::clock::Clock;
use quetzaltiller::control::Version;
use quetzaltiller::fleet::{Change, Listing, Update, Upstream};
use quetzaltiller::follower::{Follower, Role};
use quetzaltiller::metrics::Metrics;
use quetzaltiller::placement::Successor;
use quetzaltiller::routes::Table;
use quetzaltiller::scope::Scope;
use rstest::rstest;
use standin::control::ControlStore;
use standin::site::{configuration, engine};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Time after an outage of the store in which it has to be followed again.
const RECOVERY: Duration = Duration::from_secs(3);
/// Time within which a change in the store reaches the follower.
const MAX_LAG: Duration = Duration::from_millis(500);

async fn start(listed: &[Upstream]) -> (Follower, ControlStore, Scope) {
    quetzaltiller::logs::stop();
    let (store, scope) = (ControlStore::default(), Scope::default());
    listed.iter().for_each(|upstream| store.list(upstream.clone()));
    let metrics = Arc::new(Metrics::new(None));
    let follower =
        Follower::start(&scope, Clock::default(), Arc::new(store.clone()), metrics, RECOVERY);
    sleep(MAX_LAG).await;
    (follower, store, scope)
}

fn successor() -> Successor {
    Successor { lost: "engine-a-0".to_owned(), upstream: engine("engine-a-0+", "a", 1) }
}

fn ids(follower: &Follower) -> Vec<String> {
    follower.directory().upstreams().map(|upstream| upstream.id.clone()).collect()
}

#[tokio::test(start_paused = true)]
async fn successor_is_used_until_the_store_should_have_listed_it() {
    let (follower, _store, _scope) = start(&[engine("engine-a-0", "a", 1)]).await;

    follower.apply_successor(successor());
    sleep(MAX_LAG).await;
    let used = ids(&follower);
    sleep(Duration::from_secs(4)).await;

    assert_eq!(used, ["engine-a-0+"]);
    assert_eq!(ids(&follower), ["engine-a-0"]);
}

/// The store listed the successor and removed it without listing it as leaving. A peer that knows
/// of neither change still reports it.
#[tokio::test(start_paused = true)]
async fn removed_successor_is_not_accepted_from_a_peer_again() {
    let (follower, store, _scope) = start(&[engine("engine-a-0", "a", 1)]).await;

    store.list(successor().upstream);
    sleep(MAX_LAG).await;
    store.remove("engine-a-0+");
    sleep(MAX_LAG).await;
    follower.apply_successor(successor());
    sleep(MAX_LAG).await;

    assert_eq!(ids(&follower), ["engine-a-0"]);
}

/// The store listed the successor and removed it, and reported both changes at once.
#[tokio::test(start_paused = true)]
async fn successor_listed_and_removed_in_one_change_is_dropped() {
    let (follower, store, _scope) = start(&[engine("engine-a-0", "a", 1)]).await;

    follower.apply_successor(successor());
    store.list(engine("engine-b-0", "b", 2));
    sleep(Duration::from_millis(20)).await;
    store.list(successor().upstream);
    store.remove("engine-a-0+");
    sleep(MAX_LAG).await;

    assert_eq!(ids(&follower), ["engine-a-0", "engine-b-0"]);
}

/// Removes an upstream `vanishes_after` an outage of the store; returns the ids of the upstreams in
/// use `observed_after` later.
async fn listed_after_return(vanishes_after: Duration, observed_after: Duration) -> Vec<String> {
    let listed = [engine("engine-a-0", "a", 1), engine("engine-b-0", "b", 2)];
    let (follower, store, _scope) =
        start(&[&listed[..], &[engine("engine-c-0", "c", 3)]].concat()).await;
    store.set_away(true);
    sleep(Duration::from_secs(3)).await;
    store.set_away(false);
    // The follower detects the return with its next call, at the latest after MAX_LAG.
    sleep(vanishes_after).await;
    store.remove("engine-a-0");
    sleep(observed_after).await;
    ids(&follower)
}

/// Live upstreams that the store dropped in an outage are listed again within 2 s of its return. An
/// upstream that is still missing then has left, even if it vanished shortly before. Guards against
/// a grace time that starts anew for each vanished upstream.
#[rstest]
#[case::at_once(Duration::from_millis(100), Duration::from_millis(800), 3)]
#[case::late_in_that_time(Duration::from_millis(1_500), Duration::from_millis(1_100), 2)]
#[case::after_it(Duration::from_millis(3_000), Duration::from_millis(300), 2)]
#[tokio::test(start_paused = true)]
async fn vanished_upstream_is_not_kept_beyond_the_grace_after_an_outage(
    #[case] vanishes_after: Duration,
    #[case] observed_after: Duration,
    #[case] listed: usize,
) {
    let ids = listed_after_return(vanishes_after, observed_after).await;

    assert_eq!(ids.len(), listed, "{ids:?}");
}

/// Removes an upstream or not, and then writes its entry and removes it, within the time for which
/// vanished upstreams are kept. A follower learns of the latter two at once, from the store or from a
/// peer; returns the entry that it uses after it.
async fn entry_after_outage(
    vanishes: bool,
    written: Upstream,
    from_peer: bool,
) -> Option<Arc<Upstream>> {
    let first = engine("engine-a-0", "a", 1);
    let (peer, store, scope) = start(&[first.clone(), engine("engine-b-0", "b", 2)]).await;
    let client = store.client();
    let metrics = Arc::new(Metrics::new(None));
    let told =
        Follower::start(&scope, Clock::default(), Arc::new(client.clone()), metrics, RECOVERY);
    sleep(MAX_LAG).await;
    store.set_away(true);
    sleep(Duration::from_secs(3)).await;
    store.set_away(false);
    sleep(MAX_LAG).await;
    if vanishes {
        store.remove(&first.id);
        sleep(MAX_LAG).await;
    }
    client.set_cut(from_peer);
    let observed = if from_peer { &told } else { &peer };
    assert!(observed.directory().upstream(&first.id).is_some(), "kept");
    store.list(written);
    store.remove(&first.id);
    sleep(MAX_LAG).await;
    if from_peer {
        told.update_upstreams(peer.update_since(told.version()).await.unwrap());
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(observed.version(), store.version());
    observed.directory().upstream(&first.id).cloned()
}

/// Guards against new work for an upstream that left, in place of one that an outage dropped.
#[rstest]
#[tokio::test(start_paused = true)]
async fn upstream_written_as_leaving_and_removed_at_once_is_not_kept(
    #[values(1, 5)] incarnation: u64,
    #[values(false, true)] vanishes: bool,
    #[values(false, true)] from_peer: bool,
) {
    let left = Upstream { leaving: true, incarnation, ..engine("engine-a-0", "a", 1) };

    let used = entry_after_outage(vanishes, left, from_peer).await;

    assert_eq!(used, None);
}

/// Live upstreams that the store drops after an outage are kept, with what they wrote last.
#[rstest]
#[tokio::test(start_paused = true)]
async fn upstream_written_as_ready_and_removed_at_once_is_kept_after_an_outage(
    #[values(1, 5)] incarnation: u64,
    #[values(false, true)] vanishes: bool,
) {
    let ready = Upstream { slots: 7, incarnation, ..engine("engine-a-0", "a", 1) };

    let used = entry_after_outage(vanishes, ready.clone(), false).await;

    assert_eq!(used.as_deref(), Some(&ready));
}

/// Half of a service leaves in good order, and the follower learns of it at once.
#[tokio::test(start_paused = true)]
async fn half_of_a_service_that_leaves_at_once_is_not_kept() {
    let numbers = 0..4;
    let listed: Vec<_> = numbers.map(|n| engine(&format!("engine-a-{n}"), "a", n)).collect();
    let (follower, store, _scope) = start(&listed).await;

    for upstream in &listed[..2] {
        store.list(Upstream { leaving: true, ..upstream.clone() });
        store.remove(&upstream.id);
    }
    sleep(MAX_LAG).await;

    assert_eq!(ids(&follower), ["engine-a-2", "engine-a-3"]);
}

/// The store lists a successor as leaving and removes it at once.
#[tokio::test(start_paused = true)]
async fn successor_written_as_leaving_and_removed_at_once_is_dropped() {
    let (follower, store, _scope) = start(&[engine("engine-a-0", "a", 1)]).await;
    follower.apply_successor(successor());
    sleep(Duration::from_millis(20)).await;

    store.list(Upstream { leaving: true, ..successor().upstream });
    store.remove("engine-a-0+");
    sleep(MAX_LAG).await;
    follower.apply_successor(successor());
    sleep(MAX_LAG).await;

    assert_eq!(ids(&follower), ["engine-a-0"]);
}

/// A listing of a peer lacks an upstream that has left; the changes that led to it arrive later.
#[tokio::test(start_paused = true)]
async fn changes_that_arrive_late_end_the_use_of_an_upstream_that_left() {
    let kept = engine("engine-a-0", "a", 1);
    let (follower, store, _scope) = start(&[kept.clone(), engine("engine-b-0", "b", 2)]).await;
    store.set_away(true);
    sleep(Duration::from_secs(3)).await;
    let known = follower.version();
    let later = |by| Version { revision: known.revision + by, ..known };
    let listing = Listing { version: later(3), upstreams: vec![engine("engine-b-0", "b", 2)] };
    follower.update_upstreams(Update::Listed(listing));
    sleep(MAX_LAG).await;
    let before = ids(&follower);

    let left = Upstream { leaving: true, ..kept.clone() };
    let changes = vec![Change::Set(left), Change::Removed(kept.id)];
    follower.update_upstreams(Update::Changed { version: later(2), changes });
    sleep(MAX_LAG).await;

    assert_eq!(before, ["engine-a-0", "engine-b-0"]);
    assert_eq!(ids(&follower), ["engine-b-0"]);
}

/// Event that affects the configuration of an entry VM.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A configuration with this number is stored; numbers come in any order.
    Stored(u64),
    /// A peer offers a configuration with this number.
    Offered(u64),
    /// The store becomes unreachable or reachable.
    Unreachable(bool),
    /// The store compacts its history.
    HistoryCompacted,
    /// This number of milliseconds passes.
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..40).prop_map(Step::Stored),
        (1_u64..40).prop_map(Step::Offered),
        any::<bool>().prop_map(Step::Unreachable),
        Just(Step::HistoryCompacted),
        (1_u64..900).prop_map(Step::Wait),
    ]
}

/// Runs the steps; returns the numbers of the configurations that were in force, in order.
async fn run(steps: &[Step]) -> Vec<u64> {
    let (follower, store, scope) = start(&[]).await;
    let mut routes = follower.watch_routes();
    let in_force = Arc::new(Mutex::new(vec![routes.borrow_and_update().number()]));
    let recorded = in_force.clone();
    scope.spawn(async move {
        while routes.changed().await.is_ok() {
            recorded.lock().unwrap().push(routes.borrow_and_update().number());
        }
    });
    for step in steps {
        match step {
            Step::Stored(number) => store.configure(configuration(*number)),
            Step::Offered(number) => follower.update_routes(Table::from(configuration(*number))),
            Step::Unreachable(unreachable) => store.set_away(*unreachable),
            Step::HistoryCompacted => store.compact(),
            Step::Wait(ms) => sleep(Duration::from_millis(*ms)).await,
        }
    }
    store.set_away(false);
    store.configure(configuration(50));
    sleep(Duration::from_secs(30)).await;
    in_force.lock().unwrap().clone()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, ..ProptestConfig::default() })]

    #[test]
    fn configuration_never_reverts_and_the_newest_comes_in_force(
        steps in proptest::collection::vec(step(), 1..30),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();

        let in_force = runtime.block_on(run(&steps));

        prop_assert!(in_force.windows(2).all(|pair| pair[0] < pair[1]), "{:?}", in_force);
        prop_assert_eq!(in_force.last(), Some(&50));
    }
}

/// Runs for `seconds` with five new upstreams a second. `relay_heard` returns for each second
/// whether the VMs that watch the store are heard. Returns the number of calls of the store.
async fn run_with_changes(
    role: Role,
    seconds: u64,
    relay_heard: impl Fn(u64) -> bool,
) -> (u64, Follower) {
    let (follower, store, _scope) = start(&[]).await;
    follower.set_role(role);
    let before = store.calls();
    for tick in 0..seconds * 5 {
        store.list(engine(&format!("engine-{tick}"), "a", (tick % 200) as u8));
        if relay_heard(tick / 5) {
            follower.record_relay_contact();
        }
        sleep(Duration::from_millis(200)).await;
    }
    (store.calls() - before, follower)
}

/// Load: engines that crash and restart all day. Each change ends a watch, and each watch costs a
/// call. Guards against VMs that watch the store although they learn changes from others.
#[rstest]
#[case::relay(Role::Relay, 60..=160)]
#[case::deputy(Role::Deputy, 15..=25)]
#[case::relayed(Role::Relayed, 1..=5)]
#[tokio::test(start_paused = true)]
async fn store_calls_depend_on_the_role_while_the_relay_is_heard(
    #[case] role: Role,
    #[case] calls: std::ops::RangeInclusive<u64>,
) {
    let (calls_made, _) = run_with_changes(role, 30, |_| true).await;

    assert!(calls.contains(&calls_made), "{calls_made} calls");
}

/// Load: the relay of a zone is lost, frozen or cut off while engines change. Guards against
/// changes of upstreams, such as leaving, that a relayed VM learns too late.
#[tokio::test(start_paused = true)]
async fn relayed_vm_watches_the_store_itself_soon_after_the_relay_is_lost() {
    let (_, follower) = run_with_changes(Role::Relayed, 4, |second| second < 2).await;

    let known_upstreams = follower.directory().len();

    // Five upstreams are listed a second for 4 s, and the relay is silent for the last 2 s: the
    // changes of at most half a second may be missing.
    assert!(known_upstreams >= 17, "{known_upstreams} of 20 upstreams known");
}

#[tokio::test(start_paused = true)]
async fn relayed_vm_detects_an_outage_during_a_pause() {
    let (follower, store, _scope) = start(&[engine("engine-a-0", "a", 1)]).await;
    follower.set_role(Role::Relayed);
    for _ in 0..20 {
        follower.record_relay_contact();
        sleep(Duration::from_millis(400)).await;
    }

    store.set_away(true);
    for _ in 0..5 {
        follower.record_relay_contact();
        sleep(Duration::from_millis(400)).await;
    }

    assert!(follower.is_store_unreachable());
}

/// Load: a configuration that grew by a thousand routes, among a hundred entry VMs with slow links.
/// The VMs that watch the upstreams for others could not send it to all in time.
#[tokio::test(start_paused = true)]
async fn relayed_vm_reads_configurations_from_the_store() {
    let (follower, store, _scope) = start(&[]).await;
    follower.set_role(Role::Relayed);
    let mut max_delay = Duration::ZERO;

    for number in 1..=20 {
        store.configure(configuration(number));
        follower.record_relay_contact();
        let stored = tokio::time::Instant::now();
        let mut routes = follower.watch_routes();
        routes.wait_for(|table| table.number() == number).await.unwrap();
        max_delay = max_delay.max(stored.elapsed());
        sleep(Duration::from_millis(400)).await;
    }

    assert!(max_delay <= MAX_LAG, "{max_delay:?}");
}

/// Guards against logs that can't tell a stale configuration from a request that none allows.
#[tokio::test(start_paused = true)]
async fn age_of_the_configuration_and_of_the_store_s_last_word_on_it_are_known() {
    let (follower, store, _scope) = start(&[]).await;
    store.configure(configuration(1));
    sleep(MAX_LAG).await;
    let written = store.version();

    store.list(engine("engine-a-0", "a", 1));
    sleep(Duration::from_secs(5)).await;
    let waiting = follower.configuration_age();
    sleep(Duration::from_secs(20)).await;
    let answered = follower.configuration_age();

    assert_eq!(waiting.store, written);
    assert!(waiting.store_age_ms >= 5_000 && waiting.age_ms == waiting.store_age_ms, "{waiting:?}");
    assert_eq!(answered.store, store.version());
    assert!(answered.store_age_ms < 20_000 && answered.age_ms > 25_000, "{answered:?}");
}
