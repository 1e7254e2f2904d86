//! Retry budget: limits retries to a fraction of successful requests.
//!
//! A fixed number of retries per request multiplies the load when back ends fail. A budget bounds
//! the total instead: each success deposits a fraction of a retry, and each retry withdraws one.
//!
//! ```
//! use coordination::budget::Budget;
//!
//! let mut budget = Budget::new(0.2, 1.0);
//! assert!(budget.withdraw());
//! assert!(!budget.withdraw());
//! for _ in 0..5 {
//!     budget.deposit();
//! }
//! assert!(budget.withdraw());
//! ```

/// Balance of allowed retries, in units of one retry.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    capacity: f64,
    balance: f64,
}

impl Budget {
    /// Creates a full budget. `ratio` is the number of retries deposited per success, `capacity`
    /// the largest balance.
    pub fn new(ratio: f64, capacity: f64) -> Self {
        Self { ratio, capacity, balance: capacity }
    }

    /// Records a success and deposits its fraction of a retry.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.capacity);
    }

    /// Withdraws one retry; returns false if less than one is left.
    pub fn withdraw(&mut self) -> bool {
        // Tolerance in retries: deposits of fractions such as 0.2 may add up to slightly less than
        // 1.
        const ROUNDING: f64 = 1e-9;
        if self.balance + ROUNDING < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns a withdrawn retry that was not used.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.capacity);
    }

    /// Number of retries left.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}
