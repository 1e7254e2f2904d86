//! Limits that several processes share by demand, without a coordinator.
//!
//! Each process tells the others what it uses, with its heartbeats. It takes more of a limit only
//! while what it knows of all leaves room even if every other process has taken as much in the
//! last two rounds of heartbeats. A member that fell silent keeps an even part, or what it used when it was
//! last heard if that is more, until it is forgotten: it may still use it.
//!
//! With equal views the sum never passes the limit; news that is one round old lets it pass by at
//! most [`Shares::slack`].
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

/// Use of each limit by one process.
pub type Usage = BTreeMap<String, u32>;

/// What this process uses, and what it knows of others.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    own: Usage,
    others: BTreeMap<String, Usage>,
    /// Taken since every other member was heard, and in the round before: news that arrives now
    /// may have been sent before the others took as much.
    taken: Usage,
    taken_before: Usage,
    unheard: BTreeSet<String>,
    silent: BTreeSet<String>,
}

impl Shares {
    /// Sets the other members that are not forgotten, and those of them that are alive.
    pub fn set_members(&mut self, known: &[String], alive: &[String]) {
        self.silent = known.iter().filter(|name| !alive.contains(name)).cloned().collect();
        self.others.retain(|name, _| known.contains(name));
        for name in known {
            self.others.entry(name.clone()).or_default();
        }
        self.unheard.retain(|name| alive.contains(name));
    }

    /// Notes what another member uses.
    pub fn record_usage(&mut self, member: &str, usage: Usage) {
        if let Some(known) = self.others.get_mut(member) {
            *known = usage;
        }
        self.unheard.remove(member);
        if self.unheard.is_empty() {
            self.taken_before = std::mem::take(&mut self.taken);
            let alive = self.others.keys().filter(|name| !self.silent.contains(*name));
            self.unheard = alive.cloned().collect();
        }
    }

    /// Whether one more of `limit` may be used.
    pub fn may_acquire(&self, key: &str, limit: u32) -> bool {
        let members = self.others.len() as u32 + 1;
        let even = limit / members;
        let count = |usage: &Usage| usage.get(key).copied().unwrap_or_default();
        let taken = count(&self.taken) + count(&self.taken_before);
        let others = self.others.iter().map(|(name, usage)| {
            let used = count(usage);
            if self.silent.contains(name) { used.max(even) } else { used + taken }
        });
        count(&self.own) + others.sum::<u32>() < limit
    }

    /// Notes one more in use.
    pub fn acquire(&mut self, key: &str) {
        *self.own.entry(key.to_owned()).or_default() += 1;
        *self.taken.entry(key.to_owned()).or_default() += 1;
    }

    /// Notes one less in use.
    pub fn release(&mut self, key: &str) {
        if let Some(used) = self.own.get_mut(key) {
            *used = used.saturating_sub(1);
            if *used == 0 {
                self.own.remove(key);
            }
        }
    }

    /// Use of this process, to tell the others.
    pub fn local_usage(&self) -> &Usage {
        &self.own
    }

    /// Most by which the sum over `members` processes passes `limit`: each may have taken its part
    /// of what was free twice, before and after news that are one round old.
    pub fn slack(limit: u32, members: u32) -> u32 {
        limit / members.max(1) + members
    }
}
