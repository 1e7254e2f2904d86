//! Chooses upstreams for forwarded requests and bounds what each is given.
//!
//! [`Table`] decides, without I/O. It answers the load of long prompts on engines whose reports
//! are late: each entry VM owns a part of its zone's engines, knows exactly what it gave them, and
//! turns to the engines of others only where its own are busier than a collision would cost.
//! [`Placer`] is the handle to the task that owns a table; a [`Permit`] holds a place until it is
//! dropped.

mod allocation;
mod assignment;
mod booking;
mod census;
mod choice;
mod demand;
mod engines;
mod message;
mod place;
mod placer;
mod shares;
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
pub use place::{Copy, Permit, Placement, Unplaced};
pub use placer::{Dependencies, Placer};
pub use shares::Peer;
pub use speed::Speed;
pub use state::{Load, Reported, State};
pub use succession::Successor;
pub use table::Table;
