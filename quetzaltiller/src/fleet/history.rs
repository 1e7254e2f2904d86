//! Latest changes of the directory, to update peers that know an earlier version.

use super::{Change, Directory, Listing};
use crate::control::Version;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

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
        /// Latest state of each changed upstream; one that was leaving until it was removed is set
        /// before its removal.
        changes: Vec<Change>,
    },
    /// All upstreams, if the changes since the peer's version are not known.
    Listed(Listing),
}

/// Changes of upstreams with their versions, after some version.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Version after which the history has all changes; all of them are of one era.
    complete_after: Version,
    /// Changes and the versions that they led to, oldest first.
    changes: VecDeque<(Version, Change)>,
}

impl History {
    /// Clears the history at a listing, as a listing doesn't contain the changes before it.
    pub fn reset(&mut self, version: Version) {
        self.complete_after = version;
        self.changes.clear();
    }

    /// Records the changes that led to `version`.
    pub fn record(&mut self, version: Version, changes: &[Change]) {
        self.changes.extend(changes.iter().map(|change| (version, change.clone())));
        while self.changes.len() > CAPACITY {
            if let Some((oldest, _)) = self.changes.pop_front() {
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
        let newer = self.changes.iter().filter(|(changed_at, _)| *changed_at > known);
        let mut written: BTreeMap<_, Option<&Change>> = BTreeMap::new();
        for (_, change) in newer {
            let last = written.entry(change.id()).or_default();
            if matches!(change, Change::Set(_)) {
                *last = Some(change);
            }
        }
        let latest = |(id, last): (&str, Option<&Change>)| match (directory.upstream(id), last) {
            (Some(upstream), _) => vec![Change::Set((**upstream).clone())],
            (None, Some(Change::Set(last))) if last.leaving => {
                vec![Change::Set(last.clone()), Change::Removed(id.to_owned())]
            }
            (None, _) => vec![Change::Removed(id.to_owned())],
        };
        let changes = written.into_iter().flat_map(latest).collect();
        Some(Update::Changed { version, changes })
    }
}
