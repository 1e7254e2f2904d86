//! Documents that operators write, and faults found in them.

use super::{Account, Pool, Selector, Service, Upstream};
use serde::{Deserialize, Serialize};
use std::fmt;

const MAX_NAME_BYTES: usize = 63;

/// Something wrong with a value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Fault {
    /// Path of the value.
    pub path: String,
    /// Value found.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl Fault {
    /// Describes a fault.
    pub fn new(path: impl Into<String>, value: impl ToString, allowed: impl Into<String>) -> Self {
        Self { path: path.into(), value: value.to_string(), allowed: allowed.into() }
    }

    /// The same fault seen from a value that contains this one.
    pub fn within(mut self, parent: &str) -> Self {
        self.path = format!("{parent}.{}", self.path);
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {:?}, allowed: {}", self.path, self.value, self.allowed)
    }
}

/// Adds a fault when `value` lies outside `min..=max`.
pub fn check_range(faults: &mut Vec<Fault>, path: &str, value: u64, min: u64, max: u64) {
    if !(min..=max).contains(&value) {
        faults.push(Fault::new(path, value, format!("{min} to {max}")));
    }
}

/// Kind of an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// [`Account`].
    Account,
    /// [`Pool`].
    Pool,
    /// [`Selector`].
    Selector,
    /// [`Service`].
    Service,
    /// [`Upstream`].
    Upstream,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Account => "account",
            Self::Pool => "pool",
            Self::Selector => "selector",
            Self::Service => "service",
            Self::Upstream => "upstream",
        })
    }
}

/// Kind and name, which identify an object.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Id {
    /// Kind.
    pub kind: Kind,
    /// Name.
    pub name: String,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// One document.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Object {
    /// A client account.
    Account(Account),
    /// A pool.
    Pool(Pool),
    /// A selector.
    Selector(Selector),
    /// A plain service.
    Service(Service),
    /// An upstream.
    Upstream(Upstream),
}

impl Object {
    /// Identity.
    pub fn id(&self) -> Id {
        let (kind, name) = match self {
            Self::Account(account) => (Kind::Account, &account.name),
            Self::Pool(pool) => (Kind::Pool, &pool.name),
            Self::Selector(selector) => (Kind::Selector, &selector.name),
            Self::Service(service) => (Kind::Service, &service.name),
            Self::Upstream(upstream) => (Kind::Upstream, &upstream.name),
        };
        Id { kind, name: name.clone() }
    }

    /// The account, if it is one.
    pub fn as_account(&self) -> Option<&Account> {
        if let Self::Account(account) = self { Some(account) } else { None }
    }

    /// The pool, if it is one.
    pub fn as_pool(&self) -> Option<&Pool> {
        if let Self::Pool(pool) = self { Some(pool) } else { None }
    }

    /// The upstream, if it is one.
    pub fn as_upstream(&self) -> Option<&Upstream> {
        if let Self::Upstream(upstream) = self { Some(upstream) } else { None }
    }

    /// Faults of this object alone.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = match self {
            Self::Account(account) => account.faults(),
            Self::Pool(pool) => pool.faults(),
            Self::Selector(selector) => selector.faults(),
            Self::Service(service) => service.faults(),
            Self::Upstream(upstream) => upstream.faults(),
        };
        let name = self.id().name;
        if !is_name(&name) {
            let allowed = "1 to 63 of a-z, 0-9 and -, beginning with a letter or digit";
            faults.push(Fault::new("name", name, allowed));
        }
        faults
    }
}

fn is_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.starts_with(plain)
        && name.chars().all(|c| plain(c) || c == '-')
}
