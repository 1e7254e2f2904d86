//! Return of the store from an older copy.

use super::{Contents, ControlStore};
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl ControlStore {
    /// Continues from the copy of the time `age` ago, in the next era. What the operator and the
    /// upstreams wrote since is written again after `rewrite`, unless it was changed meanwhile.
    pub fn drill(&self, age: Duration, rewrite: Option<Duration>) {
        let (lost, copy) = {
            let mut state = self.lock();
            let kept = match Instant::now().checked_sub(age) {
                Some(cut) => state.copies.partition_point(|(at, ..)| *at <= cut),
                None => 0,
            };
            state.copies.truncate(kept);
            let (revision, copy) = match state.copies.last() {
                Some((_, revision, contents)) => (*revision, contents.clone()),
                None => (1, Contents::default()),
            };
            let lost = std::mem::replace(&mut state.contents, copy.clone());
            state.changes.retain(|(at, _)| *at <= revision);
            state.compacted = state.compacted.min(revision);
            state.quarantines.clear();
            state.quarantine_changes.clear();
            state.era += 1;
            self.revision.send_replace(revision);
            (lost, copy)
        };
        if let Some(delay) = rewrite {
            let store = self.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                store.rewrite(&lost, &copy);
            });
        }
    }

    /// Writes what is in `lost` and not in `copy`, unless it was changed since.
    fn rewrite(&self, lost: &Contents, copy: &Contents) {
        let current = self.lock().contents.clone();
        let number = lost.configuration.number;
        if number != copy.configuration.number && current.configuration == copy.configuration {
            self.configure(lost.configuration.clone());
        }
        let is_unchanged = |id: &String| current.upstreams.get(id) == copy.upstreams.get(id);
        for (id, upstream) in &lost.upstreams {
            if copy.upstreams.get(id) != Some(upstream) && is_unchanged(id) {
                self.list(upstream.clone());
            }
        }
        for id in copy.upstreams.keys() {
            if !lost.upstreams.contains_key(id) && is_unchanged(id) {
                self.remove(id);
            }
        }
    }
}
