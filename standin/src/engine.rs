//! A model engine: continuous batching, a bounded prefix cache, priorities, streams that can be
//! resumed and cancelled, a lagging load report, late cache events with gaps, and orders.

mod batch;
mod cache;
mod client;
mod order;
mod settings;
mod state;

pub use batch::Engine;
pub use cache::Cache;
pub use client::Fleet;
pub use order::{Order, OrderError, Role};
pub use settings::Settings;
pub use state::{Running, Submitted, Work};
