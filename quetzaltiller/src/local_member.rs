//! State of this process as a member: its heartbeat and its open requests.

use coordination::membership::Heartbeat;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// State of this process that its heartbeats report.
#[derive(Debug)]
pub struct LocalMember {
    /// Constant part of the heartbeat: name, zone, addresses and incarnation.
    pub heartbeat: Heartbeat,
    leaving: AtomicBool,
    open: Mutex<RequestTable>,
}

/// Ids of open requests, in order of arrival.
#[derive(Debug, Default)]
struct RequestTable {
    next: u64,
    requests: BTreeMap<u64, String>,
}

impl LocalMember {
    /// Creates the state of an entry VM from its name, zone, addresses and incarnation.
    pub fn new(initial: Heartbeat) -> Self {
        Self { heartbeat: initial, leaving: AtomicBool::new(false), open: Mutex::default() }
    }

    /// Marks this process as leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Number of open requests.
    pub fn open(&self) -> u64 {
        self.lock().requests.len() as u64
    }

    /// Ids of the open requests, in order of arrival.
    pub fn open_requests(&self) -> Vec<String> {
        self.lock().requests.values().cloned().collect()
    }

    /// Registers a request as open until the result is dropped.
    pub fn open_request(self: &Arc<Self>, request: &str) -> OpenRequest {
        let mut open = self.lock();
        open.next += 1;
        let number = open.next;
        open.requests.insert(number, request.to_owned());
        OpenRequest { local: self.clone(), number }
    }

    /// Current heartbeat.
    pub fn heartbeat(&self) -> Heartbeat {
        let (leaving, open) = (self.is_leaving(), self.open());
        Heartbeat { leaving, open, ..self.heartbeat.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, RequestTable> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of an open request; dropping it closes the request.
#[derive(Debug)]
pub struct OpenRequest {
    local: Arc<LocalMember>,
    number: u64,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.local.lock().requests.remove(&self.number);
    }
}
