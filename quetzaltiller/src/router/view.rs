//! What a router is asked with and what it shows.

use crate::dispatch::UpstreamState;
use crate::keeper;
use crate::members::View;
use crate::metrics::Snapshot;
use crate::objects::Labels;
use crate::prelude::*;
use crate::session;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Who asks, and what for.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Account.
    pub account: Account,
    /// Labels that the caller set.
    pub labels: Labels,
    /// Longest wait, if not the account's.
    pub patience: Option<Duration>,
}

impl Caller {
    /// Longest wait.
    pub fn patience(&self) -> Duration {
        self.patience.unwrap_or(Duration::from_millis(self.account.patience_ms))
    }
}

/// Entry VMs to use.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Entries {
    /// Best first.
    pub entries: Vec<Entry>,
    /// How long the list may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// One entry VM to use.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub address: String,
}

/// State of the process.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Dump {
    /// This entry VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Start of the process.
    pub incarnation: u64,
    /// Number of the configuration in force.
    pub number: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Open requests.
    pub open: u64,
    /// Other entry VMs.
    pub members: View,
    /// Generations served here.
    pub generations: BTreeMap<String, session::Status>,
    /// Answers kept for peers.
    pub keeper: keeper::State,
    /// Upstreams.
    pub upstreams: BTreeMap<String, UpstreamState>,
    /// Counters.
    pub counters: Snapshot,
}
