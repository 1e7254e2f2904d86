//! Upstreams that are no longer listed.

use super::Upstream;
use std::collections::{HashMap, VecDeque};

/// Maximum number of ids: those of several days at a thousand replacements a day.
const CAPACITY: usize = 4_096;

/// Latest ids that were listed and no longer are, with the incarnations of their processes.
#[derive(Clone, Debug, Default)]
pub struct Tombstones {
    incarnations: HashMap<String, u64>,
    order: VecDeque<String>,
}

impl Tombstones {
    /// Adds an id with the incarnation of its process, 0 if that is not known; drops the oldest id
    /// beyond the capacity.
    pub fn insert(&mut self, id: &str, incarnation: u64) {
        if let Some(known) = self.incarnations.get_mut(id) {
            *known = incarnation.max(*known);
            return;
        }
        self.incarnations.insert(id.to_owned(), incarnation);
        self.order.push_back(id.to_owned());
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.incarnations.remove(&oldest);
        }
    }

    /// Whether an id is among the latest that were listed and no longer are.
    pub fn contains(&self, id: &str) -> bool {
        self.incarnations.contains_key(id)
    }

    /// Whether this start of the upstream's process is among the latest that were listed and no
    /// longer are; a later start is not.
    pub fn contains_start(&self, upstream: &Upstream) -> bool {
        let known = self.incarnations.get(&upstream.id);
        known.is_some_and(|known| *known == 0 || upstream.incarnation <= *known)
    }
}
