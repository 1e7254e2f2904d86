//! Admission of clients that the system doesn't control.
//!
//! Whatever a client sends or leaves unread takes memory and descriptors of the entry VM. [`Resources`]
//! divides those of the VM among all uses, so that none takes what another needs: its own state, the
//! store, upstreams, and each port. [`Connections`] bounds the open connections of a port; when they
//! are used up, the one that has been without a request for longest makes room. [`upload`] reads bodies
//! within [`coordination::intake`]; what uses most memory for the longest time makes room there.
//! [`Rejections`] counts who is turned away, by cause.

mod cause;
mod connection;
mod connections;
mod rejections;
mod resources;
mod state;
pub mod upload;

pub use cause::Cause;
pub use connection::Connection;
pub use connections::Connections;
pub use rejections::Rejections;
pub use resources::Resources;
pub use state::State;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::prelude::*;
use coordination::intake::Intake;
use coordination::memory::Budget;

/// Admission of an entry VM's clients, on all of its ports.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Clock of the process.
    pub clock: Clock,
    /// Callers' connections.
    pub callers: Connections,
    /// Connections for readiness checks.
    pub readiness: Connections,
    /// Connections for the addresses of entry VMs.
    pub entries: Connections,
    /// Connections of peers.
    pub peers: Connections,
    /// Connections of operators.
    pub operators: Connections,
    /// Bodies of callers' requests.
    pub bodies: Intake,
    /// Messages of peers.
    pub messages: Intake,
    /// Memory for answers to peers.
    pub answers: Budget,
    /// Clients that were turned away.
    pub rejections: Rejections,
    memory: Budget,
}

impl Admission {
    /// Creates the admission of an entry VM. `memory` is the budget of the process.
    pub fn new(clock: Clock, resources: Resources, memory: &Budget, metrics: Arc<Metrics>) -> Self {
        let rejections = Rejections::new(clock, metrics);
        let connections = |name, limit| Connections::new(name, limit, clock, rejections.clone());
        let bodies = resources.bodies(memory);
        let group_limit = bodies.limit() / 2;
        let messages = resources.messages(memory);
        let message_limit = messages.limit();
        Self {
            clock,
            callers: connections("callers", resources.caller_connections()),
            readiness: connections("readiness", resources.check_connections()),
            entries: connections("entries", resources.check_connections()),
            peers: connections("peers", resources.peer_connections()),
            operators: connections("operators", Resources::OPERATOR_CONNECTIONS),
            bodies: Intake::new(bodies, group_limit),
            messages: Intake::new(messages, message_limit),
            answers: resources.answers(memory),
            rejections,
            memory: memory.clone(),
        }
    }

    /// Memory held and open connections now.
    pub fn state(&self) -> State {
        let ports = [&self.callers, &self.readiness, &self.entries, &self.peers, &self.operators];
        State {
            memory_bytes: self.memory.held(),
            memory_limit_bytes: self.memory.limit(),
            body_bytes: self.bodies.held(),
            arriving_bodies: self.bodies.len(),
            connections: ports.map(|port| (port.name(), port.len())).into_iter().collect(),
        }
    }
}
