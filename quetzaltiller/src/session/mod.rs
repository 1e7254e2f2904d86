//! The task that serves one generation.
//!
//! It owns the generation's [`Machine`](crate::generation::Machine), performs the machine's
//! effects and feeds back what comes of them. Tokens go to the replicator,
//! which copies them to a keeper in another zone, and then to the caller. A caller that goes away
//! may come back within the grace; after that the engine's work is cancelled.

mod context;
mod handle;
mod reader;
mod replicator;
mod settings;
mod task;

pub use context::{Context, Origin, Vm, Work};
pub use handle::{Session, Status, Subscription};
