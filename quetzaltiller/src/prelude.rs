//! Re-exports of types and macros that most modules use.

pub use crate::generation::{Event, EventId};
pub use crate::objects::{Account, Pool, Set, Upstream};
pub use crate::refusal::{Code, Ran, Refusal};
pub use spdlog::prelude::*;
pub use std::sync::Arc;
pub use std::time::Duration;
