//! What an entry VM takes from the store and from peers, and what it keeps.

use proptest::prelude::*;
use quetzaltiller::clock::Clock;
use quetzaltiller::fleet::Upstream;
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

/// Changes of the store are followed within this time.
const FOLLOWED: Duration = Duration::from_millis(500);

async fn start(listed: &[Upstream]) -> (Follower, ControlStore, Scope) {
    quetzaltiller::logs::stop();
    let (store, scope) = (ControlStore::default(), Scope::default());
    listed.iter().for_each(|upstream| store.list(upstream.clone()));
    let metrics = Arc::new(Metrics::new(None));
    let follower = Follower::start(&scope, Clock::default(), Arc::new(store.clone()), metrics);
    sleep(FOLLOWED).await;
    (follower, store, scope)
}

fn successor() -> Successor {
    Successor { lost: "engine-a-0".to_owned(), upstream: engine("engine-a-0+", "a", 1) }
}

fn ids(follower: &Follower) -> Vec<String> {
    follower.directory().upstreams().map(|upstream| upstream.id.clone()).collect()
}

#[tokio::test(start_paused = true)]
async fn a_successor_is_used_until_the_store_should_have_listed_it() {
    let (follower, _store, _scope) = start(&[engine("engine-a-0", "a", 1)]).await;

    follower.apply_successor(successor());
    sleep(FOLLOWED).await;
    let used = ids(&follower);
    sleep(Duration::from_secs(4)).await;

    assert_eq!(used, ["engine-a-0+"]);
    assert_eq!(ids(&follower), ["engine-a-0"]);
}

/// The store has listed the successor and removed it, as it leaves without a word; a peer that has
/// seen neither still tells of it.
#[tokio::test(start_paused = true)]
async fn a_successor_that_has_left_is_not_taken_from_a_peer_again() {
    let (follower, store, _scope) = start(&[engine("engine-a-0", "a", 1)]).await;

    store.list(successor().upstream);
    sleep(FOLLOWED).await;
    store.remove("engine-a-0+");
    sleep(FOLLOWED).await;
    follower.apply_successor(successor());
    sleep(FOLLOWED).await;

    assert_eq!(ids(&follower), ["engine-a-0"]);
}

/// The same where the store told of both at once.
#[tokio::test(start_paused = true)]
async fn a_successor_that_left_as_soon_as_it_was_listed_is_forgotten() {
    let (follower, store, _scope) = start(&[engine("engine-a-0", "a", 1)]).await;

    follower.apply_successor(successor());
    store.list(engine("engine-b-0", "b", 2));
    sleep(Duration::from_millis(20)).await;
    store.list(successor().upstream);
    store.remove("engine-a-0+");
    sleep(FOLLOWED).await;

    assert_eq!(ids(&follower), ["engine-a-0", "engine-b-0"]);
}

/// What an entry VM lists so long after an upstream vanished that lived when the store came back.
async fn listed_after_return(vanishes_after: Duration, then: Duration) -> Vec<String> {
    let listed = [engine("engine-a-0", "a", 1), engine("engine-b-0", "b", 2)];
    let (follower, store, _scope) =
        start(&[&listed[..], &[engine("engine-c-0", "c", 3)]].concat()).await;
    store.set_away(true);
    sleep(Duration::from_secs(3)).await;
    store.set_away(false);
    // Noticed with the next try, at the latest after FOLLOWED.
    sleep(vanishes_after).await;
    store.remove("engine-a-0");
    sleep(then).await;
    ids(&follower)
}

/// Upstreams that lapsed with the store are listed again within 2 s of its return; what is still missing
/// then has left, also where it vanished shortly before.
#[rstest]
#[case::at_once(Duration::from_millis(100), Duration::from_millis(800), 3)]
#[case::late_in_that_time(Duration::from_millis(1_500), Duration::from_millis(1_100), 2)]
#[case::after_it(Duration::from_millis(3_000), Duration::from_millis(300), 2)]
#[tokio::test(start_paused = true)]
async fn an_upstream_that_vanishes_is_kept_no_longer_than_those_that_lapsed_may_take(
    #[case] vanishes_after: Duration,
    #[case] then: Duration,
    #[case] listed: usize,
) {
    let ids = listed_after_return(vanishes_after, then).await;

    assert_eq!(ids.len(), listed, "{ids:?}");
}

/// Something that may happen to the configuration that an entry VM follows.
#[derive(Clone, Copy, Debug)]
enum Turn {
    /// The store gets a configuration; numbers come in any order.
    Stored(u64),
    /// A peer offers one.
    Offered(u64),
    /// The store is away, or back.
    Away(bool),
    /// The store forgets its history.
    Forgotten,
    /// Time passes.
    Wait(u64),
}

fn turn() -> impl Strategy<Value = Turn> {
    prop_oneof![
        (1_u64..40).prop_map(Turn::Stored),
        (1_u64..40).prop_map(Turn::Offered),
        any::<bool>().prop_map(Turn::Away),
        Just(Turn::Forgotten),
        (1_u64..900).prop_map(Turn::Wait),
    ]
}

/// Plays turns; returns the numbers that were in force one after the other.
async fn play(turns: &[Turn]) -> Vec<u64> {
    let (follower, store, scope) = start(&[]).await;
    let mut routes = follower.watch_routes();
    let seen = Arc::new(Mutex::new(vec![routes.borrow_and_update().number()]));
    let noted = seen.clone();
    scope.spawn(async move {
        while routes.changed().await.is_ok() {
            noted.lock().unwrap().push(routes.borrow_and_update().number());
        }
    });
    for turn in turns {
        match turn {
            Turn::Stored(number) => store.configure(configuration(*number)),
            Turn::Offered(number) => follower.update_routes(Table::from(configuration(*number))),
            Turn::Away(away) => store.set_away(*away),
            Turn::Forgotten => store.compact(),
            Turn::Wait(ms) => sleep(Duration::from_millis(*ms)).await,
        }
    }
    store.set_away(false);
    store.configure(configuration(50));
    sleep(Duration::from_secs(30)).await;
    seen.lock().unwrap().clone()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, ..ProptestConfig::default() })]

    #[test]
    fn a_configuration_never_goes_back_and_the_newest_comes_in_force(
        turns in proptest::collection::vec(turn(), 1..30),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();

        let seen = runtime.block_on(play(&turns));

        prop_assert!(seen.windows(2).all(|pair| pair[0] < pair[1]), "{:?}", seen);
        prop_assert_eq!(seen.last(), Some(&50));
    }
}

/// Plays `seconds` in which an upstream changes five times a second, and those that watch the store are
/// heard while `heard` says so; returns the calls of the store.
async fn changing(role: Role, seconds: u64, heard: impl Fn(u64) -> bool) -> (u64, Follower) {
    let (follower, store, _scope) = start(&[]).await;
    follower.set_role(role);
    let before = store.calls();
    for tick in 0..seconds * 5 {
        store.list(engine(&format!("engine-{tick}"), "a", (tick % 200) as u8));
        if heard(tick / 5) {
            follower.record_relay_contact();
        }
        sleep(Duration::from_millis(200)).await;
    }
    (store.calls() - before, follower)
}

/// Load: engines that crash and restart all day. Each change ends a watch, and each watch is paid for.
#[rstest]
#[case::relay(Role::Relay, 60..=160)]
#[case::deputy(Role::Deputy, 15..=25)]
#[case::relayed(Role::Relayed, 1..=5)]
#[tokio::test(start_paused = true)]
async fn who_is_told_by_others_watches_the_store_seldom(
    #[case] role: Role,
    #[case] calls: std::ops::RangeInclusive<u64>,
) {
    let (called, _) = changing(role, 30, |_| true).await;

    assert!(calls.contains(&called), "{called} calls");
}

/// Load: the relay of a zone is gone, frozen or cut off; its engines leave meanwhile.
#[tokio::test(start_paused = true)]
async fn who_hears_no_relay_watches_the_store_itself_within_the_bound_of_leaving_upstreams() {
    let (_, follower) = changing(Role::Relayed, 4, |second| second < 2).await;

    let known = follower.directory().len();

    // Listed 5 a second for 4 s, the relay silent for the last 2: half a second is gathered at most.
    assert!(known >= 17, "{known} of 20 upstreams known");
}

#[tokio::test(start_paused = true)]
async fn who_rests_notices_that_the_store_is_away() {
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

/// Load: a configuration that grew by a thousand routes, among a hundred entry VMs with thin links. Those
/// that watch the upstreams for others could not tell it to all in time.
#[tokio::test(start_paused = true)]
async fn who_is_told_of_upstreams_takes_configurations_from_the_store() {
    let (follower, store, _scope) = start(&[]).await;
    follower.set_role(Role::Relayed);
    let mut longest = Duration::ZERO;

    for number in 1..=20 {
        store.configure(configuration(number));
        follower.record_relay_contact();
        let stored = tokio::time::Instant::now();
        let mut routes = follower.watch_routes();
        routes.wait_for(|table| table.number() == number).await.unwrap();
        longest = longest.max(stored.elapsed());
        sleep(Duration::from_millis(400)).await;
    }

    assert!(longest <= FOLLOWED, "{longest:?}");
}
