//! Memory and descriptors of the VM, and their division among uses.
//!
//! Each use has a share that the others can't take. Memory, in fifteenths: own state 3, callers'
//! connections 3, connections of the other ports 1, bodies of requests 3, messages of peers and answers
//! to them 1, replies of upstreams 2 and answers of the store 2. Descriptors: two fifths for callers,
//! an eighth for peers and a sixteenth each for readiness checks and addresses of entry VMs; what is
//! left, a good third, is for the store, upstreams, peers that are called and operators.

use coordination::memory::Budget;

/// Number of shares into which memory is divided.
const MEMORY_SHARES: usize = 15;
/// Maximum memory for replies of upstreams: 30 of the longest.
const MAX_REPLY_MEMORY: usize = 30 << 20;
/// Maximum memory for answers of the store: 16 of its pages.
const MAX_STORE_MEMORY: usize = 16 << 20;
/// Descriptors that are kept for files and for the runtime.
const FILE_DESCRIPTORS: usize = 200;
/// Memory in bytes of a caller's connection: buffers for reading and writing, each a little larger than
/// the longest head, its decoded headers, and events that wait for the caller.
const CALLER_CONNECTION_BYTES: usize = 64 << 10;
/// Memory in bytes of a connection to another port: a head and its task.
const CONNECTION_BYTES: usize = 20 << 10;
/// Minimum number of connections of a port.
const MIN_CONNECTIONS: usize = 16;

/// Memory and descriptors of the VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Resources {
    /// Memory of the VM in bytes.
    pub memory_bytes: usize,
    /// Number of descriptors that the process may open.
    pub descriptors: usize,
}

impl Default for Resources {
    /// The smallest VM that the system runs on.
    fn default() -> Self {
        Self { memory_bytes: 120_000_000, descriptors: 3_075 }
    }
}

impl Resources {
    /// Maximum number of operators' connections; a new one closes the one that is idle for longest.
    pub const OPERATOR_CONNECTIONS: usize = 16;

    /// Budget of the process: its memory but for its own state.
    pub fn memory(&self) -> Budget {
        Budget::new(self.memory_shares(12))
    }

    /// Share of `memory` for bodies of callers' requests, of which a quarter is kept for small ones.
    pub fn bodies(&self, memory: &Budget) -> Budget {
        let limit = self.memory_shares(3);
        memory.share(limit).keep_for_small(limit / 4)
    }

    /// Share of `memory` for messages of peers while they arrive.
    pub fn messages(&self, memory: &Budget) -> Budget {
        let limit = self.memory_shares(1) / 2;
        memory.share(limit).keep_for_small(limit / 4)
    }

    /// Share of `memory` for answers to peers.
    pub fn answers(&self, memory: &Budget) -> Budget {
        memory.share(self.memory_shares(1) / 2)
    }

    /// Share of `memory` for replies of upstreams.
    pub fn replies(&self, memory: &Budget) -> Budget {
        memory.share(self.memory_shares(2).min(MAX_REPLY_MEMORY))
    }

    /// Share of `memory` for answers of the store.
    pub fn store_answers(&self, memory: &Budget) -> Budget {
        memory.share(self.memory_shares(2).min(MAX_STORE_MEMORY))
    }

    /// Maximum number of callers' connections.
    pub fn caller_connections(&self) -> usize {
        self.connections(2.0 / 5.0, self.memory_shares(3) / CALLER_CONNECTION_BYTES)
    }

    /// Maximum number of connections for readiness checks, and of those for addresses of entry VMs.
    pub fn check_connections(&self) -> usize {
        self.connections(1.0 / 16.0, self.memory_shares(1) / 4 / CONNECTION_BYTES)
    }

    /// Maximum number of connections of peers.
    pub fn peer_connections(&self) -> usize {
        self.connections(1.0 / 8.0, self.memory_shares(1) / 2 / CONNECTION_BYTES)
    }

    fn connections(&self, descriptor_share: f64, memory_limit: usize) -> usize {
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS) as f64;
        ((sockets * descriptor_share) as usize).min(memory_limit).max(MIN_CONNECTIONS)
    }

    fn memory_shares(&self, shares: usize) -> usize {
        self.memory_bytes / MEMORY_SHARES * shares
    }
}
