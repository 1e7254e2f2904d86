//! Bytes of a budget that one owner holds.

use super::Budget;

/// Bytes of a budget that one owner holds; dropping it returns them.
#[derive(Debug)]
pub struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub(super) fn new(budget: &Budget) -> Self {
        Self { budget: budget.clone(), bytes: 0 }
    }

    /// Number of bytes reserved.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Raises the reservation to `bytes`; returns false without a change if the budget has no room.
    pub(super) fn grow_to(&mut self, bytes: usize) -> bool {
        let grown = bytes <= self.bytes || self.budget.reserve(bytes - self.bytes, bytes);
        if grown {
            self.bytes = self.bytes.max(bytes);
        }
        grown
    }

    /// Lowers the reservation to `bytes`.
    pub(super) fn shrink_to(&mut self, bytes: usize) {
        self.budget.release(self.bytes.saturating_sub(bytes));
        self.bytes = self.bytes.min(bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
