//! Stand-in of a model engine.
//!
//! Models continuous batching with priorities, a bounded prefix cache, streams that can be
//! reattached and cancelled, load reports that lag, cache events that come late and with gaps, and
//! orders to load another model.

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
