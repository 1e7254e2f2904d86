//! State of the quarantine, for operators.

use crate::control::Record;
use serde::Serialize;
use std::collections::BTreeMap;

/// State of the quarantine, for operators. Parts are in hexadecimal.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct State {
    /// Parts whose requests are refused.
    pub condemned: Vec<String>,
    /// Records of all known parts.
    pub records: BTreeMap<String, Record>,
    /// Parts whose records are to be written to the store or deleted there.
    pub pending: Vec<String>,
}
