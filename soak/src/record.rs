//! What callers saw.

use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Generation; goes on at another engine.
    Draft,
    /// Action; runs once at most.
    Order,
    /// Lookup.
    Status,
    /// Lookup on the route that one configuration alone has.
    Probe(u64),
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A success, whole by its framing, with its text and events.
    Success {
        /// Numbers of the events.
        events: Vec<u32>,
        /// Every part names the request.
        own: bool,
    },
    /// Another answer.
    Answered(u16),
    /// The connection ended or fell silent before the answer was whole.
    Cut {
        /// Numbers of the events so far.
        events: Vec<u32>,
        /// Every part names the request.
        own: bool,
    },
    /// There was no connection, or it had ended before.
    Unsent,
    /// The caller left.
    Left,
}

/// One attempt of a caller.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Attempt {
    /// Id.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Entry VM.
    pub entry: SocketAddr,
    /// When it was sent, from the start of the load.
    pub sent: Duration,
    /// When it had ended.
    pub ended: Duration,
    /// Last event that the caller had.
    pub last_event: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// A time in which nothing but the rolling end of entry VMs happens.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Calm {
    /// From here, from the start of the load.
    pub from: Duration,
    /// Configuration in force then.
    pub version: u64,
}
