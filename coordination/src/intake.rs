//! Messages of many senders while they arrive, within one memory budget.
//!
//! A sender that stops short of the end of its message holds memory for as long as it stays. So when
//! the budget has no room for more bytes, the message that has used most memory for the longest time
//! is dropped: its usage is the integral of its bytes over time. A message that arrives quickly uses
//! little, a large one that stalls or trickles uses most, however small its pieces are. A sender whose
//! own message has used most gets no more room instead.
//!
//! Senders belong to groups, such as client accounts. A group holds at most its share of the budget,
//! complete messages included, and makes room among its own messages.
//!
//! ```
//! use coordination::intake::{Error, Intake};
//! use coordination::memory::Budget;
//! use std::time::Duration;
//!
//! let intake = Intake::new(Budget::new(8_192), 8_192);
//! let mut stalled = intake.begin("account", 8_192, || ());
//! stalled.append(&[0; 8_000], Duration::ZERO).unwrap();
//! let mut small = intake.begin("account", 8_192, || ());
//! small.append(&[0; 100], Duration::from_secs(1)).unwrap();
//! assert_eq!(stalled.append(&[0], Duration::from_secs(1)), Err(Error::Dropped));
//! ```

mod arrival;
mod table;
mod usage;

pub use arrival::Arrival;

use crate::memory::Budget;
use quick_error::quick_error;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use table::Table;

quick_error! {
    /// Reasons why a message takes no more bytes.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The message exceeds its own limit.
        TooLong {
            display("the message is too long")
        }
        /// The message was dropped, as others needed its memory.
        Dropped {
            display("the message was dropped, as the memory budget is used up")
        }
        /// The budget has no room, and no other message has used more of it.
        NoRoom {
            display("the memory budget is used up")
        }
    }
}

/// Messages that arrive; clones share them.
#[derive(Clone, Debug)]
pub struct Intake {
    table: Arc<Mutex<Table>>,
}

impl Intake {
    /// Creates an intake within `budget`, of which each group may hold `group_limit` bytes.
    pub fn new(budget: Budget, group_limit: usize) -> Self {
        Self { table: Arc::new(Mutex::new(Table::new(budget, group_limit))) }
    }

    /// Begins a message of a sender in `group`, of at most `limit` bytes. `on_drop` is called if the
    /// message is dropped for others.
    pub fn begin(
        &self,
        group: &str,
        limit: usize,
        on_drop: impl FnOnce() + Send + 'static,
    ) -> Arrival {
        let number = self.lock().insert(group, limit, Box::new(on_drop));
        Arrival::new(number, self.clone())
    }

    /// Number of messages that are arriving.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no message is arriving.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of bytes held, those of complete messages included.
    pub fn held(&self) -> usize {
        self.lock().held()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
