//! Client accounts, with their keys and limits.

use super::object::{Fault, check_range};
use crate::digest;
use serde::{Deserialize, Serialize};

/// Upper bound of `patience_ms`: one hour.
const MAX_PATIENCE_MS: u64 = 3_600_000;

/// A client account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Account {
    /// Name of the account.
    pub name: String,
    /// `<salt>:<hex SHA-256 of salt and key>`; the key itself is not stored.
    pub key_digest: String,
    /// Maximum number of concurrent requests, over all entry VMs.
    pub max_concurrent: u32,
    /// Share of capacity under contention, relative to the weights of other accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Longest wait that the account's callers accept, in milliseconds; a request may set its own.
    pub patience_ms: u64,
    /// Keys of the labels that callers may set on their requests.
    #[serde(default)]
    pub caller_labels: Vec<String>,
}

fn default_weight() -> u32 {
    1
}

impl Account {
    /// Whether `key` is the account's key, compared in constant time.
    pub fn accepts(&self, key: &str) -> bool {
        digest::key_matches(key, &self.key_digest)
    }

    /// Faults of this account alone, without regard to other objects.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if !digest::is_key_digest(&self.key_digest) {
            let allowed = "<salt>:<64 hex digits>, as `qtctl digest` prints";
            faults.push(Fault::new("key_digest", &self.key_digest, allowed));
        }
        check_range(&mut faults, "max_concurrent", self.max_concurrent.into(), 1, 1_000_000);
        check_range(&mut faults, "weight", self.weight.into(), 1, 1_000);
        check_range(&mut faults, "patience_ms", self.patience_ms, 1, MAX_PATIENCE_MS);
        faults
    }
}
