//! Limit on the bytes that all buffers of a process hold together.

use super::reservation::Reservation;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Largest message that may use what a budget keeps for small ones, in bytes.
pub const SMALL_MESSAGE: usize = 64 << 10;

/// Limit on the bytes that buffers hold together; clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: usize,
    /// Part of the limit that only messages of at most [`SMALL_MESSAGE`] bytes may use.
    kept_for_small: usize,
    held: Arc<AtomicUsize>,
    parent: Option<Arc<Budget>>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, kept_for_small: 0, held: Arc::default(), parent: None }
    }

    /// Creates a share of this budget, of at most `limit` bytes, which count in both.
    pub fn share(&self, limit: usize) -> Self {
        Self { parent: Some(Arc::new(self.clone())), ..Self::new(limit) }
    }

    /// Keeps `bytes` of this budget for messages of at most [`SMALL_MESSAGE`] bytes.
    pub fn keep_for_small(self, bytes: usize) -> Self {
        Self { kept_for_small: bytes.min(self.limit), ..self }
    }

    /// Maximum number of bytes held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Number of bytes that buffers hold now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Whether a message of `total` bytes finds room for `bytes` more, apart from the budget that this
    /// one is a share of.
    pub fn has_room(&self, bytes: usize, total: usize) -> bool {
        self.raised(self.held(), bytes, total).is_some()
    }

    /// Reserves bytes for something other than a buffer; none if the budget has no room.
    pub fn hold(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation::new(self);
        reservation.grow_to(bytes).then_some(reservation)
    }

    /// Reserves `bytes` more for a message that then has `total`; returns false if they exceed the
    /// rest of the budget.
    pub(super) fn reserve(&self, bytes: usize, total: usize) -> bool {
        let raise = |held| self.raised(held, bytes, total);
        if self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, raise).is_err() {
            return false;
        }
        let reserved = self.parent.as_ref().is_none_or(|parent| parent.reserve(bytes, total));
        if !reserved {
            self.held.fetch_sub(bytes, Ordering::Relaxed);
        }
        reserved
    }

    /// Releases bytes that were reserved.
    pub(super) fn release(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(parent) = &self.parent {
            parent.release(bytes);
        }
    }

    /// Sum of the bytes held and `bytes`; none if it exceeds what a message of `total` bytes may use.
    fn raised(&self, held: usize, bytes: usize, total: usize) -> Option<usize> {
        let kept = if total > SMALL_MESSAGE { self.kept_for_small } else { 0 };
        held.checked_add(bytes).filter(|sum| *sum <= self.limit - kept)
    }
}

impl Default for Budget {
    /// Budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}
