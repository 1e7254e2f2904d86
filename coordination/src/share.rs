//! Limits that several processes share according to demand, without a coordinator.
//!
//! Each process reports its usage to the others in its heartbeats. It acquires more of a limit only
//! if the limit would hold even if each other process had acquired as much as this one did in the
//! last two rounds of heartbeats. A silent member may still use the limit, so until it is removed
//! it is counted with an equal share, or with its last reported usage if that is more.
//!
//! If all processes have the same view, the sum of usage never exceeds the limit. Reports that are
//! one round old let it exceed the limit by at most [`Shares::slack`].
//!
//! ```
//! use coordination::share::Shares;
//!
//! let mut shares = Shares::default();
//! let members = ["a".to_owned(), "b".to_owned()];
//! shares.set_members(&members, &members);
//! shares.record_usage("a", [("account".into(), 3)].into());
//! shares.record_usage("b", [("account".into(), 0)].into());
//! assert!(shares.may_acquire("account", 10));
//! shares.acquire("account");
//! shares.record_usage("a", [("account".into(), 9)].into());
//! assert!(!shares.may_acquire("account", 10));
//! ```

use std::collections::{BTreeMap, BTreeSet};

/// Units of each limit that one process uses, by key.
pub type Usage = BTreeMap<String, u32>;

/// Usage of this process and the last reported usage of the others.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    local: Usage,
    others: BTreeMap<String, Usage>,
    /// Units acquired in the current round, which ends when every live member has reported, and in
    /// the round before. A report that arrives now may have been sent before its sender acquired as
    /// much.
    acquired: Usage,
    acquired_before: Usage,
    awaited: BTreeSet<String>,
    silent: BTreeSet<String>,
}

impl Shares {
    /// Sets the names of all other known members and of those that are alive.
    pub fn set_members(&mut self, known: &[String], alive: &[String]) {
        self.silent = known.iter().filter(|name| !alive.contains(name)).cloned().collect();
        self.others.retain(|name, _| known.contains(name));
        for name in known {
            self.others.entry(name.clone()).or_default();
        }
        self.awaited.retain(|name| alive.contains(name));
    }

    /// Records the usage that another member reported.
    pub fn record_usage(&mut self, member: &str, usage: Usage) {
        if let Some(known) = self.others.get_mut(member) {
            *known = usage;
        }
        self.awaited.remove(member);
        if self.awaited.is_empty() {
            self.acquired_before = std::mem::take(&mut self.acquired);
            let alive = self.others.keys().filter(|name| !self.silent.contains(*name));
            self.awaited = alive.cloned().collect();
        }
    }

    /// Whether this process may acquire one more unit of `key`, whose limit is `limit` units.
    pub fn may_acquire(&self, key: &str, limit: u32) -> bool {
        let members = self.others.len() as u32 + 1;
        let even_share = limit / members;
        let count = |usage: &Usage| usage.get(key).copied().unwrap_or_default();
        let acquired = count(&self.acquired) + count(&self.acquired_before);
        let others = self.others.iter().map(|(name, usage)| {
            let used = count(usage);
            if self.silent.contains(name) { used.max(even_share) } else { used + acquired }
        });
        count(&self.local) + others.sum::<u32>() < limit
    }

    /// Records that this process acquired one unit of `key`.
    pub fn acquire(&mut self, key: &str) {
        *self.local.entry(key.to_owned()).or_default() += 1;
        *self.acquired.entry(key.to_owned()).or_default() += 1;
    }

    /// Records that this process released one unit of `key`.
    pub fn release(&mut self, key: &str) {
        if let Some(used) = self.local.get_mut(key) {
            *used = used.saturating_sub(1);
            if *used == 0 {
                self.local.remove(key);
            }
        }
    }

    /// Usage of this process, to report to the others.
    pub fn local_usage(&self) -> &Usage {
        &self.local
    }

    /// Largest excess, in units, of the sum of usage by `members` processes over `limit`: each may
    /// have acquired its part of the free units twice, before and after a report that is one round
    /// old.
    pub fn slack(limit: u32, members: u32) -> u32 {
        limit / members.max(1) + members
    }
}
