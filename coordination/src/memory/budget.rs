//! Limit on the bytes that all buffers of a process hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limit on the bytes that buffers hold together; clones share it.
#[derive(Clone, Debug)]
pub struct Budget {
    limit: usize,
    held: Arc<AtomicUsize>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, held: Arc::default() }
    }

    /// Number of bytes that buffers hold now.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Reserves bytes; returns false if they exceed the rest of the budget.
    pub(super) fn reserve(&self, bytes: usize) -> bool {
        let reserve = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= self.limit);
        self.held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve).is_ok()
    }

    /// Releases bytes that were reserved.
    pub(super) fn release(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Default for Budget {
    /// Budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}
