//! Copies tokens to a keeper before they are emitted.
//!
//! One append is in flight at a time and carries all tokens received since the last, so batches
//! grow with the round trip. A keeper that does not confirm in time is replaced by the next in
//! rank, and tokens are emitted without waiting until that one has caught up.

use crate::generation::{Answer as _, Splice};
use crate::members::View;
use crate::wire;
use coordination::journal::Origin;
use std::time::Duration;

/// Attempt number that stands for none; attempts are numbered from 1.
const NO_ATTEMPT: u32 = 0;
/// Pause before keepers are tried again after all have failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// An append to send.
#[derive(Clone, Debug)]
pub struct OutgoingAppend {
    /// Peer address of the keeper.
    pub address: String,
    /// The append.
    pub append: wire::Append,
}

/// Result of an append.
#[derive(Clone, Copy, Debug)]
pub enum Acknowledgement {
    /// The keeper's answer.
    Answered(wire::Appended),
    /// No answer in time.
    Unanswered,
}

/// State of a generation's copy at its keeper.
#[derive(Debug, Default)]
pub struct Replicator {
    keeper: Option<String>,
    failed: Vec<String>,
    acked: u32,
    acked_whole: bool,
    sent_attempt: u32,
    acked_attempt: u32,
    in_flight: bool,
    degraded: bool,
    retry_at: Duration,
}

impl Replicator {
    /// Number of tokens that may be emitted, out of `next`: the confirmed ones, or all while there
    /// is no keeper to wait for.
    pub fn emittable(&self, next: u32) -> u32 {
        let waits = self.keeper.is_some() && !self.degraded;
        if waits { self.acked.min(next) } else { next }
    }

    /// Next append, if one is due.
    pub fn next_append(
        &mut self,
        now: Duration,
        view: &View,
        zone: &str,
        splice: &Splice,
        (term, whole): (u32, bool),
        origin: &Origin,
    ) -> Option<OutgoingAppend> {
        if self.in_flight || now < self.retry_at {
            return None;
        }
        let keepers = view.keepers(splice.generation(), zone);
        let keeper = keepers.into_iter().find(|beat| !self.failed.contains(&beat.name));
        let Some(keeper) = keeper else {
            self.clear_keepers(now);
            return None;
        };
        if self.keeper.as_ref() != Some(&keeper.name) {
            self.degraded |= self.keeper.is_some();
            self.keeper = Some(keeper.name.clone());
            self.acked = 0;
            self.acked_whole = false;
            self.acked_attempt = NO_ATTEMPT;
        }
        let placed = !origin.upstream.is_empty();
        let moved = placed && self.acked_attempt != origin.attempt;
        let due = splice.next() > self.acked || whole && !self.acked_whole || moved;
        if !due {
            return None;
        }
        self.in_flight = true;
        self.sent_attempt = origin.attempt;
        let append = wire::Append {
            generation: splice.generation().to_owned(),
            term,
            from: self.acked,
            tokens: splice.tokens()[self.acked as usize..].to_vec(),
            origin: (self.acked_attempt != origin.attempt).then(|| origin.clone().into()),
            whole,
        };
        Some(OutgoingAppend { address: keeper.peer_address.clone(), append })
    }

    /// Records the result of an append; returns the newer term, if the keeper has fenced this owner
    /// off.
    pub fn receive(&mut self, acknowledgement: Acknowledgement, whole: bool) -> Option<u32> {
        self.in_flight = false;
        match acknowledgement {
            Acknowledgement::Answered(appended) if appended.fenced_by > 0 => {
                Some(appended.fenced_by)
            }
            Acknowledgement::Answered(appended) if appended.unknown => {
                self.acked = 0;
                self.acked_attempt = NO_ATTEMPT;
                None
            }
            Acknowledgement::Answered(appended) if !appended.full => {
                self.acked = appended.next;
                self.acked_attempt = self.sent_attempt;
                self.acked_whole |= whole;
                self.degraded = false;
                None
            }
            _ => {
                self.failed.extend(self.keeper.clone());
                self.degraded = true;
                None
            }
        }
    }

    /// Whether the keeper has confirmed `attempt`, so that an entry VM which takes the generation
    /// over learns of it.
    pub fn has_confirmed(&self, attempt: u32) -> bool {
        self.acked_attempt == attempt
    }

    /// Stops waiting for the append in flight, so that tokens are emitted unconfirmed.
    pub fn stop_waiting(&mut self) {
        self.degraded = true;
    }

    /// Whether emission waits for a confirmation.
    pub fn is_waiting(&self) -> bool {
        self.in_flight && !self.degraded
    }

    fn clear_keepers(&mut self, now: Duration) {
        self.keeper = None;
        self.degraded = false;
        if !self.failed.is_empty() {
            self.failed.clear();
            self.retry_at = now + RETRY_PAUSE;
        }
    }
}
