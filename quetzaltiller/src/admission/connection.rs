//! One open connection of a port.

use super::connections::{Connections, Phase, Signals};
use crate::prelude::*;
use tokio_util::sync::CancellationToken;

/// An open connection; dropping it returns its place.
#[derive(Debug)]
pub struct Connection {
    number: u64,
    connections: Connections,
    signals: Signals,
}

impl Connection {
    pub(super) fn new(number: u64, connections: Connections, signals: Signals) -> Self {
        Self { number, connections, signals }
    }

    /// Marks the connection as one on which a request arrives until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.connections.set_phase(self.number, Phase::Receiving);
        RequestGuard { connection: self.clone() }
    }

    /// Completes when the connection has lost its place while it had no request.
    pub async fn closed(&self) {
        self.signals.close.cancelled().await;
    }

    /// Signal that the request which is arriving is to be refused, or was refused before its body was
    /// read; the connection then ends with the answer.
    pub fn refusal(&self) -> &CancellationToken {
        &self.signals.refuse
    }

    /// Name of the port.
    pub fn port(&self) -> &'static str {
        self.connections.name()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.remove(self.number);
    }
}

/// A request on a connection, from its head to the end of its answer.
#[derive(Debug)]
pub struct RequestGuard {
    connection: Arc<Connection>,
}

impl RequestGuard {
    /// Marks the request as one that has arrived whole.
    pub fn record_arrival(&self) {
        self.connection.connections.set_phase(self.connection.number, Phase::Serving);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.connections.set_phase(self.connection.number, Phase::Idle);
    }
}
