//! One accepted configuration, indexed by host, key and service.

use super::{Account, Route, Service};
use crate::digest::sha256_hex;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Limits on requests and connections of callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, rename_all = "snake_case")]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request's head to arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time for which a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Limits that hold before a configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One accepted configuration with its indices.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "Content", into = "Content")]
pub struct Table {
    content: Content,
    routes_by_host: HashMap<String, Vec<usize>>,
    accounts_by_key: HashMap<String, usize>,
    services_by_name: BTreeMap<String, usize>,
}

/// Serialized form of a [`Table`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Content {
    /// Number of the configuration; later ones have higher numbers.
    pub number: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<Arc<Route>>,
    /// Services in the order of the configuration.
    pub services: Vec<Service>,
    /// Client accounts; if `None`, requests need no key.
    pub accounts: Option<Vec<Account>>,
    /// Limits on requests and connections.
    pub limits: Limits,
}

impl From<Content> for Table {
    fn from(content: Content) -> Self {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in content.routes.iter().enumerate() {
            routes_by_host.entry(route.host.clone()).or_default().push(index);
        }
        for indices in routes_by_host.values_mut() {
            let length = |index: &usize| content.routes[*index].path_prefix.len();
            indices.sort_by_key(|index| std::cmp::Reverse(length(index)));
        }
        let accounts = content.accounts.iter().flatten().enumerate();
        let accounts_by_key = accounts
            .flat_map(|(index, account)| {
                account.key_digests.iter().map(move |digest| (digest.clone(), index))
            })
            .collect();
        let services_by_name = content
            .services
            .iter()
            .enumerate()
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self { content, routes_by_host, accounts_by_key, services_by_name }
    }
}

impl From<Table> for Content {
    fn from(table: Table) -> Self {
        table.content
    }
}

impl Table {
    /// Number of the configuration; 0 before the first.
    pub fn number(&self) -> u64 {
        self.content.number
    }

    /// Limits on requests and connections.
    pub fn limits(&self) -> &Limits {
        &self.content.limits
    }

    /// Route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let indices = self.routes_by_host.get(host)?;
        let mut routes = indices.iter().map(|index| &self.content.routes[*index]);
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need a key, unless their route is public.
    pub fn has_accounts(&self) -> bool {
        self.content.accounts.is_some()
    }

    /// Account that holds `key`.
    pub fn account(&self, key: &str) -> Option<&Account> {
        let index = self.accounts_by_key.get(&sha256_hex(&[key.as_bytes()]))?;
        self.content.accounts.as_ref()?.get(*index)
    }

    /// Service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services_by_name.get(name).map(|index| &self.content.services[*index])
    }

    /// Services in the order of the configuration.
    pub fn services(&self) -> &[Service] {
        &self.content.services
    }

    /// Routes in the order of the configuration.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.content.routes
    }
}
