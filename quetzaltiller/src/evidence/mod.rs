//! What structured logs of several entry VMs tell of requests.
//!
//! [`Line`] is one event; [`Explanation`] puts the lines of one request in order, and [`Summary`]
//! counts the ends of all requests by outcome, cause, route and entry VM, and over time.

mod explanation;
mod line;
mod plot;
mod source;
mod summary;

pub use explanation::{Explanation, Step};
pub use line::Line;
pub use plot::draw;
pub use source::read;
pub use summary::{Ended, Summary};
