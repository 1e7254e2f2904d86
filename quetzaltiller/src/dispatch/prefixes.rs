//! Blocks of text that an upstream probably has cached.
//!
//! The blocks are hints only: engines report them late and with gaps, and don't report the blocks
//! that they drop. The oldest hints are removed first.

use std::collections::{BTreeSet, VecDeque};

/// Maximum number of blocks kept per upstream.
const CAPACITY: usize = 16_384;

/// Blocks that one upstream probably has cached.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    blocks: BTreeSet<u64>,
    order: VecDeque<u64>,
}

impl Prefixes {
    /// Adds blocks and removes the oldest above the capacity.
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

    /// Number of blocks at the beginning of a text that are probably cached. The engines' reports
    /// have gaps, so a block counts if a later one is known: a cached prefix contains all blocks
    /// before it.
    pub fn cached_len(&self, blocks: &[u64]) -> usize {
        blocks.iter().rposition(|block| self.blocks.contains(block)).map_or(0, |last| last + 1)
    }

    /// Removes all blocks.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }
}
