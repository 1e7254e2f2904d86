//! Age of the configuration in force and of what the store last said of it.

use crate::control::Version;
use serde::Serialize;
use std::time::Duration;

/// Tells a configuration that is older than the store's from a request that no configuration allows.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct ConfigurationAge {
    /// Time in milliseconds since the configuration came into force.
    pub age_ms: u64,
    /// Version of the store in its last answer to a read or watch of the configuration.
    pub store: Version,
    /// Time in milliseconds since that answer; without one, since the start of the process.
    pub store_age_ms: u64,
}

/// Times and version from which the age is computed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigurationTimes {
    /// Time at which the configuration came into force.
    pub in_force_at: Duration,
    /// Version of the store in its last answer to a read or watch of the configuration.
    pub store: Version,
    /// Time of that answer.
    pub answered_at: Duration,
}

impl ConfigurationTimes {
    /// Age at the time `now`.
    pub fn age(&self, now: Duration) -> ConfigurationAge {
        let millis_since = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        ConfigurationAge {
            age_ms: millis_since(self.in_force_at),
            store: self.store,
            store_age_ms: millis_since(self.answered_at),
        }
    }
}
