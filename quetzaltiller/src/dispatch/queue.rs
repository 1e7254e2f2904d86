//! Order of waiting requests: resumed work first, then fair by account.
//!
//! This is start-time fair queueing. A request's tag is the virtual time at which its account's
//! share reaches it, so many requests of one account delay each other and not those of others.
//! Source: Goyal, Vin and Cheng, "Start-time Fair Queueing", SIGCOMM 1996.

use std::collections::BTreeMap;

/// Position of a request in the order; smaller tags go first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Tag {
    is_new: bool,
    start: f64,
    sequence: u64,
}

/// Virtual time, and the virtual finish time of each account's last request.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    virtual_time: f64,
    finish_times: BTreeMap<String, f64>,
    sequence: u64,
}

impl Queue {
    /// Tag for the next request of an account of the given weight.
    pub fn tag(&mut self, account: &str, weight: u32, resumed: bool) -> Tag {
        let finish_time = self.finish_times.get(account).copied().unwrap_or_default();
        let start = finish_time.max(self.virtual_time);
        self.finish_times.insert(account.to_owned(), start + 1.0 / f64::from(weight.max(1)));
        self.sequence += 1;
        Tag { is_new: !resumed, start, sequence: self.sequence }
    }

    /// Advances the virtual time to the tag of a request that was served; resumed work does not
    /// count.
    pub fn record_served(&mut self, tag: Tag) {
        if tag.is_new {
            self.virtual_time = self.virtual_time.max(tag.start);
        }
    }

    /// Removes accounts that have no backlog.
    pub fn remove_idle(&mut self) {
        let now = self.virtual_time;
        self.finish_times.retain(|_, finish_time| *finish_time > now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn many_requests_of_one_account_do_not_delay_another() {
        let mut queue = Queue::default();
        let large: Vec<_> = (0..10).map(|_| queue.tag("large", 1, false)).collect();

        let small = queue.tag("small", 1, false);
        let resumed = queue.tag("large", 1, true);

        assert!(small < large[1] && resumed < large[0]);
    }

    #[test]
    fn an_account_of_weight_two_is_served_twice_as_often() {
        let mut queue = Queue::default();
        let mut tags: Vec<_> = (0..30).map(|_| (queue.tag("heavy", 2, false), true)).collect();
        tags.extend((0..30).map(|_| (queue.tag("light", 1, false), false)));

        tags.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap());

        let heavy = tags[..30].iter().filter(|(_, heavy)| *heavy).count();
        assert_eq!(heavy, 20);
    }
}
