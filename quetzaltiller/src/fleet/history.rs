//! Latest changes of the directory, for peers that know an earlier revision.

use super::{Change, Directory, Listing};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Most changes that are remembered: an hour of them at 20,000 a day, and a zone lost.
const CAPACITY: usize = 2_048;

/// What a peer gets that knows an earlier revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// Changes from its revision on.
    Changed {
        /// Revision that they lead to.
        revision: u64,
        /// Changes.
        changes: Vec<Change>,
    },
    /// All upstreams, where the changes since its revision are not known.
    Listed(Listing),
}

/// Which upstreams changed at which revision, from some revision on.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// All changes after this revision are remembered.
    complete_after: u64,
    changed: VecDeque<(u64, String)>,
}

impl History {
    /// Begins anew at a listing, which doesn't tell what came and went before.
    pub fn begin(&mut self, revision: u64) {
        self.complete_after = revision;
        self.changed.clear();
    }

    /// Remembers changes that led to `revision`.
    pub fn record(&mut self, revision: u64, changes: &[Change]) {
        self.changed.extend(changes.iter().map(|change| (revision, change.id().to_owned())));
        while self.changed.len() > CAPACITY {
            if let Some((oldest, _)) = self.changed.pop_front() {
                self.complete_after = oldest;
            }
        }
    }

    /// What a peer gets that knows the revision `known` of `directory`; none where it knows all.
    pub fn since(&self, known: u64, directory: &Directory) -> Option<Update> {
        let revision = directory.revision();
        if known >= revision {
            return None;
        }
        if known < self.complete_after {
            return Some(Update::Listed(directory.listing()));
        }
        let later = self.changed.iter().filter(|(at, _)| *at > known);
        let ids: BTreeSet<_> = later.map(|(_, id)| id.as_str()).collect();
        let change = |id: &str| match directory.upstream(id) {
            Some(upstream) => Change::Set((**upstream).clone()),
            None => Change::Removed(id.to_owned()),
        };
        let changes = ids.into_iter().map(change).collect();
        Some(Update::Changed { revision, changes })
    }
}
