//! The set of all objects: joint validation, and the upstreams that a request may reach.

use super::{Account, Fault, Id, Kind, Labels, Object, Pool, Selector, Service, Upstream};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Numbered set of objects that a steward accepted, as stored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Accepted {
    /// Number of the set; increases by one with each accepted set.
    pub number: u64,
    /// Objects of the set, by identity.
    pub objects: Vec<Object>,
}

/// Attributes of a request that decide which upstreams it may reach.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the account.
    pub account: &'a str,
    /// Name of the model, for a generation.
    pub model: Option<&'a str>,
    /// Name of the service, for a call of a plain service.
    pub service: Option<&'a str>,
    /// Labels that the caller set, all of them allowed by the account.
    pub labels: &'a Labels,
}

impl Request<'_> {
    fn to_labels(self) -> Labels {
        let mut labels = self.labels.clone();
        labels.insert("account".into(), self.account.into());
        labels.extend(self.model.map(|model| ("model".into(), model.into())));
        labels.extend(self.service.map(|service| ("service".into(), service.into())));
        labels
    }
}

/// Objects indexed by kind and name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Set {
    /// Number of the accepted set.
    pub number: u64,
    accounts: BTreeMap<String, Account>,
    pools: BTreeMap<String, Pool>,
    selectors: BTreeMap<String, Selector>,
    services: BTreeMap<String, Service>,
    upstreams: BTreeMap<String, Upstream>,
}

impl Set {
    /// Indexes an accepted set.
    pub fn new(accepted: &Accepted) -> Self {
        let mut set = Self { number: accepted.number, ..Self::default() };
        for object in &accepted.objects {
            set.insert(object.clone());
        }
        set
    }

    /// Adds or replaces an object.
    pub fn insert(&mut self, object: Object) {
        let name = object.id().name;
        match object {
            Object::Account(account) => drop(self.accounts.insert(name, account)),
            Object::Pool(pool) => drop(self.pools.insert(name, pool)),
            Object::Selector(selector) => drop(self.selectors.insert(name, selector)),
            Object::Service(service) => drop(self.services.insert(name, service)),
            Object::Upstream(upstream) => drop(self.upstreams.insert(name, upstream)),
        }
    }

    /// Faults between objects, by object: missing pools, and addresses or keys that two objects
    /// share. Faults of single objects come from [`Object::faults`].
    pub fn joint_faults(&self) -> Vec<(Id, Fault)> {
        let mut faults = Vec::new();
        for upstream in self.upstreams.values().filter(|u| !self.pools.contains_key(&u.pool)) {
            let id = Id { kind: Kind::Upstream, name: upstream.name.clone() };
            faults.push((id, Fault::new("pool", &upstream.pool, "the name of a pool")));
        }
        let mut names_by_address = BTreeMap::new();
        for upstream in self.upstreams.values() {
            if let Some(other) = names_by_address.insert(&upstream.address, &upstream.name) {
                let id = Id { kind: Kind::Upstream, name: upstream.name.clone() };
                let allowed = format!("an address that {other} does not have");
                faults.push((id, Fault::new("address", &upstream.address, allowed)));
            }
        }
        let mut names_by_digest = BTreeMap::new();
        for account in self.accounts.values() {
            if let Some(other) = names_by_digest.insert(&account.key_digest, &account.name) {
                let id = Id { kind: Kind::Account, name: account.name.clone() };
                let allowed = format!("a key that {other} does not have");
                faults.push((id, Fault::new("key_digest", "(digest)", allowed)));
            }
        }
        faults
    }

    /// Account that `key` belongs to.
    pub fn authenticate(&self, key: &str) -> Option<&Account> {
        self.accounts.values().find(|account| account.accepts(key))
    }

    /// Service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name)
    }

    /// All upstreams, by name.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// All accounts, by name.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values()
    }

    /// All pools, by name.
    pub fn pools(&self) -> impl Iterator<Item = &Pool> {
        self.pools.values()
    }

    /// Upstreams that the selectors allow the request to reach, with their pools; leaving upstreams
    /// are included.
    pub fn reachable(&self, request: &Request<'_>) -> Vec<(&Upstream, &Pool)> {
        let labels = request.to_labels();
        let selectors: Vec<_> =
            self.selectors.values().filter(|s| s.requests.matches(&labels)).collect();
        if selectors.is_empty() {
            return Vec::new();
        }
        let service = request.service.and_then(|name| self.services.get(name));
        self.upstreams
            .values()
            .filter_map(|upstream| Some((upstream, self.pools.get(&upstream.pool)?)))
            .filter(|(_, pool)| pool.model.as_deref() == request.model)
            .filter(|(upstream, pool)| {
                let labels = upstream_labels(upstream, pool);
                service.is_none_or(|service| service.upstreams.matches(&labels))
                    && selectors.iter().any(|selector| selector.upstreams.matches(&labels))
            })
            .collect()
    }
}

fn upstream_labels(upstream: &Upstream, pool: &Pool) -> Labels {
    let mut labels = pool.labels.clone();
    labels.extend(upstream.labels.clone());
    labels.insert("pool".into(), upstream.pool.clone());
    labels.insert("upstream".into(), upstream.name.clone());
    labels.insert("zone".into(), upstream.zone.clone());
    labels
}
