//! Order of all states of the platform's store.
//!
//! After a loss of data the store continues from an older copy: its era rises by one, and revisions
//! after that of the copy are given out again. A state of a newer era is therefore newer regardless
//! of its revision, and revisions are only comparable within an era.

use serde::{Deserialize, Serialize};
use std::fmt;

/// State of the store, ordered by era and then by revision.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(default, rename_all = "snake_case")]
pub struct Version {
    /// Number of copies from which the store was restored; 0 if the store does not state it.
    pub era: u64,
    /// Revision of the store within the era.
    pub revision: u64,
}

impl Version {
    /// Whether the changes from this version to `newer` are those of one history, so that they can
    /// be applied to the state at this version.
    pub fn leads_to(self, newer: Self) -> bool {
        self.era == newer.era && self.revision < newer.revision
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
