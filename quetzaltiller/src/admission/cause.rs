//! Causes for which clients are turned away.

use crate::metrics::Counter;

/// Cause for which a client is turned away.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// All connections of the port serve requests.
    ConnectionRefused,
    /// The connection was without a request for longest, and others needed its place.
    ConnectionClosed,
    /// The body is longer than any may be.
    BodyTooLong,
    /// The body did not arrive in time.
    BodyLate,
    /// The body found no memory, or others needed its memory or the place of its connection.
    MemoryUsedUp,
    /// A peer's message is too long, late, or found no memory.
    MessageRefused,
}

impl Cause {
    /// Counter of the clients that were turned away for this cause.
    pub fn counter(self) -> Counter {
        match self {
            Self::ConnectionRefused => Counter::ConnectionRefused,
            Self::ConnectionClosed => Counter::ConnectionClosed,
            Self::BodyTooLong => Counter::BodyTooLong,
            Self::BodyLate => Counter::BodyLate,
            Self::MemoryUsedUp => Counter::BodyMemoryUsedUp,
            Self::MessageRefused => Counter::MessageRefused,
        }
    }
}
