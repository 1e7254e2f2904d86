//! Chooses upstreams and bounds what each is given.
//!
//! [`Table`] decides, without I/O. [`Dispatch`] is the handle to the task that owns a table and
//! the requests that wait for a free upstream; a [`Permit`] holds a place until it is dropped.

mod demand;
mod prefixes;
mod queue;
mod table;
mod task;

pub use demand::Demand;
pub use table::{Choice, Table, UpstreamState};
pub use task::{Dispatch, Permit, Placement};
