//! Places at upstreams.

use super::allocation::Allocation;
use super::message::Message;
use super::speed::Speed;
use crate::fleet::Upstream;
use crate::mailbox::Mailbox;
use crate::prelude::*;

/// An engine that is lost is back in 1 to 2 s.
const NOWHERE_RETRY: Duration = Duration::from_millis(1_000);

/// Chosen upstreams, with the place held at them.
#[derive(Debug)]
pub struct Placement {
    /// Where the request goes.
    pub upstream: Arc<Upstream>,
    /// Where copies of its memory go.
    pub backup: Option<Arc<Upstream>>,
    /// The upstream holds a copy of the run's memory.
    pub has_copy: bool,
    /// Expected time until the run generates.
    pub wait: Duration,
    /// Its prompt need not wait for others.
    pub uncontended: bool,
    /// How fast engines read and generate.
    pub speed: Speed,
    /// Place.
    pub permit: Permit,
}

/// Engine for a copy of a run's memory, with the place held there.
#[derive(Debug)]
pub struct Copy {
    /// Engine.
    pub upstream: Arc<Upstream>,
    /// Time after which it forgets a copy that is not brought up to date.
    pub ttl: Duration,
    pub(super) _permit: Permit,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unplaced {
    /// All are full, or would be too late.
    Full {
        /// Time until there is room.
        retry_after: Duration,
    },
    /// There is none.
    NoUpstream,
}

impl Unplaced {
    /// Code for the caller.
    pub fn code(self) -> Code {
        match self {
            Self::Full { .. } => Code::Overloaded,
            Self::NoUpstream => Code::NoUpstream,
        }
    }

    /// Time after which a repeat may find an upstream.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Full { retry_after } => retry_after,
            Self::NoUpstream => NOWHERE_RETRY,
        }
    }
}

/// A place at an upstream, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    pub(super) allocations: Vec<Allocation>,
    pub(super) mailbox: Mailbox<Message>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.mailbox.send(Message::Release(std::mem::take(&mut self.allocations)));
    }
}
