//! The store returns from an older copy in a newer era: configurations, upstreams and announcements.

use proptest::prelude::*;
use quetzaltiller::clock::Clock;
use quetzaltiller::control::Version;
use quetzaltiller::fleet::{Change, Listing, Update, Upstream};
use quetzaltiller::follower::{Follower, Role};
use quetzaltiller::metrics::Metrics;
use quetzaltiller::routes::Table;
use quetzaltiller::scope::Scope;
use rstest::rstest;
use standin::control::ControlStore;
use standin::site::{Site, ZONES, configuration, engine, replica, request};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// Time after an outage of the store in which it has to be followed again.
const RECOVERY: Duration = Duration::from_secs(3);
/// Time within which a change in the store reaches a follower.
const MAX_LAG: Duration = Duration::from_millis(500);
/// Age of the copy from which the store returns.
const COPY_AGE: Duration = Duration::from_secs(5);
/// Time within which live upstreams are listed again, with the lag of the listing.
const GRACE: Duration = Duration::from_millis(2_500);

fn follow(client: &ControlStore, scope: &Scope) -> Follower {
    quetzaltiller::logs::stop();
    let metrics = Arc::new(Metrics::new(None));
    Follower::start(scope, Clock::default(), Arc::new(client.clone()), metrics, RECOVERY)
}

/// Starts a follower of a store that lists engines 0 to 3, and waits until the store has a copy of
/// them that is older than [`COPY_AGE`].
async fn start() -> (Follower, ControlStore, Scope) {
    let (store, scope) = (ControlStore::default(), Scope::default());
    store.configure(configuration(1));
    (0..4).for_each(|number| store.list(listed(number)));
    let follower = follow(&store.client(), &scope);
    sleep(COPY_AGE + MAX_LAG).await;
    (follower, store, scope)
}

fn listed(number: u8) -> Upstream {
    engine(&format!("engine-{number}"), "a", number)
}

fn leaving(number: u8) -> Upstream {
    Upstream { leaving: true, ..listed(number) }
}

fn ids(follower: &Follower) -> Vec<String> {
    follower.directory().upstreams().map(|upstream| upstream.id.clone()).collect()
}

/// The copy is older than the last five changes, so its revisions are lower than the follower's
/// until five more are written.
#[tokio::test(start_paused = true)]
async fn upstreams_are_followed_before_revisions_have_caught_up() {
    let (follower, store, _scope) = start().await;
    for _ in 0..5 {
        store.list(Upstream { slots: 7, ..listed(0) });
        sleep(MAX_LAG).await;
    }

    store.drill(Duration::from_secs(3), None);
    sleep(GRACE).await;
    store.list(listed(9));
    sleep(MAX_LAG).await;

    assert_eq!(follower.version(), store.version());
    assert_eq!(ids(&follower), ["engine-0", "engine-1", "engine-2", "engine-3", "engine-9"]);
}

/// The store writes as many changes after the drill as the copy lacks before anybody watches again:
/// the same revision names two states.
#[tokio::test(start_paused = true)]
async fn changes_of_two_eras_are_not_joined_under_one_revision() {
    let (follower, store, _scope) = start().await;
    store.list(listed(4));
    store.list(listed(5));
    sleep(MAX_LAG).await;

    store.drill(COPY_AGE, None);
    store.list(listed(6));
    store.remove("engine-3");
    store.list(listed(7));
    sleep(GRACE + MAX_LAG).await;

    let expected = ["engine-0", "engine-1", "engine-2", "engine-6", "engine-7"];
    assert_eq!(ids(&follower), expected);
}

/// Answers and peers' updates of an older era arrive after the listing of the newer one.
#[rstest]
#[case::changes(Update::Changed {
    version: Version { era: 0, revision: 90 },
    changes: vec![Change::Removed("engine-0".into()), Change::Set(listed(8))],
})]
#[case::listing(Update::Listed(Listing {
    version: Version { era: 0, revision: 90 },
    upstreams: vec![listed(8)],
}))]
#[tokio::test(start_paused = true)]
async fn an_update_of_an_older_era_changes_nothing(#[case] update: Update) {
    let (follower, store, _scope) = start().await;
    store.drill(COPY_AGE, None);
    sleep(GRACE).await;
    let before = ids(&follower);

    follower.update_upstreams(update);
    sleep(MAX_LAG).await;

    assert_eq!(ids(&follower), before);
    assert_eq!(follower.version(), store.version());
}

/// A peer of a newer era sends changes, which begin in a state that the follower does not have.
#[tokio::test(start_paused = true)]
async fn changes_of_a_newer_era_wait_for_a_listing() {
    let (follower, store, _scope) = start().await;

    let version = Version { era: 3, revision: 90 };
    let changes = vec![Change::Removed("engine-0".into())];
    follower.update_upstreams(Update::Changed { version, changes });
    sleep(MAX_LAG).await;

    assert_eq!(follower.version(), store.version());
    assert_eq!(ids(&follower).len(), 4);
}

/// The JSON of members that don't know of eras.
#[test]
fn an_update_without_an_era_is_one_of_era_0() {
    let json = r#"{ "changed": { "revision": 7, "changes": [{ "removed": "engine-0" }] } }"#;

    let update: Update = serde_json::from_str(json).unwrap();

    let changes = vec![Change::Removed("engine-0".into())];
    let version = Version { era: 0, revision: 7 };
    assert_eq!(update, Update::Changed { version, changes });
}

#[rstest]
#[case::lower_in_the_copy(1, 1, 7)]
#[case::the_same_again(1, 7, 7)]
#[case::higher(1, 8, 8)]
#[tokio::test(start_paused = true)]
async fn the_highest_configuration_is_in_force_whatever_its_era(
    #[case] copied: u64,
    #[case] written: u64,
    #[case] expected: u64,
) {
    let (follower, store, _scope) = start().await;
    store.configure(configuration(7));
    sleep(MAX_LAG).await;

    store.drill(Duration::from_secs(3), None);
    assert_eq!(store.configured(), copied);
    sleep(MAX_LAG).await;
    let in_gap = follower.routes().number();
    store.configure(configuration(written));
    sleep(GRACE).await;

    assert_eq!((in_gap, follower.routes().number()), (7, expected));
}

/// The configuration is written after the drill, under a revision that the follower has passed.
#[tokio::test(start_paused = true)]
async fn a_configuration_under_a_revision_given_out_again_is_not_missed() {
    let (follower, store, _scope) = start().await;
    store.list(listed(4));
    store.list(listed(5));
    sleep(MAX_LAG).await;

    store.drill(COPY_AGE, None);
    store.configure(configuration(9));
    (4..8).for_each(|number| store.list(listed(number)));
    sleep(GRACE).await;

    assert_eq!(follower.routes().number(), 9);
}

/// All upstreams of the copy are alive; two more are alive or have ended with the store away.
#[rstest]
#[case::written_again(Some(Duration::from_millis(1_200)), 6)]
#[case::gone(None, 4)]
#[tokio::test(start_paused = true)]
async fn upstreams_that_the_copy_lacks_are_kept_for_a_time(
    #[case] rewrite: Option<Duration>,
    #[case] expected: usize,
) {
    let (follower, store, _scope) = start().await;
    store.list(listed(4));
    store.list(replica("desk-5", "a", 5));
    sleep(MAX_LAG).await;

    store.drill(COPY_AGE, rewrite);
    sleep(Duration::from_millis(1_000)).await;
    let in_grace = follower.directory().len();
    sleep(GRACE).await;

    assert_eq!((in_grace, follower.directory().len()), (6, expected));
}

/// Upstream 1 has left and upstream 2 is leaving; the copy lists both as if nothing had happened.
#[tokio::test(start_paused = true)]
async fn upstreams_that_had_left_are_not_used_when_the_copy_brings_them_back() {
    let (follower, store, _scope) = start().await;
    store.remove("engine-1");
    store.list(leaving(2));
    sleep(MAX_LAG).await;

    store.drill(COPY_AGE, None);
    sleep(GRACE).await;

    let directory = follower.directory();
    assert_eq!(follower.version(), store.version());
    assert_eq!(ids(&follower), ["engine-0", "engine-2", "engine-3"]);
    assert!(directory.upstream("engine-2").is_some_and(|upstream| upstream.leaving));
}

/// They leave the store again within the time for which upstreams that vanish are kept.
#[tokio::test(start_paused = true)]
async fn a_disputed_upstream_that_vanishes_is_not_kept() {
    let (follower, store, _scope) = start().await;
    store.remove("engine-1");
    store.list(leaving(2));
    sleep(Duration::from_millis(100)).await;
    store.remove("engine-2");
    sleep(MAX_LAG).await;

    store.drill(COPY_AGE, Some(Duration::from_millis(700)));
    let mut used = Vec::new();
    for _ in 0..30 {
        sleep(Duration::from_millis(100)).await;
        used.push(ids(&follower));
    }

    assert_eq!(store.listed().len(), 2);
    assert!(used.iter().all(|ids| *ids == ["engine-0", "engine-3"]), "{used:?}");
}

/// The copy lists upstream 2, which had left or was leaving, as ready. Its process writes its entry
/// again and is removed, and the follower learns of both at once.
#[rstest]
#[case::gone_and_leaving_again(None, leaving(2))]
#[case::gone_and_ready_again(None, listed(2))]
#[case::leaving_again(Some(leaving(2)), leaving(2))]
#[case::ready_again(Some(leaving(2)), listed(2))]
#[case::leaving_since_a_later_start(
    Some(leaving(2)),
    Upstream { incarnation: 5, ..leaving(2) },
)]
#[tokio::test(start_paused = true)]
async fn a_disputed_upstream_that_is_written_and_removed_at_once_is_not_kept(
    #[case] known: Option<Upstream>,
    #[case] written: Upstream,
    #[values(false, true)] from_peer: bool,
) {
    let (follower, store, scope) = start().await;
    let client = store.client();
    let told = follow(&client, &scope);
    sleep(MAX_LAG).await;
    match known {
        Some(known) => store.list(known),
        None => store.remove("engine-2"),
    }
    sleep(MAX_LAG).await;
    store.drill(Duration::from_secs(3), None);
    sleep(MAX_LAG).await;
    let observed = if from_peer { &told } else { &follower };
    client.set_cut(from_peer);

    store.list(written);
    store.remove("engine-2");
    sleep(MAX_LAG).await;
    if from_peer {
        told.update_upstreams(follower.update_since(told.version()).await.unwrap());
    }
    let mut used = Vec::new();
    for _ in 0..30 {
        sleep(Duration::from_millis(50)).await;
        used.push(ids(observed));
    }

    assert_eq!(observed.version(), store.version());
    assert!(used.iter().all(|ids| *ids == ["engine-0", "engine-1", "engine-3"]), "{used:?}");
}

/// A later start of upstream 2 is listed and removed while the follower is cut off; the copy has it.
#[tokio::test(start_paused = true)]
async fn a_start_that_was_listed_and_removed_at_once_is_not_used_when_the_copy_brings_it_back() {
    let (_, store, scope) = start().await;
    let client = store.client();
    let follower = follow(&client, &scope);
    sleep(MAX_LAG).await;
    client.set_cut(true);
    store.list(Upstream { incarnation: 5, ..listed(2) });
    sleep(Duration::from_secs(1)).await;
    store.remove("engine-2");
    client.set_cut(false);
    sleep(COPY_AGE).await;

    store.drill(COPY_AGE + Duration::from_millis(500), None);
    sleep(GRACE).await;

    assert_eq!(store.listed().len(), 4);
    assert_eq!(follower.version(), store.version());
    assert_eq!(ids(&follower), ["engine-0", "engine-1", "engine-3"]);
}

/// They are used again when their own process has written its entry, or started anew.
#[rstest]
#[case::written_again(Upstream { slots: 9, ..listed(1) })]
#[case::started_again(Upstream { incarnation: 5, ..listed(1) })]
#[tokio::test(start_paused = true)]
async fn an_upstream_that_writes_again_is_used(#[case] written: Upstream) {
    let (follower, store, _scope) = start().await;
    store.remove("engine-1");
    sleep(MAX_LAG).await;
    store.drill(COPY_AGE, None);
    sleep(MAX_LAG).await;

    store.list(written);
    sleep(MAX_LAG).await;

    assert!(ids(&follower).contains(&"engine-1".to_owned()));
}

/// A second drill follows before the disputed upstream has left the store again.
#[tokio::test(start_paused = true)]
async fn a_disputed_upstream_stays_disputed_in_the_next_era() {
    let (follower, store, _scope) = start().await;
    store.remove("engine-1");
    sleep(MAX_LAG).await;
    store.drill(COPY_AGE, None);
    sleep(MAX_LAG).await;

    store.drill(Duration::from_millis(100), None);
    sleep(GRACE).await;

    assert_eq!(follower.version(), store.version());
    assert_eq!(ids(&follower), ["engine-0", "engine-2", "engine-3"]);
}

/// The address of an engine that has left was given to a replica of another service; the copy lists
/// the engine and not the replica.
#[tokio::test(start_paused = true)]
async fn a_reused_address_gets_nothing_of_the_service_that_the_copy_lists_there() {
    let site = Site::start(2).await;
    let former = site.fleet.listing().into_iter().find(|known| known.id == "engine-a-0").unwrap();
    sleep(COPY_AGE).await;
    site.fleet.crash("engine-a-0", false);
    site.store.remove("engine-a-0");
    let stranger = Upstream {
        id: "stranger".into(),
        service: "desk".into(),
        incarnation: 9,
        ..former.clone()
    };
    site.fleet.insert(stranger.clone(), 0);
    site.store.list(stranger);
    sleep(Duration::from_secs(1)).await;

    site.store.drill(Duration::from_secs(3), None);
    let mut used = Vec::new();
    for _ in 0..40 {
        sleep(Duration::from_millis(100)).await;
        for entry in &site.entries {
            used.push(entry.dump().await.upstreams.contains_key("engine-a-0"));
        }
    }

    assert!(site.store.listed().contains(&former));
    assert!(!used.contains(&true), "{used:?}");
}

/// An engine was taken off the list while it could not reach the store; the copy still lists it.
/// Its own process shows that it accepts work.
#[rstest]
#[case::accepts_work(false, true)]
#[case::leaving(true, false)]
#[tokio::test(start_paused = true)]
async fn a_disputed_engine_is_used_once_its_process_answers(
    #[case] departing: bool,
    #[case] used: bool,
) {
    let site = Site::start(2).await;
    sleep(COPY_AGE).await;
    site.fleet.change("engine-a-0", |node| node.departing = departing);
    site.store.remove("engine-a-0");
    sleep(MAX_LAG).await;

    site.store.drill(Duration::from_secs(3), None);
    sleep(GRACE).await;

    for entry in &site.entries {
        assert_eq!(entry.dump().await.upstreams.contains_key("engine-a-0"), used);
    }
}

/// Two entry VMs start while the store still has the older configuration, one of them in place of
/// one that was killed.
#[tokio::test(start_paused = true)]
async fn a_vm_that_starts_in_the_gap_gets_the_highest_configuration() {
    let mut site = Site::start(1).await;
    sleep(COPY_AGE).await;
    site.store.configure(configuration(7));
    sleep(Duration::from_secs(1)).await;

    site.store.drill(Duration::from_secs(3), None);
    site.lose_entry("a");
    site.join("a", 2);
    site.join("d", 1);
    sleep(Duration::from_secs(3)).await;

    assert_eq!(site.store.configured(), 1);
    let numbers: Vec<_> = site.entries.iter().map(|entry| entry.routes().number()).collect();
    assert_eq!(numbers, [7, 7, 7, 7]);
}

/// All entry VMs are killed in the gap: the number that was lost is not known to anybody. The older
/// configuration serves until the operator has written again.
#[tokio::test(start_paused = true)]
async fn after_a_restart_of_all_vms_in_the_gap_the_copy_serves_until_the_operator_writes() {
    let mut site = Site::start(1).await;
    sleep(COPY_AGE).await;
    site.store.configure(configuration(7));
    sleep(Duration::from_secs(1)).await;

    site.store.drill(Duration::from_secs(3), Some(Duration::from_secs(6)));
    ZONES.iter().for_each(|zone| site.lose_entry(zone));
    for zone in ZONES {
        site.join(zone, 2);
    }
    sleep(Duration::from_secs(3)).await;
    let numbers = |site: &Site| -> Vec<_> {
        site.entries.iter().map(|entry| entry.routes().number()).collect()
    };
    let in_gap = numbers(&site);
    sleep(Duration::from_secs(4)).await;

    assert_eq!((in_gap, numbers(&site)), (vec![1, 1, 1], vec![7, 7, 7]));
}

/// Counts of the calls of the store in the first seconds of a new era.
struct Calls {
    /// Highest number of calls of one entry VM.
    max: u64,
    /// Number of calls of all entry VMs.
    total: u64,
    /// Number of announcements.
    announcements: usize,
}

/// Starts `count` entry VMs, drills the store, and counts calls in the 2 s after its return.
async fn calls_after_a_drill(count: usize) -> (Calls, Site) {
    let mut site = Site::start(3).await;
    for number in ZONES.len()..count {
        site.join_as(&format!("entry-{number}"), ZONES[number % ZONES.len()]);
    }
    sleep(Duration::from_secs(20)).await;
    site.store.set_away(true);
    sleep(Duration::from_millis(800)).await;
    let before: Vec<_> = site.clients.values().map(ControlStore::own_calls).collect();
    let announced = site.store.announcements().len();

    site.store.drill(Duration::from_secs(60), Some(Duration::from_millis(500)));
    site.store.set_away(false);
    sleep(Duration::from_secs(2)).await;

    let made =
        site.clients.values().zip(before).map(|(client, before)| client.own_calls() - before);
    let made: Vec<_> = made.collect();
    let announcements = site.store.announcements().len() - announced;
    let calls = Calls {
        max: made.iter().copied().max().unwrap_or_default(),
        total: made.iter().sum(),
        announcements,
    };
    (calls, site)
}

/// Guards against entry VMs that all announce themselves, or list the upstreams, at the moment in
/// which the store returns.
#[rstest]
#[case::few(4, 12, 4)]
#[case::many(118, 12, 40)]
#[tokio::test(start_paused = true)]
async fn announcements_are_written_again_without_a_storm(
    #[case] count: usize,
    #[case] max_calls: u64,
    #[case] max_announcements: usize,
) {
    let (calls, site) = calls_after_a_drill(count).await;
    println!(
        "{count} entry VMs: {} calls in 2 s, {} of one, {} announcements",
        calls.total, calls.max, calls.announcements
    );
    sleep(Duration::from_millis(100) * count as u32).await;

    assert!(calls.max <= max_calls, "{} calls of one entry VM", calls.max);
    assert!(calls.announcements <= max_announcements, "{}", calls.announcements);
    assert_eq!(site.store.members_listed(), count);
}

/// Requests go on in a drill.
#[tokio::test(start_paused = true)]
async fn lookups_are_answered_throughout_a_drill() {
    let site = Site::start(2).await;
    sleep(COPY_AGE).await;
    let mut refused = 0;

    for number in 0..60 {
        if number == 10 {
            site.store.set_away(true);
        }
        if number == 20 {
            site.store.drill(COPY_AGE, Some(Duration::from_secs(1)));
            site.store.set_away(false);
        }
        let entry = site.entries[number % 3].clone();
        let reply = entry.proxy().handle(request(&format!("status-{number}"), "/status/1")).await;
        refused += usize::from(matches!(reply, quetzaltiller::proxy::Reply::Refused(_)));
        sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(refused, 0);
}

/// Event that affects a fleet of followers.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The operator writes the next configuration.
    Configured,
    /// An upstream writes its entry; `bool`: it is leaving.
    Listed(u8, bool),
    /// An upstream leaves the store.
    Removed(u8),
    /// An upstream writes that it is leaving and leaves the store.
    Left(u8),
    /// The store returns from a copy of this age in milliseconds.
    Drilled(u64),
    /// Answers of the store arrive this number of milliseconds after they were read.
    Late(u64),
    /// A follower is cut off from the store, or connected again.
    Cut(usize, bool),
    /// The store becomes unreachable or reachable.
    Away(bool),
    /// A follower gets what another one knows; with `bool`, only after the next step.
    Told(usize, usize, bool),
    /// This number of milliseconds passes.
    Wait(u64),
}

/// Number of followers; the last one rests while it hears of a relay.
const FOLLOWERS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::Configured),
        3 => (0_u8..6, any::<bool>()).prop_map(|(number, leaving)| Step::Listed(number, leaving)),
        2 => (0_u8..6).prop_map(Step::Removed),
        2 => (0_u8..6).prop_map(Step::Left),
        3 => (50_u64..4_000).prop_map(Step::Drilled),
        1 => (0_u64..1_500).prop_map(Step::Late),
        2 => (0..FOLLOWERS, any::<bool>()).prop_map(|(number, cut)| Step::Cut(number, cut)),
        1 => any::<bool>().prop_map(Step::Away),
        3 => (0..FOLLOWERS, 0..FOLLOWERS, any::<bool>())
            .prop_map(|(from, to, late)| Step::Told(from, to, late)),
        4 => (1_u64..900).prop_map(Step::Wait),
    ]
}

/// Events around drills, which affect two upstreams.
fn step_of_two() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..2, any::<bool>()).prop_map(|(number, leaving)| Step::Listed(number, leaving)),
        1 => (0_u8..2).prop_map(Step::Removed),
        5 => (0_u8..2).prop_map(Step::Left),
        4 => (50_u64..1_500).prop_map(Step::Drilled),
        1 => (0_usize..2, any::<bool>()).prop_map(|(number, cut)| Step::Cut(number, cut)),
        1 => (0..FOLLOWERS, 0..FOLLOWERS).prop_map(|(from, to)| Step::Told(from, to, false)),
        14 => (1_u64..700).prop_map(Step::Wait),
    ]
}

/// Versions of the upstreams and numbers of the configuration that a follower had, in order.
type Course = Arc<Mutex<(Vec<Version>, Vec<u64>)>>;

fn record(follower: &Follower, scope: &Scope) -> Course {
    let course = Course::default();
    let (recorded, follower) = (course.clone(), follower.clone());
    scope.spawn(async move {
        let (mut directory, mut routes) = (follower.watch_directory(), follower.watch_routes());
        loop {
            recorded.lock().unwrap().0.push(follower.version());
            recorded.lock().unwrap().1.push(routes.borrow_and_update().number());
            directory.borrow_and_update();
            let changed = tokio::select! {
                changed = directory.changed() => changed,
                changed = routes.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    });
    course
}

/// Entry of an upstream that a follower published, and the number of entries written until then.
type Use = (usize, Arc<Upstream>);

/// Records the entries that a follower publishes, in order.
fn record_uses(follower: &Follower, store: &ControlStore, scope: &Scope) -> Arc<Mutex<Vec<Use>>> {
    let uses = Arc::<Mutex<Vec<Use>>>::default();
    let (recorded, store) = (uses.clone(), store.clone());
    let mut directories = follower.watch_directory();
    scope.spawn(async move {
        while directories.changed().await.is_ok() {
            let (directory, written) = (directories.borrow_and_update().clone(), store.written());
            let published = directory.upstreams().map(|upstream| (written.len(), upstream.clone()));
            recorded.lock().unwrap().extend(published);
        }
    });
    uses
}

/// First use of an upstream that the follower knew as leaving and that has not been written as ready
/// since. Entries differ in their slots.
fn use_of_leaving(written: &[Upstream], uses: &[Use]) -> Option<Use> {
    let mut left_at: BTreeMap<&str, usize> = BTreeMap::new();
    for (count, upstream) in uses {
        let known = left_at.entry(&upstream.id).or_default();
        if upstream.leaving {
            // A disputed upstream is published as leaving though its entry was not written so.
            let at = written.iter().position(|entry| entry == &**upstream);
            *known = at.map_or(*known, |at| (at + 1).max(*known));
        } else if *known > 0 {
            let mut since = written[*known..*count].iter();
            if !since.any(|entry| entry.id == upstream.id && !entry.leaving) {
                return Some((*count, upstream.clone()));
            }
        }
    }
    None
}

/// State of the fleet and the store at the end of a run.
struct End {
    store: (Version, BTreeMap<String, Upstream>),
    highest: u64,
    followers: Vec<(Version, BTreeMap<String, Upstream>, u64)>,
    courses: Vec<(Vec<Version>, Vec<u64>)>,
    uses_of_leaving: Vec<Use>,
}

async fn run(steps: &[Step]) -> End {
    let (store, scope) = (ControlStore::default(), Scope::default());
    let clients: Vec<_> = (0..FOLLOWERS).map(|_| store.client()).collect();
    let followers: Vec<_> = clients.iter().map(|client| follow(client, &scope)).collect();
    followers[FOLLOWERS - 1].set_role(Role::Relayed);
    let courses: Vec<_> = followers.iter().map(|follower| record(follower, &scope)).collect();
    let uses: Vec<_> = followers.iter().map(|f| record_uses(f, &store, &scope)).collect();
    let mut slots = 100;
    let mut write = |number, leaving| {
        slots += 1;
        store.list(Upstream { leaving, slots, ..listed(number) });
    };
    let mut highest = 1;
    let mut late: Vec<(usize, Option<Update>, Table)> = Vec::new();
    store.configure(configuration(highest));
    for step in steps {
        let arrived = std::mem::take(&mut late);
        match *step {
            Step::Configured => {
                highest += 1;
                store.configure(configuration(highest));
                // The bound holds for what an entry VM has known.
                sleep(Duration::from_millis(5)).await;
            }
            Step::Listed(number, leaving) => write(number, leaving),
            Step::Removed(number) => store.remove(&listed(number).id),
            Step::Left(number) => {
                write(number, true);
                store.remove(&listed(number).id);
            }
            Step::Drilled(age) => {
                store.drill(Duration::from_millis(age), Some(Duration::from_millis(900)));
            }
            Step::Late(ms) => store.set_answer_time(Duration::from_millis(ms)),
            Step::Cut(number, cut) => clients[number].set_cut(cut),
            Step::Away(away) => store.set_away(away),
            Step::Told(from, to, later) => {
                let update = followers[from].update_since(followers[to].version()).await;
                late.push((to, update, followers[from].routes().as_ref().clone()));
                if !later {
                    deliver(&followers, std::mem::take(&mut late));
                }
            }
            Step::Wait(ms) => sleep(Duration::from_millis(ms)).await,
        }
        deliver(&followers, arrived);
    }
    deliver(&followers, late);
    clients.iter().for_each(|client| client.set_cut(false));
    store.set_away(false);
    store.set_answer_time(Duration::ZERO);
    // The operator and the upstreams have written again what the drills have lost.
    sleep(Duration::from_secs(4)).await;
    highest += 1;
    store.configure(configuration(highest));
    (0..6).for_each(|number| write(number, false));
    sleep(Duration::from_secs(30)).await;
    let written = store.written();
    let uses_of_leaving =
        uses.iter().filter_map(|uses| use_of_leaving(&written, &uses.lock().unwrap())).collect();
    // All upstreams are alive and answer the checks of entry VMs.
    for follower in &followers {
        follower.disputed().into_iter().for_each(|upstream| follower.confirm(upstream));
    }
    sleep(MAX_LAG).await;
    let listing = |upstreams: Vec<Upstream>| {
        upstreams.into_iter().map(|upstream| (upstream.id.clone(), upstream)).collect()
    };
    let end = |follower: &Follower| {
        let upstreams = follower.directory().listing().upstreams;
        (follower.version(), listing(upstreams), follower.routes().number())
    };
    End {
        store: (store.version(), listing(store.listed())),
        highest,
        followers: followers.iter().map(end).collect(),
        courses: courses.iter().map(|course| course.lock().unwrap().clone()).collect(),
        uses_of_leaving,
    }
}

fn deliver(followers: &[Follower], told: Vec<(usize, Option<Update>, Table)>) {
    for (to, update, table) in told {
        if let Some(update) = update {
            followers[to].update_upstreams(update);
        }
        if table.number() > 0 {
            followers[to].update_routes(table);
        }
    }
}

/// Plays the steps and checks what the followers had on the way and have at the end.
fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();

    let end = runtime.block_on(run(steps));

    for (version, upstreams, number) in &end.followers {
        prop_assert_eq!((version, upstreams), (&end.store.0, &end.store.1));
        prop_assert_eq!(*number, end.highest);
    }
    for (versions, numbers) in &end.courses {
        prop_assert!(versions.windows(2).all(|pair| pair[0] <= pair[1]), "{:?}", versions);
        prop_assert!(numbers.windows(2).all(|pair| pair[0] <= pair[1]), "{:?}", numbers);
    }
    prop_assert!(end.uses_of_leaving.is_empty(), "{:?}", end.uses_of_leaving);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn all_followers_end_at_the_newest_state_and_none_goes_back(
        steps in prop::collection::vec(step(), 1..40),
    ) {
        check(&steps)?;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, ..ProptestConfig::default() })]

    #[test]
    fn no_follower_uses_an_upstream_that_it_knew_as_leaving(
        steps in prop::collection::vec(step_of_two(), 10..40),
    ) {
        check(&steps)?;
    }
}
