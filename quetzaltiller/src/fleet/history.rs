//! Latest changes of the directory, to update peers that know an earlier version.

use super::{Change, Directory, Listing};
use crate::control::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of changes: those of an hour at 20,000 a day and of the loss of a zone.
const CAPACITY: usize = 2_048;

/// Update for a peer that knows an earlier version of the directory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// Changes since the peer's version, which is of the same era.
    Changed {
        /// Version after the changes.
        #[serde(flatten)]
        version: Version,
        /// Latest state of each changed upstream.
        changes: Vec<Change>,
    },
    /// All upstreams, if the changes since the peer's version are not known.
    Listed(Listing),
}

/// Ids of changed upstreams and the versions of their changes, after some version.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Version after which the history has all changes; all of them are of one era.
    complete_after: Version,
    /// Versions and ids of changed upstreams, oldest first.
    changed: VecDeque<(Version, String)>,
}

impl History {
    /// Clears the history at a listing, as a listing doesn't contain the changes before it.
    pub fn reset(&mut self, version: Version) {
        self.complete_after = version;
        self.changed.clear();
    }

    /// Records the changes that led to `version`.
    pub fn record(&mut self, version: Version, changes: &[Change]) {
        self.changed.extend(changes.iter().map(|change| (version, change.id().to_owned())));
        while self.changed.len() > CAPACITY {
            if let Some((oldest, _)) = self.changed.pop_front() {
                self.complete_after = oldest;
            }
        }
    }

    /// Update for a peer that knows `directory` at `known`; none if that is the current version or a
    /// newer one.
    pub fn since(&self, known: Version, directory: &Directory) -> Option<Update> {
        let version = directory.version();
        if known >= version {
            return None;
        }
        if known < self.complete_after {
            return Some(Update::Listed(directory.listing()));
        }
        let newer = self.changed.iter().filter(|(changed_at, _)| *changed_at > known);
        let ids: BTreeSet<_> = newer.map(|(_, id)| id.as_str()).collect();
        let change = |id: &str| match directory.upstream(id) {
            Some(upstream) => Change::Set((**upstream).clone()),
            None => Change::Removed(id.to_owned()),
        };
        let changes = ids.into_iter().map(change).collect();
        Some(Update::Changed { version, changes })
    }
}
