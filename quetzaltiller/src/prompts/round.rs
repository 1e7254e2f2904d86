//! Questions to all engines of a service.

use crate::prelude::*;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Questions to all engines of a service.
#[derive(Debug, Default)]
pub struct Round {
    /// Tells it apart from earlier ones.
    pub number: u64,
    /// When they were asked.
    pub began: Duration,
    /// Engines that have not answered yet.
    pub due: usize,
    /// Engine by part.
    found: BTreeMap<u64, String>,
    waiting: Vec<(u64, oneshot::Sender<Option<String>>)>,
}

impl Round {
    /// Round of questions to `due` engines.
    pub fn new(number: u64, began: Duration, due: usize) -> Self {
        Self { number, began, due, ..Self::default() }
    }

    /// Answers as soon as the engine is known or all have answered.
    pub fn serve(&mut self, part: u64, reply: oneshot::Sender<Option<String>>) {
        match self.found.get(&part) {
            Some(engine) => {
                let _ = reply.send(Some(engine.clone()));
            }
            None if self.due == 0 => {
                let _ = reply.send(None);
            }
            None => self.waiting.push((part, reply)),
        }
    }

    /// Takes the parts that an engine keeps.
    pub fn take(&mut self, engine: &str, parts: Vec<u64>) {
        self.due = self.due.saturating_sub(1);
        self.found.extend(parts.into_iter().map(|part| (part, engine.to_owned())));
        for (part, reply) in std::mem::take(&mut self.waiting) {
            self.serve(part, reply);
        }
    }
}
