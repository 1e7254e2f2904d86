//! State of the quarantine, for operators.

use crate::control::Record;
use serde::Serialize;
use std::collections::BTreeMap;

/// State of the quarantine, for operators. Records have the names of their objects in the store.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct State {
    /// Subjects whose requests are refused.
    pub condemned: Vec<String>,
    /// Records of all known subjects.
    pub records: BTreeMap<String, Record>,
    /// Subjects whose records are to be written to the store or deleted there.
    pub pending: Vec<String>,
}
