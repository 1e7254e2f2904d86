//! Parts of prompts, and requests, that crash each upstream which begins to answer them.

use bytes::Bytes;
use quetzaltiller::proxy::{Prompt, Request};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time from the head of an answer to the crash of its engine.
pub(super) const CRASH_DELAY: Duration = Duration::from_millis(60);
/// Time from the arrival of a request at a replica of a plain service to its crash.
pub(super) const CALL_CRASH_DELAY: Duration = Duration::from_millis(12);

/// Parts and requests that crash upstreams, and what happened to such requests.
#[derive(Default)]
pub struct Poison {
    parts: BTreeSet<u64>,
    /// Paths and bodies of requests.
    requests: BTreeSet<(String, Bytes)>,
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
    crashed: Option<mpsc::UnboundedSender<String>>,
}

impl Poison {
    /// Returns the receiver of the ids of upstreams that crash from now on.
    pub(super) fn watch(&mut self) -> mpsc::UnboundedReceiver<String> {
        let (crashed, received) = mpsc::unbounded_channel();
        self.crashed = Some(crashed);
        received
    }

    /// Lets `part` crash engines.
    pub(super) fn add_part(&mut self, part: u64) {
        self.parts.insert(part);
    }

    /// Lets requests with the path and body of `request` crash upstreams.
    pub(super) fn add_request(&mut self, request: &Request) {
        self.requests.insert((request.path.clone(), request.body.clone()));
    }

    /// Whether the request crashes upstreams; the last part of its prompt never does.
    pub(super) fn affects(&self, request: &Request) -> bool {
        let shared = request.prompt.as_ref().map(Prompt::shared_parts).unwrap_or_default();
        shared.iter().any(|part| self.parts.contains(part))
            || self.requests.contains(&(request.path.clone(), request.body.clone()))
    }

    pub(super) fn record_arrival(&mut self) {
        self.arrivals.push(Instant::now());
    }

    pub(super) fn record_crash(&mut self, id: String) {
        self.crashes.push(Instant::now());
        if let Some(crashed) = &self.crashed {
            let _ = crashed.send(id);
        }
    }

    /// Times at which such requests reached an upstream.
    pub(super) fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.clone()
    }

    /// Times at which upstreams crashed.
    pub(super) fn crashes(&self) -> Vec<Instant> {
        self.crashes.clone()
    }
}
