//! Directory of upstreams: updates for peers that know an earlier version.

use proptest::prelude::*;
use quetzaltiller::control::Version;
use quetzaltiller::fleet::{Change, Directory, History, Listing, Update, Upstream};
use rstest::rstest;
use standin::site::engine;

/// Number of upstreams that are added, changed and removed.
const UPSTREAMS: u8 = 6;

/// Event from the store.
#[derive(Clone, Debug)]
enum StoreEvent {
    /// Changes, each as an upstream's number and whether it is listed; its address and whether it is
    /// leaving change each time.
    Changes(Vec<(u8, bool)>),
    /// Listing of all upstreams after these changes, which the store did not report.
    Listing(Vec<(u8, bool)>),
}

fn event() -> impl Strategy<Value = StoreEvent> {
    let changes = || prop::collection::vec((0..UPSTREAMS, any::<bool>()), 0..4);
    prop_oneof![
        6 => changes().prop_map(StoreEvent::Changes),
        1 => changes().prop_map(StoreEvent::Listing),
    ]
}

fn version(revision: u64) -> Version {
    Version { era: 0, revision }
}

/// Applies the events; returns the directory at each version and the history at the end.
fn run(events: &[StoreEvent]) -> (Vec<Directory>, History) {
    let (mut directory, mut history) = (Directory::default(), History::default());
    let mut states = vec![directory.clone()];
    for (revision, event) in (1..).zip(events) {
        let change = |(number, present): &(u8, bool)| {
            let id = format!("engine-{number}");
            let (address, leaving) = ((revision % 200) as u8, revision % 2 == 0);
            let upstream = Upstream { leaving, ..engine(&id, "a", address) };
            if *present { Change::Set(upstream) } else { Change::Removed(id) }
        };
        match event {
            StoreEvent::Changes(changes) => {
                let changes: Vec<_> = changes.iter().map(change).collect();
                history.record(version(revision), &changes);
                directory.apply(version(revision), changes);
            }
            StoreEvent::Listing(changes) => {
                let mut later = directory.clone();
                later.apply(version(revision), changes.iter().map(change).collect());
                history.reset(version(revision));
                directory.replace(later.listing());
            }
        }
        states.push(directory.clone());
    }
    (states, history)
}

fn apply_update(directory: &mut Directory, update: Update) {
    match update {
        Update::Changed { version, changes } => directory.apply(version, changes),
        Update::Listed(listing) => directory.replace(listing),
    };
}

proptest! {
    #[test]
    fn update_brings_a_peer_from_any_version_to_the_newest(
        events in prop::collection::vec(event(), 1..30),
        at in any::<prop::sample::Index>(),
    ) {
        let (states, history) = run(&events);
        let newest = states.last().unwrap();
        let mut peer = states[at.index(states.len())].clone();

        let update = history.since(peer.version(), newest);
        prop_assert_eq!(update.is_none(), peer.version() == newest.version());
        if let Some(update) = update {
            apply_update(&mut peer, update);
        }

        prop_assert_eq!(peer.listing(), newest.listing());
    }
}

/// Load: 3,000 upstreams, one change each fifth of a second, and updates to 75 entry VMs. Guards
/// against updates that list all upstreams.
#[test]
fn peer_that_misses_one_change_gets_only_that_change() {
    let (mut directory, mut history) = (Directory::default(), History::default());
    let upstreams = (0..3_000).map(|n| engine(&format!("engine-{n}"), "a", 1)).collect();
    directory.replace(Listing { version: version(1), upstreams });
    history.reset(version(1));
    let change = vec![Change::Removed("engine-7".to_owned())];
    history.record(version(2), &change);
    directory.apply(version(2), change.clone());

    let update = history.since(version(1), &directory);

    assert_eq!(update, Some(Update::Changed { version: version(2), changes: change }));
}

/// Guards against peers that take an upstream which left for one that an outage dropped.
#[rstest]
#[case::neither_change(1, vec![true, false])]
#[case::that_it_was_leaving(2, vec![false])]
fn peer_learns_that_a_removed_upstream_was_leaving_unless_it_knows(
    #[case] known: u64,
    #[case] told: Vec<bool>,
) {
    let (mut directory, mut history) = (Directory::default(), History::default());
    let upstream = engine("engine-7", "a", 1);
    directory.replace(Listing { version: version(1), upstreams: vec![upstream.clone()] });
    history.reset(version(1));
    let leaving = Change::Set(Upstream { leaving: true, ..upstream });
    let removed = Change::Removed("engine-7".to_owned());
    for (revision, change) in [(2, &leaving), (3, &removed)] {
        history.record(version(revision), std::slice::from_ref(change));
        directory.apply(version(revision), vec![change.clone()]);
    }

    let update = history.since(version(known), &directory);

    let change = |was_leaving| if was_leaving { leaving.clone() } else { removed.clone() };
    let changes = told.into_iter().map(change).collect();
    assert_eq!(update, Some(Update::Changed { version: version(3), changes }));
}
