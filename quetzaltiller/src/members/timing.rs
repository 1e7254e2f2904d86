//! Periods and timeouts of heartbeats.

use crate::prelude::*;

/// Number of periods between two rounds of heartbeats to far members.
const FAR_PERIODS: u32 = 3;

/// Periods and timeouts of heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two rounds of heartbeats.
    pub period: Duration,
    /// Time after its last heartbeat for which a near member that is called in each round counts as
    /// alive.
    pub timeout: Duration,
    /// Time for which a dead member is still called before it is removed.
    pub retention: Duration,
    /// Whether only one member of each pair sends heartbeats to the other. This halves the number
    /// of messages and doubles the age of the information in them.
    pub one_sided: bool,
    /// Maximum number of near members that are called in one period, and of far members in
    /// `FAR_PERIODS` periods. If there are more members, they are called in rotation.
    pub fan_out: usize,
}

impl Timing {
    /// Whether far members are called in round number `round`.
    pub fn is_far_round(&self, round: u32) -> bool {
        round % FAR_PERIODS == 1
    }

    /// Time after its last heartbeat for which a member that is called in each round counts as
    /// alive.
    pub fn base_timeout(&self, near: bool) -> Duration {
        self.timeout * if near { 1 } else { FAR_PERIODS }
    }

    /// Time after its last heartbeat for which one of `members` that are called in rotation counts
    /// as alive.
    pub fn rotation_timeout(&self, near: bool, members: usize) -> Duration {
        self.base_timeout(near) * self.rounds_per_rotation(members)
    }

    /// Number of rounds in which each of `members` is called once.
    pub fn rounds_per_rotation(&self, members: usize) -> u32 {
        members.div_ceil(self.fan_out.max(1)).max(1) as u32
    }
}
