//! Documents that operators write, their identity and the faults found in them.

use super::{Account, Pool, Selector, Service, Upstream};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum length of an object's name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// A value that is not allowed, and what is allowed instead.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Fault {
    /// Path of the value in its document.
    pub path: String,
    /// Value found, as text.
    pub value: String,
    /// Description of the values that are allowed.
    pub allowed: String,
}

impl Fault {
    /// Creates a fault.
    pub fn new(path: impl Into<String>, value: impl ToString, allowed: impl Into<String>) -> Self {
        Self { path: path.into(), value: value.to_string(), allowed: allowed.into() }
    }

    /// Prefixes the path with `parent`, the path of the value that contains this one.
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

/// Adds a fault when `value` is outside `min..=max`.
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
    /// Kind of the object.
    pub kind: Kind,
    /// Name, unique among objects of the kind.
    pub name: String,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An operator's object, with its kind as a tag in JSON.
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
    /// Identity of the object.
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

    /// The account, if the object is one.
    pub fn as_account(&self) -> Option<&Account> {
        if let Self::Account(account) = self { Some(account) } else { None }
    }

    /// The pool, if the object is one.
    pub fn as_pool(&self) -> Option<&Pool> {
        if let Self::Pool(pool) = self { Some(pool) } else { None }
    }

    /// The upstream, if the object is one.
    pub fn as_upstream(&self) -> Option<&Upstream> {
        if let Self::Upstream(upstream) = self { Some(upstream) } else { None }
    }

    /// Faults of this object alone, without regard to other objects.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = match self {
            Self::Account(account) => account.faults(),
            Self::Pool(pool) => pool.faults(),
            Self::Selector(selector) => selector.faults(),
            Self::Service(service) => service.faults(),
            Self::Upstream(upstream) => upstream.faults(),
        };
        let name = self.id().name;
        if !is_valid_name(&name) {
            let allowed = "1 to 63 of a-z, 0-9 and -, beginning with a letter or digit";
            faults.push(Fault::new("name", name, allowed));
        }
        faults
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_alphanumeric = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name.starts_with(is_alphanumeric)
        && name.chars().all(|c| is_alphanumeric(c) || c == '-')
}
