//! The generation aggregate: one answer to one request, whole whatever fails.
//!
//! [`Splice`] admits only the tokens of the current attempt, in order, once; [`Sequence`] does so for
//! numbered pieces whose content is not known. [`Machine`] decides
//! when to reattach, when to pay for another engine and when to end. [`EventId`] is what callers
//! hold to come back, and [`Event`] what they see. None of them does I/O.

mod answer;
mod copies;
mod event;
mod event_id;
mod machine;
mod protocol;
mod request;
mod sequence;
mod splice;

pub use answer::{Answer, Verdict};
pub use event::Event;
pub use event_id::{EventId, Position};
pub use machine::Machine;
pub use protocol::{Effect, Input, Opening, Outcome, Place, Probe, Settings, Start, Stats};
pub use request::Request;
pub use sequence::{Piece, Sequence};
pub use splice::Splice;
