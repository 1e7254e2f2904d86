//! Chooses upstreams for forwarded requests and limits the load on each.
//!
//! [`Table`] makes the choice, without I/O. It is built for long prompts on engines whose load
//! reports are late: each entry VM owns a part of its zone's engines and knows exactly what it has
//! placed on them. It chooses an engine of another entry VM only if the wait at its own ones costs
//! more than a collision with that entry VM's requests. [`Placer`] is the handle to the task that
//! owns a table; a [`Permit`] reserves a place at an upstream until it is dropped.

mod allocation;
mod assignment;
mod booking;
mod census;
mod choice;
mod demand;
mod engines;
mod limit;
mod message;
mod place;
mod placer;
mod shares;
mod sign;
mod speed;
mod state;
mod succession;
mod table;
mod task;

pub use allocation::Allocation;
pub use assignment::Assignment;
pub use booking::{Booked, Booking, Registrar};
pub use choice::Choice;
pub use demand::{Demand, Run};
pub use limit::{Limit, Statement};
pub use place::{Copy, Permit, Placement, Unplaced};
pub use placer::{Dependencies, Placer};
pub use shares::Peer;
pub use sign::{Question, Sign};
pub use speed::Speed;
pub use state::{Load, Reported, State};
pub use succession::Successor;
pub use table::Table;
