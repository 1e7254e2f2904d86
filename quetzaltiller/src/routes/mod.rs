//! Routes, services and client accounts of the configuration.
//!
//! A [`Table`] is one accepted configuration, complete and immutable. A request finds its route by
//! host and longest path prefix, and its account by the digest of its key.

mod account;
mod route;
mod service;
mod table;

pub use account::Account;
pub use route::{Kind, Route, Target};
pub use service::{Engine, Service};
pub use table::{Content, Limits, Table};
