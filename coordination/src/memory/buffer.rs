//! Copy of a message that arrives in pieces.
//!
//! The pieces are copied, as a piece of one byte may keep the whole read buffer allocated of which
//! it is a slice. They are kept in segments of moderate size: a buffer that grows by reallocation
//! leaves freed blocks of its earlier sizes, which an allocator may keep. Measured with glibc, four
//! messages of 4 MB took up to 95 MB of resident memory that way.

use super::Budget;
use super::message::Message;
use super::reservation::Reservation;
use quick_error::quick_error;

/// Capacity of the first allocation, in bytes.
const MIN_CAPACITY: usize = 4 << 10;
/// Capacity of a full segment, in bytes: below the size from which allocators map memory.
const SEGMENT: usize = 64 << 10;

quick_error! {
    /// Reasons why a buffer takes no more bytes.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The message exceeds the buffer's own limit.
        TooLong {
            display("the message is too long")
        }
        /// The budget has no room left.
        BudgetUsedUp {
            display("the memory budget is used up")
        }
    }
}

/// Bytes of one message while it arrives; dropping it returns them to the budget.
#[derive(Debug)]
pub struct Buffer {
    limit: usize,
    reservation: Reservation,
    length: usize,
    /// All but the last are full.
    segments: Vec<Vec<u8>>,
}

impl Buffer {
    /// Creates a buffer for at most `limit` bytes.
    pub fn new(budget: &Budget, limit: usize) -> Self {
        let reservation = Reservation::new(budget);
        Self { limit, reservation, length: 0, segments: Vec::new() }
    }

    /// Appends a piece; fails with [`Error`] if there is no room for all of it.
    pub fn append(&mut self, piece: &[u8]) -> Result<(), Error> {
        if piece.len() > self.limit - self.length {
            return Err(Error::TooLong);
        }
        let capacity = capacity(self.length + piece.len(), self.limit);
        if !self.reservation.grow_to(capacity) {
            return Err(Error::BudgetUsedUp);
        }
        let mut rest = piece;
        while !rest.is_empty() {
            let begun = self.length / SEGMENT;
            if begun == self.segments.len() {
                self.segments.push(Vec::new());
            }
            let segment = &mut self.segments[begun];
            let (now, later) = rest.split_at(rest.len().min(SEGMENT - segment.len()));
            let wanted = (capacity - begun * SEGMENT).min(SEGMENT);
            segment.reserve_exact(wanted - segment.len());
            segment.extend_from_slice(now);
            self.length += now.len();
            rest = later;
        }
        Ok(())
    }

    /// Number of bytes reserved.
    pub fn reserved(&self) -> usize {
        self.reservation.bytes()
    }

    /// Reserves the room to join the segments, so that [`Self::finish`] succeeds; fails with
    /// [`Error::BudgetUsedUp`].
    pub fn prepare_finish(&mut self) -> Result<(), Error> {
        let joined = if self.segments.len() <= 1 { 0 } else { self.length };
        let segments: usize = self.segments.iter().map(Vec::capacity).sum();
        if self.reservation.grow_to(segments + joined) { Ok(()) } else { Err(Error::BudgetUsedUp) }
    }

    /// Returns the whole message; fails with [`Error::BudgetUsedUp`] if there is no room to join its
    /// segments.
    pub fn finish(mut self) -> Result<Message, Error> {
        self.prepare_finish()?;
        if self.segments.len() <= 1 {
            let bytes = self.segments.pop().unwrap_or_default();
            return Ok(Message::new(self.reservation, bytes));
        }
        let mut bytes = Vec::with_capacity(self.length);
        for segment in self.segments {
            bytes.extend_from_slice(&segment);
        }
        self.reservation.shrink_to(self.length);
        Ok(Message::new(self.reservation, bytes))
    }
}

/// Capacity to allocate for a message that has `length` bytes so far.
fn capacity(length: usize, limit: usize) -> usize {
    if length <= SEGMENT {
        return length.next_power_of_two().max(MIN_CAPACITY).min(limit);
    }
    length.next_multiple_of(SEGMENT).min(limit)
}
