//! Prefix cache: blocks of text in limited memory, and the events that tell of it.

use quetzaltiller::engine::{BLOCK_TOKENS, CacheEvent};
use rand::Rng as _;
use rand_chacha::ChaCha12Rng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

const EVENT_DELAY: Duration = Duration::from_millis(500);
const EVENT_LOSS: f64 = 0.1;
const KEPT_EVENTS: usize = 4_096;

/// Cached blocks, least recently used dropped first.
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
    /// Holds `capacity_tokens`.
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

    /// Tokens at the beginning of a text that are cached.
    pub fn peek(&self, blocks: &[u64]) -> usize {
        let known = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        known * BLOCK_TOKENS
    }

    /// The same, noting the use.
    pub fn cached_tokens(&mut self, blocks: &[u64]) -> usize {
        let known = self.peek(blocks) / BLOCK_TOKENS;
        blocks[..known].iter().for_each(|block| self.touch(*block));
        known * BLOCK_TOKENS
    }

    /// Caches a text's blocks.
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

    /// Events after `after` that have become visible.
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
        if self.events.len() > KEPT_EVENTS {
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
