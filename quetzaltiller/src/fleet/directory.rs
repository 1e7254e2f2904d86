//! All upstreams at one revision.
//!
//! Revisions are those of the platform's store, so listings and changes from the store and from
//! peers have one order: what is older than the directory is ignored.

use super::Upstream;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// All upstreams at a revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// Revision of the store.
    pub revision: u64,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
}

/// Change of one upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It is new or has changed.
    Set(Upstream),
    /// It is gone.
    Removed(String),
}

impl Change {
    /// Id of the upstream.
    pub fn id(&self) -> &str {
        match self {
            Self::Set(upstream) => &upstream.id,
            Self::Removed(id) => id,
        }
    }
}

/// Directory.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    revision: u64,
    upstreams: BTreeMap<String, Arc<Upstream>>,
}

impl Directory {
    /// Revision; 0 before any listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Upstreams by id.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Upstream by id.
    pub fn upstream(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(id)
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// All of it, for peers.
    pub fn listing(&self) -> Listing {
        let upstreams = self.upstreams.values().map(|upstream| (**upstream).clone()).collect();
        Listing { revision: self.revision, upstreams }
    }

    /// Drops upstreams whose address a later process has: they are gone, whatever the listing says.
    pub fn drop_superseded(&mut self) {
        let mut latest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            let known = latest.entry(upstream.address).or_default();
            *known = upstream.incarnation.max(*known);
        }
        self.upstreams.retain(|_, upstream| upstream.incarnation >= latest[&upstream.address]);
    }

    /// Adds upstreams that are not listed now.
    pub fn insert_missing(&mut self, upstreams: impl Iterator<Item = Arc<Upstream>>) {
        for upstream in upstreams {
            self.upstreams.entry(upstream.id.clone()).or_insert(upstream);
        }
    }

    /// Puts an upstream that is not listed yet in the place of one that is lost.
    pub fn apply_successor(&mut self, lost: &str, upstream: Upstream) {
        self.upstreams.remove(lost);
        self.upstreams.insert(upstream.id.clone(), Arc::new(upstream));
    }

    /// Takes a listing that is newer; tells whether it was taken.
    pub fn replace(&mut self, listing: Listing) -> bool {
        if listing.revision <= self.revision {
            return false;
        }
        self.revision = listing.revision;
        self.upstreams = listing
            .upstreams
            .into_iter()
            .map(|upstream| (upstream.id.clone(), Arc::new(upstream)))
            .collect();
        true
    }

    /// Takes changes up to `revision`, if that is newer; tells whether they were taken.
    pub fn apply(&mut self, revision: u64, changes: Vec<Change>) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        for change in changes {
            match change {
                Change::Set(upstream) => {
                    self.upstreams.insert(upstream.id.clone(), Arc::new(upstream));
                }
                Change::Removed(id) => {
                    self.upstreams.remove(&id);
                }
            }
        }
        true
    }
}
