//! A model engine: continuous batching, a bounded prefix cache, priorities, streams that can be
//! resumed and cancelled, a lagging load report, late cache events with gaps, and orders.

mod batch;
mod cache;
mod client;
mod order;

pub use batch::{Engine, Running, Settings, Submitted, Work};
pub use cache::Cache;
pub use client::Fleet;
pub use order::{Order, OrderError, Role};
