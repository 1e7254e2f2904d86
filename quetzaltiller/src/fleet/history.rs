//! Latest changes of the directory, to update peers that know an earlier revision.

use super::{Change, Directory, Listing};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of changes: those of an hour at 20,000 a day and of the loss of a zone.
const CAPACITY: usize = 2_048;

/// Update for a peer that knows an earlier revision of the directory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// Changes since the peer's revision.
    Changed {
        /// Revision after the changes.
        revision: u64,
        /// Latest state of each changed upstream.
        changes: Vec<Change>,
    },
    /// All upstreams, if the changes since the peer's revision are not known.
    Listed(Listing),
}

/// Ids of changed upstreams and the revisions of their changes, after some revision.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Revision after which the history has all changes.
    complete_after: u64,
    /// Revisions and ids of changed upstreams, oldest first.
    changed: VecDeque<(u64, String)>,
}

impl History {
    /// Clears the history at a listing, as a listing doesn't contain the changes before it.
    pub fn reset(&mut self, revision: u64) {
        self.complete_after = revision;
        self.changed.clear();
    }

    /// Records the changes that led to `revision`.
    pub fn record(&mut self, revision: u64, changes: &[Change]) {
        self.changed.extend(changes.iter().map(|change| (revision, change.id().to_owned())));
        while self.changed.len() > CAPACITY {
            if let Some((oldest, _)) = self.changed.pop_front() {
                self.complete_after = oldest;
            }
        }
    }

    /// Update for a peer that knows the revision `known_revision` of `directory`; none if that is
    /// the current one.
    pub fn since(&self, known_revision: u64, directory: &Directory) -> Option<Update> {
        let revision = directory.revision();
        if known_revision >= revision {
            return None;
        }
        if known_revision < self.complete_after {
            return Some(Update::Listed(directory.listing()));
        }
        let newer =
            self.changed.iter().filter(|(change_revision, _)| *change_revision > known_revision);
        let ids: BTreeSet<_> = newer.map(|(_, id)| id.as_str()).collect();
        let change = |id: &str| match directory.upstream(id) {
            Some(upstream) => Change::Set((**upstream).clone()),
            None => Change::Removed(id.to_owned()),
        };
        let changes = ids.into_iter().map(change).collect();
        Some(Update::Changed { revision, changes })
    }
}
