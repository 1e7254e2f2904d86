//! One round of queries to the engines of a service.

use crate::prelude::*;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// One round of queries, with the answers so far and the searches that wait for more.
#[derive(Debug, Default)]
pub struct Round {
    /// Number of the round, by which late answers of earlier rounds are recognised.
    pub number: u64,
    /// Time at which the engines were queried.
    pub started_at: Duration,
    /// Number of engines that have not answered yet.
    pub pending: usize,
    engines_by_part: BTreeMap<u64, String>,
    waiting: Vec<(u64, oneshot::Sender<Option<String>>)>,
}

impl Round {
    /// Starts a round of queries to `pending` engines.
    pub fn new(number: u64, started_at: Duration, pending: usize) -> Self {
        Self { number, started_at, pending, ..Self::default() }
    }

    /// Replies with the engine that has `part` cached, or none, once that is known or all engines
    /// have answered.
    pub fn answer(&mut self, part: u64, reply: oneshot::Sender<Option<String>>) {
        match self.engines_by_part.get(&part) {
            Some(engine) => {
                let _ = reply.send(Some(engine.clone()));
            }
            None if self.pending == 0 => {
                let _ = reply.send(None);
            }
            None => self.waiting.push((part, reply)),
        }
    }

    /// Records the answer of an engine that has `parts` cached, and answers the searches that it
    /// settles.
    pub fn record_parts(&mut self, engine: &str, parts: Vec<u64>) {
        self.pending = self.pending.saturating_sub(1);
        self.engines_by_part.extend(parts.into_iter().map(|part| (part, engine.to_owned())));
        for (part, reply) in std::mem::take(&mut self.waiting) {
            self.answer(part, reply);
        }
    }
}
