//! Memory that a message has used over time.

use std::time::Duration;

/// Integral of a message's bytes over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Product of bytes and milliseconds up to `at`.
    byte_ms: u128,
    bytes: usize,
    at: Duration,
}

impl Usage {
    /// Sets the bytes that the message holds from `now` on.
    pub fn set_bytes(&mut self, bytes: usize, now: Duration) {
        *self = Self { byte_ms: self.byte_ms(now), bytes, at: now };
    }

    /// Usage up to `now`, in bytes times milliseconds.
    pub fn byte_ms(&self, now: Duration) -> u128 {
        self.byte_ms + self.bytes as u128 * now.saturating_sub(self.at).as_millis()
    }
}
