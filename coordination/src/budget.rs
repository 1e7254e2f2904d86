//! Retry budget: retries are paid from a share of successes.
//!
//! A fixed number of retries per request multiplies load exactly when back ends fail. A budget
//! bounds all retries together: each success deposits a fraction, each retry withdraws one.
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

/// Retries still allowed, in units of one retry.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    capacity: f64,
    balance: f64,
}

impl Budget {
    /// Starts full. `ratio` is retries per success, `capacity` the retries that can be saved up.
    pub fn new(ratio: f64, capacity: f64) -> Self {
        Self { ratio, capacity, balance: capacity }
    }

    /// Records a success.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.capacity);
    }

    /// Takes one retry; false when the budget is spent.
    pub fn withdraw(&mut self) -> bool {
        const ROUNDING: f64 = 1e-9;
        if self.balance + ROUNDING < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Gives one retry back that was taken and not used.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.capacity);
    }

    /// Retries left.
    pub fn balance(&self) -> f64 {
        self.balance
    }
}
