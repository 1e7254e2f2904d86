//! What an entry VM takes from the store and from peers, and what it keeps.

use quetzaltiller::clock::Clock;
use quetzaltiller::fleet::Upstream;
use quetzaltiller::follower::Follower;
use quetzaltiller::metrics::Metrics;
use quetzaltiller::placement::Successor;
use quetzaltiller::scope::Scope;
use standin::control::ControlStore;
use standin::site::engine;
use std::sync::Arc;
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

    follower.succeed(successor());
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
    follower.succeed(successor());
    sleep(FOLLOWED).await;

    assert_eq!(ids(&follower), ["engine-a-0"]);
}

/// The same where the store told of both at once.
#[tokio::test(start_paused = true)]
async fn a_successor_that_left_as_soon_as_it_was_listed_is_forgotten() {
    let (follower, store, _scope) = start(&[engine("engine-a-0", "a", 1)]).await;

    follower.succeed(successor());
    store.list(engine("engine-b-0", "b", 2));
    sleep(Duration::from_millis(20)).await;
    store.list(successor().upstream);
    store.remove("engine-a-0+");
    sleep(FOLLOWED).await;

    assert_eq!(ids(&follower), ["engine-a-0", "engine-b-0"]);
}
