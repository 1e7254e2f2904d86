//! Memory that a process holds for its peers, within one limit.
//!
//! A limit on each message does not bound their sum: enough peers that each send one message of the
//! maximum size exhaust the process. A [`Budget`] bounds the sum. Each message is collected in a
//! [`Buffer`], which reserves its capacity before it allocates, and becomes a [`Message`]. Dropping
//! either returns the bytes. A budget is divided by [`Budget::share`], so that one use can't take what
//! another needs.
//!
//! ```
//! use coordination::memory::{Budget, Buffer, Error};
//!
//! let budget = Budget::new(8_192);
//! let mut first = Buffer::new(&budget, 8_192);
//! first.append(&[0; 5_000]).unwrap();
//! let mut second = Buffer::new(&budget, 8_192);
//! assert_eq!(second.append(&[0; 5_000]), Err(Error::BudgetUsedUp));
//! drop(first);
//! assert_eq!(second.append(&[0; 5_000]), Ok(()));
//! ```

mod budget;
mod buffer;
mod message;
mod reservation;

pub use budget::{Budget, SMALL_MESSAGE};
pub use buffer::{Buffer, Error};
pub use message::Message;
pub use reservation::Reservation;
