//! Arguments and results of [`Router`](super::Router) calls.

use crate::dispatch::UpstreamState;
use crate::keeper;
use crate::members::View;
use crate::metrics::Snapshot;
use crate::objects::Labels;
use crate::prelude::*;
use crate::session;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Caller of a request, with the settings that it sent.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Account of the caller.
    pub account: Account,
    /// Labels that the caller set.
    pub labels: Labels,
    /// Longest wait that the caller set, instead of the account's.
    pub patience: Option<Duration>,
}

impl Caller {
    /// Longest wait for this request: the caller's, or by default the account's.
    pub fn patience(&self) -> Duration {
        self.patience.unwrap_or(Duration::from_millis(self.account.patience_ms))
    }
}

/// Entry VMs that a caller should use.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Entries {
    /// Entry VMs, best first.
    pub entries: Vec<Entry>,
    /// Time for which a caller may keep the list, in milliseconds.
    pub lifetime_ms: u64,
}

/// One entry VM that a caller can use.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Entry {
    /// Name of the entry VM.
    pub name: String,
    /// Availability zone of the entry VM.
    pub zone: String,
    /// Address for callers.
    pub address: String,
}

/// State of the process, for operators.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Dump {
    /// Name of this entry VM.
    pub name: String,
    /// Availability zone of this entry VM.
    pub zone: String,
    /// Number of this start of the process.
    pub incarnation: u64,
    /// Number of the configuration in force.
    pub number: u64,
    /// Whether this entry VM is leaving.
    pub leaving: bool,
    /// Number of open requests.
    pub open: u64,
    /// Other entry VMs.
    pub members: View,
    /// Generations that this entry VM serves, by their identifiers.
    pub generations: BTreeMap<String, session::Status>,
    /// State of the keeper, which stores answers for peers.
    pub keeper: keeper::State,
    /// State of each upstream, by its name.
    pub upstreams: BTreeMap<String, UpstreamState>,
    /// Counters.
    pub counters: Snapshot,
}
