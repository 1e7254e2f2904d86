//! The rounds of queries whose answers are still reused, by service and model.
//!
//! Callers choose the names of models, so rounds of names that nobody serves end like all others, and
//! their number is limited.

use super::round::Round;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Time for which a round's answers are reused; callers of a lost entry VM return within a fraction
/// of a second.
const ANSWER_LIFETIME: Duration = Duration::from_millis(300);
/// Maximum number of rounds at a time: 16 for each model in steady use at the design size.
const MAX_ROUNDS: usize = 64;

/// Key of a round: the engines of a service that serve one model.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RoundKey {
    /// Service of the engines.
    pub service: String,
    /// Name of the model, as the caller gives it.
    pub model: String,
}

/// Rounds of queries that have not ended.
#[derive(Debug, Default)]
pub struct Rounds {
    last_number: u64,
    rounds: BTreeMap<RoundKey, Round>,
}

impl Rounds {
    /// Number of rounds.
    pub fn len(&self) -> usize {
        self.rounds.len()
    }

    /// Whether there is no round.
    pub fn is_empty(&self) -> bool {
        self.rounds.is_empty()
    }

    /// Removes the rounds that have ended; returns whether one of `key` has not.
    pub fn has_current(&mut self, key: &RoundKey, now: Duration) -> bool {
        self.rounds.retain(|_, round| now < round.started_at + ANSWER_LIFETIME);
        self.rounds.contains_key(key)
    }

    /// Whether another round may begin.
    pub fn has_room(&self) -> bool {
        self.rounds.len() < MAX_ROUNDS
    }

    /// Begins a round of queries to `pending` engines; returns its number.
    pub fn begin(&mut self, key: RoundKey, now: Duration, pending: usize) -> u64 {
        self.last_number += 1;
        self.rounds.insert(key, Round::new(self.last_number, now, pending));
        self.last_number
    }

    /// Round of `key`.
    pub fn get_mut(&mut self, key: &RoundKey) -> Option<&mut Round> {
        self.rounds.get_mut(key)
    }
}
