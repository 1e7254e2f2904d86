//! Ownership of upstreams by entry VMs.
//!
//! The entry VMs of a zone partition the upstreams of each zone evenly and mostly use those that
//! they own. In addition, each upstream has one registrar among all entry VMs. It depends on the
//! members alone, so that entry VMs agree on it although they know different upstreams.

use crate::control::Member;
use crate::fleet::Upstream;
use coordination::quota;
use coordination::rendezvous::{first, score};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of other entry VMs at which each entry VM watches all upstreams.
const MAX_MEMBERS_WATCHING_ALL: usize = 8;

/// Another entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Name of the entry VM.
    pub name: String,
    /// Availability zone of the entry VM.
    pub zone: String,
    /// Address for calls between entry VMs.
    pub address: String,
    /// Whether the entry VM takes no new work.
    pub leaving: bool,
}

/// Upstreams that one entry VM owns, and the members that own the others.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    own_name: String,
    own_zone: String,
    /// Other entry VMs that are alive, those that are leaving included.
    members: Vec<Peer>,
    /// Ids of the upstreams that this entry VM owns.
    owned: BTreeSet<String>,
    /// Other entry VMs that may be running, silent ones included.
    known: Vec<Member>,
    /// Whether the store has listed the entry VMs.
    listed: bool,
}

impl Shares {
    /// Shares of the entry VM `own_name` in `own_zone`; it owns nothing before the first partition.
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

    /// Replaces the other entry VMs that may be running; returns whether they have changed.
    pub fn set_known(&mut self, known: Vec<Member>) -> bool {
        let changed = self.known != known;
        self.known = known;
        changed
    }

    /// Records that the store has listed the entry VMs.
    pub fn mark_listed(&mut self) {
        self.listed = true;
    }

    /// Requests per second that this entry VM may send to an upstream that accepts `limit` requests
    /// per second from all of them. The entry VMs of the upstream's zone divide the limit, all if
    /// that zone has none. Zero while no other entry VM is known and
    /// the store has not listed them, as any number of others may be sending.
    pub fn rate(&self, upstream: &Upstream, limit: f64) -> f64 {
        if self.known.is_empty() && !self.listed {
            return 0.0;
        }
        let (ranked, max_holders) = self.ranked(upstream);
        let alive: BTreeSet<_> = self.members.iter().map(|member| member.name.as_str()).collect();
        let is_alive = |name: &str| name == self.own_name || alive.contains(name);
        quota::rate(&self.own_name, &ranked, max_holders, is_alive, limit)
    }

    /// Entry VM that may lend this one a request to a limited upstream: a live holder of a part of
    /// its limit, by this one's own ranking. None if this one has a part itself.
    pub fn lender(&self, upstream: &Upstream, limit: f64) -> Option<&Peer> {
        let (ranked, max_holders) = self.ranked(upstream);
        let holders = quota::holders(&ranked, max_holders, limit);
        if holders.contains(&self.own_name.as_str()) {
            return None;
        }
        let is_alive = |name: &&str| self.members.iter().any(|member| member.name == *name);
        let lender = first(holders.iter().copied().filter(is_alive), &self.own_name)?;
        self.members.iter().find(|member| member.name == lender)
    }

    /// All known entry VMs in the order in which they hold parts of an upstream's limit, and the
    /// number of those that may hold one.
    fn ranked(&self, upstream: &Upstream) -> (Vec<&str>, usize) {
        let own = (self.own_name.as_str(), self.own_zone.as_str());
        let others = self.known.iter().map(|member| (member.name.as_str(), member.zone.as_str()));
        let mut members: Vec<_> = others.chain([own]).collect();
        members.sort_by_cached_key(|(name, zone)| {
            (*zone != upstream.zone, Reverse((score(name, &upstream.id), *name)))
        });
        let in_zone = members.iter().filter(|(_, zone)| *zone == upstream.zone).count();
        let max_holders = if in_zone > 0 { in_zone } else { members.len() };
        (members.into_iter().map(|(name, _)| name).collect(), max_holders)
    }

    /// Replaces the other entry VMs that are alive; returns whether those of the own zone that take
    /// work have changed, so that upstreams have to be partitioned again.
    pub fn set_members(&mut self, members: Vec<Peer>) -> bool {
        let before: Vec<_> = self.zone_members().map(str::to_owned).collect();
        self.members = members;
        !self.zone_members().eq(before.iter().map(String::as_str))
    }

    /// Names of the other entry VMs of the own zone that take work.
    fn zone_members(&self) -> impl Iterator<Item = &str> {
        let of_zone = self.members.iter().filter(|m| m.zone == self.own_zone && !m.leaving);
        of_zone.map(|member| member.name.as_str())
    }

    /// Whether this entry VM owns an upstream among the entry VMs of its zone.
    pub fn owns(&self, upstream: &str) -> bool {
        self.owned.contains(upstream)
    }

    /// Whether this entry VM checks an upstream that may be lost, and looks for its successor: the
    /// owner in the upstream's zone does, and all entry VMs if there are few.
    pub fn watches(&self, upstream: &Upstream) -> bool {
        let owned = upstream.zone == self.own_zone && self.owns(&upstream.id);
        owned || self.members.len() <= MAX_MEMBERS_WATCHING_ALL
    }

    /// Entry VM that counts the prompts booked at an engine: the one that ranks first for it in the
    /// engine's zone, or among all if that zone has none. None if it is this one.
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

    /// Partitions the upstreams of each service and zone evenly among the entry VMs of the own
    /// zone: each upstream goes to the first entry VM in its ranking that has not reached its part.
    pub fn partition<'a>(&mut self, upstreams: impl Iterator<Item = &'a Arc<Upstream>>) {
        let names: Vec<_> = self.zone_members().chain([self.own_name.as_str()]).collect();
        let mut groups: BTreeMap<(&str, &str), Vec<&str>> = BTreeMap::new();
        for upstream in upstreams.filter(|upstream| !upstream.leaving) {
            groups.entry((&upstream.service, &upstream.zone)).or_default().push(&upstream.id);
        }
        let mut owned = BTreeSet::new();
        for mut group in groups.into_values() {
            let max_owned = group.len().div_ceil(names.len());
            let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
            group.sort_by_cached_key(|id| score(id, ""));
            for id in group {
                let open = names.iter().copied();
                let open = open.filter(|name| counts.get(name).is_none_or(|n| *n < max_owned));
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
