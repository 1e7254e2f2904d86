//! One answer to one request, kept consistent while engines and connections fail.
//!
//! [`Splice`] admits each token of the current attempt once and in order; [`Sequence`] does the
//! same for numbered pieces of unknown content. [`Machine`] decides when to reattach, when to
//! replace the engine and when to end. Callers receive [`Event`]s and resume with an [`EventId`].
//! Nothing in this module does I/O.

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
