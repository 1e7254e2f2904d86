//! Upstreams that have left.

use std::collections::{HashSet, VecDeque};

/// Most ids that are remembered: those of several days at a thousand replacements a day.
const CAPACITY: usize = 4_096;

/// Ids that were listed and are not any more, the latest ones.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    ids: HashSet<String>,
    order: VecDeque<String>,
}

impl Tombstones {
    /// Remembers an id.
    pub fn insert(&mut self, id: &str) {
        if !self.ids.insert(id.to_owned()) {
            return;
        }
        self.order.push_back(id.to_owned());
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Whether an id was listed and is not any more, as far as is remembered.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }
}
