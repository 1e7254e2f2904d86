//! Prefix cache: blocks of text in limited memory, with an event for each block added.

use quetzaltiller::engine::{BLOCK_TOKENS, CacheEvent};
use rand::Rng as _;
use rand_chacha::ChaCha12Rng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time from adding a block until its event is visible.
const EVENT_DELAY: Duration = Duration::from_millis(500);
/// Share of events that are lost, which leaves gaps in the sequence numbers.
const EVENT_LOSS: f64 = 0.1;
/// Most events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// Bounded set of cached blocks that evicts the least recently used first.
#[derive(Debug)]
pub struct Cache {
    capacity_blocks: usize,
    used_at: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    /// Creates an empty cache for `capacity_tokens`.
    pub fn new(capacity_tokens: usize) -> Self {
        Self {
            capacity_blocks: capacity_tokens / BLOCK_TOKENS,
            used_at: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of cached tokens at the start of a text, without counting as a use.
    pub fn peek(&self, blocks: &[u64]) -> usize {
        let cached = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        cached * BLOCK_TOKENS
    }

    /// Returns the number of cached tokens at the start of a text and marks their blocks as used.
    pub fn cached_tokens(&mut self, blocks: &[u64]) -> usize {
        let cached = self.peek(blocks) / BLOCK_TOKENS;
        blocks[..cached].iter().for_each(|block| self.touch(*block));
        cached * BLOCK_TOKENS
    }

    /// Adds the blocks of a text and evicts others if the capacity is exceeded.
    pub fn insert(&mut self, blocks: &[u64], rng: &mut ChaCha12Rng) {
        for block in blocks {
            if !self.used_at.contains_key(block) {
                self.publish(*block, rng);
            }
            self.touch(*block);
        }
        while self.used_at.len() > self.capacity_blocks {
            if let Some((_, block)) = self.by_use.pop_first() {
                self.used_at.remove(&block);
            }
        }
    }

    /// Returns the visible events with a sequence number above `after`.
    pub fn events(&self, after: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let visible = self.events.iter().filter(|(at, event)| *at <= now && event.sequence > after);
        visible.map(|(_, event)| *event).collect()
    }

    fn publish(&mut self, block: u64, rng: &mut ChaCha12Rng) {
        self.sequence += 1;
        if rng.random_bool(EVENT_LOSS) {
            return;
        }
        let event = CacheEvent { sequence: self.sequence, block };
        self.events.push_back((Instant::now() + EVENT_DELAY, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    fn touch(&mut self, block: u64) {
        self.uses += 1;
        if let Some(before) = self.used_at.insert(block, self.uses) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.uses, block);
    }
}
