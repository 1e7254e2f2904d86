//! One message while it arrives.

use super::{Error, Intake};
use crate::memory::Message;
use std::time::Duration;

/// A message that arrives; dropping it returns its memory.
#[derive(Debug)]
pub struct Arrival {
    number: u64,
    intake: Intake,
}

impl Arrival {
    /// Creates the handle of the message with a number in the table of `intake`.
    pub(super) fn new(number: u64, intake: Intake) -> Self {
        Self { number, intake }
    }

    /// Appends a piece that came at `now`, and drops other messages if that takes their memory. After
    /// an [`Error`] the message is incomplete.
    pub fn append(&mut self, piece: &[u8], now: Duration) -> Result<(), Error> {
        self.intake.lock().append(self.number, piece, now)
    }

    /// Returns the whole message at `now`.
    pub fn finish(self, now: Duration) -> Result<Message, Error> {
        self.intake.lock().finish(self.number, now)
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.intake.lock().remove(self.number);
    }
}
