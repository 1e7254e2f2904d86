//! Revisions of the store at which something has changed that no watch has told of.
//!
//! The store counts the revisions of all its objects together, and each answer to a watch states the
//! newest. A revision that none of its changes has belongs to an object of another kind.

use crate::control::{Changes, Version};
use std::collections::BTreeSet;

/// Maximum number of gaps, and of versions that are known not to be gaps; the oldest are dropped. More
/// than the changes of all other kinds in a second, in which their watches tell of them.
const CAPACITY: usize = 64;

/// Gaps between the revisions that the watches of one entry VM have told of.
#[derive(Debug, Default)]
pub struct Gaps {
    open: BTreeSet<Version>,
    accounted: BTreeSet<Version>,
}

impl Gaps {
    /// Records what `changes`, the answer to a watch from `since`, pass over. Returns whether there is
    /// a new gap.
    pub fn record(&mut self, since: Version, changes: &Changes) -> bool {
        let Version { era, revision } = changes.version;
        if era != since.era {
            return false;
        }
        let told: BTreeSet<_> = changes.revisions.iter().copied().collect();
        let passed = (since.revision + 1..=revision).rev().filter(|passed| !told.contains(passed));
        let versions = passed.map(|revision| Version { era, revision });
        let gaps: Vec<_> =
            versions.take(CAPACITY).filter(|version| !self.accounted.contains(version)).collect();
        self.open.extend(&gaps);
        trim(&mut self.open);
        !gaps.is_empty()
    }

    /// Records that anything may have changed up to `version`.
    pub fn record_all_until(&mut self, version: Version) {
        self.open.insert(version);
        trim(&mut self.open);
    }

    /// Records that the watch of another kind has told of the changes at these versions.
    pub fn account_for(&mut self, versions: impl Iterator<Item = Version>) {
        for version in versions {
            self.open.remove(&version);
            self.accounted.insert(version);
        }
        trim(&mut self.accounted);
    }

    /// Newest gap after `known`.
    pub fn newest_after(&self, known: Version) -> Option<Version> {
        self.open.last().copied().filter(|gap| *gap > known)
    }
}

fn trim(versions: &mut BTreeSet<Version>) {
    while versions.len() > CAPACITY {
        versions.pop_first();
    }
}
