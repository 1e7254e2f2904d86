//! Chooses upstreams and bounds the number of requests at each.
//!
//! [`Table`] makes the choice, without I/O. [`Dispatch`] is the handle to the task that owns a
//! table and the requests that wait for a free slot; a [`Permit`] holds a slot until it is dropped.

mod demand;
mod prefixes;
mod queue;
mod table;
mod task;

pub use demand::Demand;
pub use table::{Choice, Table, UpstreamState};
pub use task::{Dispatch, Permit, Placement};
