//! Times of heartbeats.

use crate::prelude::*;

/// Periods between heartbeats of far members.
const FAR_PERIODS: u32 = 3;

/// Times of heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between heartbeats to one member.
    pub period: Duration,
    /// A member is alive for so long after its last heartbeat.
    pub timeout: Duration,
    /// A silent member is called for so long before it is forgotten.
    pub retention: Duration,
    /// Of two that hear each other only one calls: half of the messages, and news that is twice as old.
    pub one_sided: bool,
    /// Near members that are called in one period, and far ones in `FAR_PERIODS`. Where there are
    /// more, they are called in turn.
    pub fan_out: usize,
}

impl Timing {
    /// Whether far members are called in this round.
    pub fn is_far_round(&self, round: u32) -> bool {
        round % FAR_PERIODS == 1
    }

    /// Time in which a member is heard that is called in each round.
    pub fn patience(&self, near: bool) -> Duration {
        self.timeout * if near { 1 } else { FAR_PERIODS }
    }

    /// Time after which one of `members` that are called in turn is no longer taken as alive.
    pub fn timeout_among(&self, near: bool, members: usize) -> Duration {
        self.patience(near) * self.turns(members)
    }

    /// Rounds in which each of `members` is called once.
    pub fn turns(&self, members: usize) -> u32 {
        members.div_ceil(self.fan_out.max(1)).max(1) as u32
    }
}
