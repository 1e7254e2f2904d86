//! Parts of prompts that crash each engine which begins to answer them.

use quetzaltiller::proxy::Prompt;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Time from the head of an answer to the crash of its engine.
pub(super) const CRASH_DELAY: Duration = Duration::from_millis(60);

/// Parts that crash engines, and what happened to requests with such a part.
#[derive(Default)]
pub struct Poison {
    parts: BTreeSet<u64>,
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
    crashed: Option<mpsc::UnboundedSender<String>>,
}

impl Poison {
    /// Lets `part` crash engines; returns the receiver of their ids.
    pub(super) fn add(&mut self, part: u64) -> mpsc::UnboundedReceiver<String> {
        let (crashed, received) = mpsc::unbounded_channel();
        self.parts.insert(part);
        self.crashed = Some(crashed);
        received
    }

    /// Whether the prompt crashes engines; its last part never does.
    pub(super) fn affects(&self, prompt: &Prompt) -> bool {
        let shared = prompt.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().any(|part| self.parts.contains(&part.id))
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

    /// Times at which requests with such a part reached an engine.
    pub(super) fn arrivals(&self) -> Vec<Instant> {
        self.arrivals.clone()
    }

    /// Times at which engines crashed.
    pub(super) fn crashes(&self) -> Vec<Instant> {
        self.crashes.clone()
    }
}
