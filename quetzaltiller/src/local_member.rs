//! What this process says of itself, and the requests that it has open.

use coordination::membership::Heartbeat;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// This process.
#[derive(Debug)]
pub struct LocalMember {
    /// Name, zone and addresses.
    pub heartbeat: Heartbeat,
    leaving: AtomicBool,
    open: Mutex<Open>,
}

/// Ids of open requests in the order in which they came.
#[derive(Debug, Default)]
struct Open {
    next: u64,
    requests: BTreeMap<u64, String>,
}

impl LocalMember {
    /// Describes an entry VM: its name, zone, addresses and incarnation.
    pub fn new(beat: Heartbeat) -> Self {
        Self { heartbeat: beat, leaving: AtomicBool::new(false), open: Mutex::default() }
    }

    /// Begins to leave.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Requests that are open.
    pub fn open(&self) -> u64 {
        self.lock().requests.len() as u64
    }

    /// Ids of the requests that are open.
    pub fn open_requests(&self) -> Vec<String> {
        self.lock().requests.values().cloned().collect()
    }

    /// Counts a request until the result is dropped.
    pub fn open_request(self: &Arc<Self>, request: &str) -> OpenRequest {
        let mut open = self.lock();
        open.next += 1;
        let number = open.next;
        open.requests.insert(number, request.to_owned());
        OpenRequest { local: self.clone(), number }
    }

    /// The heartbeat now.
    pub fn heartbeat(&self) -> Heartbeat {
        let (leaving, open) = (self.is_leaving(), self.open());
        Heartbeat { leaving, open, ..self.heartbeat.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is open.
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
