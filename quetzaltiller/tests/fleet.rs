//! The directory of upstreams: what a peer that is behind gets.

use proptest::prelude::*;
use quetzaltiller::fleet::{Change, Directory, History, Listing, Update};
use standin::site::engine;

/// Upstreams that come, change and go.
const UPSTREAMS: u8 = 6;

/// Something that the store tells.
#[derive(Clone, Debug)]
enum Told {
    /// Changes, as upstream and whether it is there, with another address each time.
    Changes(Vec<(u8, bool)>),
    /// All upstreams, after changes that were not told.
    Listing(Vec<(u8, bool)>),
}

fn told() -> impl Strategy<Value = Told> {
    let changes = || prop::collection::vec((0..UPSTREAMS, any::<bool>()), 0..4);
    prop_oneof![
        6 => changes().prop_map(Told::Changes),
        1 => changes().prop_map(Told::Listing),
    ]
}

/// Directories after each revision, and the history at the end.
fn play(told: &[Told]) -> (Vec<Directory>, History) {
    let (mut directory, mut history) = (Directory::default(), History::default());
    let mut states = vec![directory.clone()];
    for (revision, told) in (1..).zip(told) {
        let change = |(number, present): &(u8, bool)| {
            let id = format!("engine-{number}");
            let address = (revision % 200) as u8;
            if *present { Change::Set(engine(&id, "a", address)) } else { Change::Removed(id) }
        };
        match told {
            Told::Changes(changes) => {
                let changes: Vec<_> = changes.iter().map(change).collect();
                history.record(revision, &changes);
                directory.apply(revision, changes);
            }
            Told::Listing(changes) => {
                let mut later = directory.clone();
                later.apply(revision, changes.iter().map(change).collect());
                history.begin(revision);
                directory.replace(later.listing());
            }
        }
        states.push(directory.clone());
    }
    (states, history)
}

fn take(directory: &mut Directory, update: Update) {
    match update {
        Update::Changed { revision, changes } => directory.apply(revision, changes),
        Update::Listed(listing) => directory.replace(listing),
    };
}

proptest! {
    #[test]
    fn a_peer_at_any_revision_gets_what_it_misses(
        told in prop::collection::vec(told(), 1..30),
        at in any::<prop::sample::Index>(),
    ) {
        let (states, history) = play(&told);
        let newest = states.last().unwrap();
        let mut peer = states[at.index(states.len())].clone();

        let update = history.since(peer.revision(), newest);
        prop_assert_eq!(update.is_none(), peer.revision() == newest.revision());
        if let Some(update) = update {
            take(&mut peer, update);
        }

        prop_assert_eq!(peer.listing(), newest.listing());
    }
}

/// Load: 3,000 upstreams of which one changes, each fifth of a second, told to 75 entry VMs.
#[test]
fn a_peer_that_misses_one_change_gets_only_that() {
    let (mut directory, mut history) = (Directory::default(), History::default());
    let upstreams = (0..3_000).map(|n| engine(&format!("engine-{n}"), "a", 1)).collect();
    directory.replace(Listing { revision: 1, upstreams });
    history.begin(1);
    let change = vec![Change::Removed("engine-7".to_owned())];
    history.record(2, &change);
    directory.apply(2, change.clone());

    let update = history.since(1, &directory);

    assert_eq!(update, Some(Update::Changed { revision: 2, changes: change }));
}
