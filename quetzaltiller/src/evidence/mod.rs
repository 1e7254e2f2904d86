//! Evaluation of structured logs of several entry VMs.
//!
//! [`Line`] is one event; [`Explanation`] lists the lines of one request in order of time, and
//! [`Summary`] counts how requests ended by outcome, cause, route and entry VM, and over time.

mod era;
mod explanation;
mod line;
mod plot;
mod source;
mod summary;

pub use era::EraChange;
pub use explanation::{Explanation, Step};
pub use line::Line;
pub use plot::draw;
pub use source::read;
pub use summary::{RequestEnd, Summary};
