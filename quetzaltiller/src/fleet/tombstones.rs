//! Ids of upstreams that are no longer listed.

use std::collections::{HashSet, VecDeque};

/// Maximum number of ids: those of several days at a thousand replacements a day.
const CAPACITY: usize = 4_096;

/// Latest ids that were listed and no longer are.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    ids: HashSet<String>,
    order: VecDeque<String>,
}

impl Tombstones {
    /// Adds an id; drops the oldest one beyond the capacity.
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

    /// Whether an id is among the latest that were listed and no longer are.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }
}
