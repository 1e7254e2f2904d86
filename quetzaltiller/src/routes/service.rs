//! Services: sets of interchangeable upstreams.

use serde::{Deserialize, Serialize};

/// Set of interchangeable upstreams.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the upstreams' health check.
    pub check_path: String,
    /// Maximum number of connections that each upstream accepts from all entry VMs together.
    pub max_connections: u32,
    /// Capacities of the upstreams; only set for model engines.
    pub engine: Option<Engine>,
}

/// Capacities of a service's model engines.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Engine {
    /// Maximum number of requests in one batch.
    pub slots: u32,
    /// Number of tokens that an engine's memory holds.
    pub memory_tokens: u32,
    /// Whether engines copy a run's memory to another engine while the run continues.
    pub backups: bool,
    /// Whether engines move a run's memory on request.
    pub moves: bool,
    /// Time after which an engine drops a copy that is not updated, in milliseconds.
    pub copy_term_ms: u64,
}
