//! A numbered value that only moves forward.
//!
//! Values may arrive from several sources, late and out of order. The holder keeps the one with
//! the highest number, so what is in force never reverts.
//!
//! ```
//! use coordination::feed::Feed;
//!
//! let mut feed = Feed::default();
//! assert!(feed.update_if_newer(2, "second"));
//! assert!(!feed.update_if_newer(1, "first"));
//! assert_eq!(feed.value(), Some(&"second"));
//! ```

/// The newest value seen and its number; numbers start at 1, 0 means none yet.
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
    /// Takes `value` if its number is newer than what is held; tells whether it was taken.
    pub fn update_if_newer(&mut self, number: u64, value: T) -> bool {
        if number <= self.number {
            return false;
        }
        self.number = number;
        self.value = Some(value);
        true
    }

    /// Number of the value in force.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Value in force.
    pub fn value(&self) -> Option<&T> {
        self.value.as_ref()
    }
}
