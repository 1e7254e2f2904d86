//! A numbered value that is only replaced by a newer one.
//!
//! Values may arrive from several sources, late and out of order. The feed keeps the one with the
//! highest number, so the value in force never reverts to an older one.
//!
//! ```
//! use coordination::feed::Feed;
//!
//! let mut feed = Feed::default();
//! assert!(feed.update_if_newer(2, "second"));
//! assert!(!feed.update_if_newer(1, "first"));
//! assert_eq!(feed.value(), Some(&"second"));
//! ```

/// Newest value received and its number. Numbers start at 1; 0 means that there is no value yet.
#[derive(Clone, Debug)]
pub struct Feed<T> {
    number: u64,
    value: Option<T>,
}

impl<T> Default for Feed<T> {
    fn default() -> Self {
        Self { number: 0, value: None }
    }
}

impl<T> Feed<T> {
    /// Replaces the value if `number` is higher than the current one; returns whether it did.
    pub fn update_if_newer(&mut self, number: u64, value: T) -> bool {
        if number <= self.number {
            return false;
        }
        self.number = number;
        self.value = Some(value);
        true
    }

    /// Number of the value in force; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Value in force, if any.
    pub fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }
}
