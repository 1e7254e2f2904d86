//! Records of the callers' attempts, which the checker reads.

use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Generation, which resumes on another engine when its engine is lost.
    Draft,
    /// Action, which runs at most once.
    Order,
    /// Lookup on a route that every configuration has.
    Status,
    /// Lookup on the route that exists only in the configuration of this number.
    Probe(u64),
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Status 200 with a body that is complete by its framing.
    Success {
        /// Numbers of the events received.
        events: Vec<u32>,
        /// Whether every part names the request.
        own: bool,
    },
    /// Answer with a status other than 200.
    Answered(u16),
    /// The connection ended or fell silent before the answer was complete.
    Cut {
        /// Numbers of the events received.
        events: Vec<u32>,
        /// Whether every part names the request.
        own: bool,
    },
    /// The request was not sent, as no connection could be opened or the open one had ended.
    Unsent,
    /// The caller abandoned the answer.
    Left,
}

/// One attempt of a caller.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Attempt {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Callers' address of the entry VM.
    pub entry: SocketAddr,
    /// When the request was sent, as time since the start of the load.
    pub sent: Duration,
    /// When the attempt ended, as time since the start of the load.
    pub ended: Duration,
    /// Number of the last event that the caller had before; 0 for none.
    pub last_event: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
}

/// The last part of a run, in which nothing happens but a rolling restart of entry VMs.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Calm {
    /// Start of the calm part, as time since the start of the load.
    pub from: Duration,
    /// Number of the configuration that is to be in force.
    pub version: u64,
}
