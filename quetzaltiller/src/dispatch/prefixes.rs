//! Blocks of text that an upstream probably has cached.
//!
//! Hints only: engines tell late and with gaps, and drop blocks without a word. The oldest hints
//! are forgotten first.

use std::collections::{BTreeSet, VecDeque};

/// Blocks remembered of one upstream.
const CAPACITY: usize = 16_384;

/// Hints about one upstream.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    blocks: BTreeSet<u64>,
    order: VecDeque<u64>,
}

impl Prefixes {
    /// Remembers blocks.
    pub fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.blocks.insert(*block) {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > CAPACITY {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    /// Number of blocks at the beginning of a text that are remembered. Events have gaps, so a
    /// block counts when a later one is known: a cached prefix contains all before it.
    pub fn cached(&self, blocks: &[u64]) -> usize {
        blocks.iter().rposition(|block| self.blocks.contains(block)).map_or(0, |last| last + 1)
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }
}
