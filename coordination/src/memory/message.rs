//! Whole message in one piece of memory.

use super::reservation::Reservation;

/// Bytes of a whole message; dropping it returns them to the budget.
#[derive(Debug)]
pub struct Message {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl Message {
    /// Creates a message whose memory is counted in `reservation`.
    pub(super) fn new(reservation: Reservation, bytes: Vec<u8>) -> Self {
        Self { bytes, _reservation: reservation }
    }
}

impl AsRef<[u8]> for Message {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
