//! The task that serves one generation.
//!
//! The task owns the generation's [`Machine`](crate::generation::Machine), performs the machine's
//! effects and feeds their results back. Tokens are copied by the replicator to a keeper in another
//! zone and then sent to the caller. A caller that disconnects may reconnect within the grace
//! period; after that the run at the engine is cancelled.

mod context;
mod handle;
mod reader;
mod replicator;
mod settings;
mod task;

pub use context::{Context, Origin, Vm, Work};
pub use handle::{Session, Status, Subscription};
