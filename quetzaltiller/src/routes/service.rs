//! A service: a set of like upstreams.

use serde::{Deserialize, Serialize};

/// Service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// Name.
    pub name: String,
    /// Path of the health check.
    pub check_path: String,
    /// Most connections that each upstream accepts from all entry VMs together.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// What the engines of a service can hold and do.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u32,
    /// Copies a run's memory to another engine while the run goes on.
    pub backups: bool,
    /// Moves a run's memory on demand.
    pub moves: bool,
    /// Time after which a copy is forgotten that is not brought up to date, in milliseconds.
    pub copy_term_ms: u64,
}
