//! Results of a placement: the chosen upstreams with the permit that reserves them, or the reason
//! why none was chosen.

use super::allocation::Allocation;
use super::message::Message;
use super::speed::Speed;
use crate::fleet::Upstream;
use crate::mailbox::Mailbox;
use crate::prelude::*;

/// Time after which a request without an upstream may be repeated: a lost engine restarts in 1 to 2
/// s.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(1_000);

/// Chosen upstreams, with the permit that reserves them.
#[derive(Debug)]
pub struct Placement {
    /// Upstream that the request is sent to.
    pub upstream: Arc<Upstream>,
    /// Engine that copies of the run's memory are sent to.
    pub backup: Option<Arc<Upstream>>,
    /// Whether the upstream holds a copy of the run's memory.
    pub has_copy: bool,
    /// Expected time until the run generates.
    pub wait: Duration,
    /// Whether the prompt is read without waiting for others.
    pub uncontended: bool,
    /// Measured speed of engines at the time of the choice.
    pub speed: Speed,
    /// Reservation, released on drop.
    pub permit: Permit,
}

/// Engine for a copy of a run's memory, with the permit that reserves it.
#[derive(Debug)]
pub struct Copy {
    /// Engine that the copy is sent to.
    pub upstream: Arc<Upstream>,
    /// Time after which the engine discards a copy that is not renewed.
    pub ttl: Duration,
    pub(super) _permit: Permit,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unplaced {
    /// All upstreams are full, or would serve the request too late.
    Full {
        /// Time until there is room.
        retry_after: Duration,
    },
    /// No upstream of the service is available.
    NoUpstream,
}

impl Unplaced {
    /// Refusal code for the caller.
    pub fn code(self) -> Code {
        match self {
            Self::Full { .. } => Code::Overloaded,
            Self::NoUpstream => Code::NoUpstream,
        }
    }

    /// Time after which a repeated request may find an upstream.
    pub fn retry_after(self) -> Duration {
        match self {
            Self::Full { retry_after } => retry_after,
            Self::NoUpstream => NO_UPSTREAM_RETRY,
        }
    }
}

/// Reservation of a request at its upstreams, released on drop.
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
