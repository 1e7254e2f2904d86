//! State of the process, for operators.

use crate::drain::Phase;
use crate::members::View;
use crate::placement::State;
use serde::Serialize;
use std::collections::BTreeMap;

/// State of the process.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Dump {
    /// Name.
    pub name: String,
    /// Start of the process.
    pub incarnation: u64,
    /// Step of leaving.
    pub phase: Phase,
    /// Number of the configuration in force.
    pub number: u64,
    /// Revision of the upstreams.
    pub revision: u64,
    /// Open requests.
    pub open: u64,
    /// Other entry VMs.
    pub members: View,
    /// Upstreams.
    pub upstreams: BTreeMap<String, State>,
}
