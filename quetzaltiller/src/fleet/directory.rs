//! Directory of all upstreams at one version of the platform's store.
//!
//! Versions order listings and changes from the store and from peers; those that are not newer than
//! the directory are ignored. Changes apply only within the directory's era: a newer era begins
//! with a listing.

use super::Upstream;
use crate::control::Version;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// List of all upstreams at one version of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Listing {
    /// Version of the store.
    #[serde(flatten)]
    pub version: Version,
    /// All upstreams at that version.
    pub upstreams: Vec<Upstream>,
}

/// Change of one upstream in the directory.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The upstream is new or has changed.
    Set(Upstream),
    /// The upstream with this id is no longer listed.
    Removed(String),
}

impl Change {
    /// Id of the changed upstream.
    pub fn id(&self) -> &str {
        match self {
            Self::Set(upstream) => &upstream.id,
            Self::Removed(id) => id,
        }
    }
}

/// All upstreams at one version of the store, by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    version: Version,
    upstreams: BTreeMap<String, Arc<Upstream>>,
}

impl Directory {
    /// Version of the directory; its revision is 0 before any listing.
    pub fn version(&self) -> Version {
        self.version
    }

    /// All upstreams, ordered by id.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Upstream with this id.
    pub fn upstream(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.get(id)
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Listing of all upstreams, for peers.
    pub fn listing(&self) -> Listing {
        let upstreams = self.upstreams.values().map(|upstream| (**upstream).clone()).collect();
        Listing { version: self.version, upstreams }
    }

    /// Removes upstreams whose address is served by a later process: they have ended, even if they
    /// are still listed.
    pub fn drop_superseded(&mut self) {
        let mut latest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for upstream in self.upstreams.values() {
            let known = latest.entry(upstream.address).or_default();
            *known = upstream.incarnation.max(*known);
        }
        self.upstreams.retain(|_, upstream| upstream.incarnation >= latest[&upstream.address]);
    }

    /// Last entries of the upstreams that `changes` remove, by id: what the changes wrote before, or
    /// what the directory has.
    pub fn departures(&self, changes: &[Change]) -> BTreeMap<String, Arc<Upstream>> {
        let mut written: BTreeMap<&str, Arc<Upstream>> = BTreeMap::new();
        let mut departures = BTreeMap::new();
        for change in changes {
            match change {
                Change::Set(upstream) => {
                    departures.remove(&upstream.id);
                    written.insert(&upstream.id, Arc::new(upstream.clone()));
                }
                Change::Removed(id) => {
                    if let Some(last) = written.get(id.as_str()).or_else(|| self.upstream(id)) {
                        departures.insert(id.clone(), last.clone());
                    }
                }
            }
        }
        departures
    }

    /// Removes the upstream with this id.
    pub fn remove(&mut self, id: &str) {
        self.upstreams.remove(id);
    }

    /// Marks the upstream with this id as leaving.
    pub fn mark_leaving(&mut self, id: &str) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            Arc::make_mut(upstream).leaving = true;
        }
    }

    /// Adds those of `upstreams` whose ids are not in the directory.
    pub fn insert_missing(&mut self, upstreams: impl Iterator<Item = Arc<Upstream>>) {
        for upstream in upstreams {
            self.upstreams.entry(upstream.id.clone()).or_insert(upstream);
        }
    }

    /// Replaces the lost upstream with id `lost` by its successor, which is not listed yet.
    pub fn apply_successor(&mut self, lost: &str, upstream: Upstream) {
        self.upstreams.remove(lost);
        self.upstreams.insert(upstream.id.clone(), Arc::new(upstream));
    }

    /// Replaces all upstreams if the listing is newer; returns whether it was.
    pub fn replace(&mut self, listing: Listing) -> bool {
        if listing.version <= self.version {
            return false;
        }
        self.version = listing.version;
        self.upstreams = listing
            .upstreams
            .into_iter()
            .map(|upstream| (upstream.id.clone(), Arc::new(upstream)))
            .collect();
        true
    }

    /// Applies the changes up to `version` if that is newer and of the same era; returns whether it
    /// was.
    pub fn apply(&mut self, version: Version, changes: Vec<Change>) -> bool {
        if !self.version.leads_to(version) {
            return false;
        }
        self.version = version;
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
