//! Which entry VM looks after which upstream.
//!
//! The upstreams of each zone are shared evenly among the entry VMs of a zone, which mostly use their
//! own. Besides, each upstream has one registrar among all, which depends on the members alone, so that
//! entry VMs agree on it although they know different upstreams.

use crate::fleet::Upstream;
use coordination::rendezvous::{first, score};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Up to so many other entry VMs, each asks after all upstreams.
const FEW_MEMBERS: usize = 8;

/// Another entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for peers.
    pub address: String,
    /// It takes no new work.
    pub leaving: bool,
}

/// Shares of one entry VM.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    own_name: String,
    own_zone: String,
    /// Other entry VMs that are alive.
    members: Vec<Peer>,
    /// Upstreams that this entry VM owns.
    owned: BTreeSet<String>,
}

impl Shares {
    /// Shares of the entry VM `own_name` in `own_zone`.
    pub fn new(own_name: &str, own_zone: &str) -> Self {
        Self { own_name: own_name.to_owned(), own_zone: own_zone.to_owned(), ..Self::default() }
    }

    /// Name of this entry VM.
    pub fn own_name(&self) -> &str {
        &self.own_name
    }

    /// Zone of this entry VM.
    pub fn own_zone(&self) -> &str {
        &self.own_zone
    }

    /// Other entry VMs that are alive.
    pub fn members(&self) -> &[Peer] {
        &self.members
    }

    /// Takes the other entry VMs that are alive; true where those changed that share the own zone.
    pub fn set_members(&mut self, members: Vec<Peer>) -> bool {
        let before: Vec<_> = self.neighbours().map(str::to_owned).collect();
        self.members = members;
        !self.neighbours().eq(before.iter().map(String::as_str))
    }

    /// Entry VMs of the own zone that take work, without this one.
    fn neighbours(&self) -> impl Iterator<Item = &str> {
        let of_zone = self.members.iter().filter(|m| m.zone == self.own_zone && !m.leaving);
        of_zone.map(|member| member.name.as_str())
    }

    /// Whether this entry VM owns an upstream, for its zone.
    pub fn owns(&self, upstream: &str) -> bool {
        self.owned.contains(upstream)
    }

    /// Whether this entry VM asks after an upstream, and tells others: the one that owns it in its
    /// zone, and where there are few, all.
    pub fn watches(&self, upstream: &Upstream) -> bool {
        let owned = upstream.zone == self.own_zone && self.owns(&upstream.id);
        owned || self.members.len() <= FEW_MEMBERS
    }

    /// Entry VM that adds up the prompts for an engine: the first by rank in the engine's zone, or of
    /// all where that has none. None if it is this one.
    pub fn registrar(&self, upstream: &Upstream) -> Option<&Peer> {
        let present = self.members.iter().filter(|member| !member.leaving);
        let of_zone: Vec<_> =
            present.clone().filter(|member| member.zone == upstream.zone).collect();
        let own_zone = self.own_zone == upstream.zone;
        let among = if of_zone.is_empty() && !own_zone { present.collect() } else { of_zone };
        let own = (own_zone || among.is_empty()).then_some(self.own_name.as_str());
        let names = among.iter().map(|member| member.name.as_str()).chain(own);
        let first = first(names, &upstream.id)?;
        among.into_iter().find(|member| member.name == first)
    }

    /// Shares the upstreams of each service and zone evenly among the entry VMs of the own zone: each
    /// goes to the first in its ranking that has not got its part.
    pub fn share<'a>(&mut self, upstreams: impl Iterator<Item = &'a Arc<Upstream>>) {
        let names: Vec<_> = self.neighbours().chain([self.own_name.as_str()]).collect();
        let mut groups: BTreeMap<(&str, &str), Vec<&str>> = BTreeMap::new();
        for upstream in upstreams.filter(|upstream| !upstream.leaving) {
            groups.entry((&upstream.service, &upstream.zone)).or_default().push(&upstream.id);
        }
        let mut owned = BTreeSet::new();
        for mut group in groups.into_values() {
            let part = group.len().div_ceil(names.len());
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            group.sort_by_cached_key(|id| score(id, ""));
            for id in group {
                let open = names.iter().copied();
                let open = open.filter(|name| counts.get(name).is_none_or(|n| *n < part));
                let Some(owner) = first(open, id) else {
                    continue;
                };
                *counts.entry(owner).or_default() += 1;
                if owner == self.own_name {
                    owned.insert(id.to_owned());
                }
            }
        }
        self.owned = owned;
    }
}
