//! State of the process, for operators.

use crate::admission;
use crate::control::Version;
use crate::drain::Phase;
use crate::follower::ConfigurationAge;
use crate::members::View;
use crate::placement::State;
use crate::quarantine;
use serde::Serialize;
use std::collections::BTreeMap;

/// State of an entry VM's process.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Dump {
    /// Name of the entry VM.
    pub name: String,
    /// Number of this start of the process.
    pub incarnation: u64,
    /// Phase of the shutdown.
    pub phase: Phase,
    /// Number of the configuration in force.
    pub number: u64,
    /// Age of that configuration and of what the store last said of it.
    pub configuration: ConfigurationAge,
    /// Version of the store that lists the known upstreams.
    #[serde(flatten)]
    pub store: Version,
    /// Number of open requests.
    pub open: u64,
    /// Memory that clients hold, and their connections.
    pub admission: admission::State,
    /// Other entry VMs.
    pub members: View,
    /// State of each upstream, by its identifier.
    pub upstreams: BTreeMap<String, State>,
    /// Parts of prompts that crash engines, and what is known of them.
    pub quarantine: quarantine::State,
}
