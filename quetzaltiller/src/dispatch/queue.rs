//! Order of those who wait: resumed work first, then fair by account.
//!
//! Start-time fair queueing: a waiter's tag is the virtual time at which its account's share
//! reaches it, so an account that asks for much waits behind itself and not before others.
//! Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.

use std::collections::BTreeMap;

/// Place in the order; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Tag {
    fresh: bool,
    start: f64,
    sequence: u64,
}

/// Virtual time, and how far each account's share has been used.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    now: f64,
    finished: BTreeMap<String, f64>,
    sequence: u64,
}

impl Queue {
    /// Tag for the next request of an account with this weight.
    pub fn tag(&mut self, account: &str, weight: u32, resumed: bool) -> Tag {
        let used = self.finished.get(account).copied().unwrap_or_default();
        let start = used.max(self.now);
        self.finished.insert(account.to_owned(), start + 1.0 / f64::from(weight.max(1)));
        self.sequence += 1;
        Tag { fresh: !resumed, start, sequence: self.sequence }
    }

    /// Notes that the waiter with this tag was served.
    pub fn served(&mut self, tag: Tag) {
        if tag.fresh {
            self.now = self.now.max(tag.start);
        }
    }

    /// Forgets accounts that have no backlog.
    pub fn forget_idle(&mut self) {
        let now = self.now;
        self.finished.retain(|_, finished| *finished > now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_one_account_waits_behind_itself() {
        let mut queue = Queue::default();
        let flood: Vec<_> = (0..10).map(|_| queue.tag("large", 1, false)).collect();

        let small = queue.tag("small", 1, false);
        let resumed = queue.tag("large", 1, true);

        assert!(small < flood[1] && resumed < flood[0]);
    }

    #[test]
    fn a_weight_of_two_is_served_twice_as_often() {
        let mut queue = Queue::default();
        let mut tags: Vec<_> = (0..30).map(|_| (queue.tag("heavy", 2, false), true)).collect();
        tags.extend((0..30).map(|_| (queue.tag("light", 1, false), false)));

        tags.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap());

        let heavy = tags[..30].iter().filter(|(_, heavy)| *heavy).count();
        assert_eq!(heavy, 20);
    }
}
