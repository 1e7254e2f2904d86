//! What operators write: pools, upstreams, client accounts, selectors and services.
//!
//! Objects are JSON documents with a `kind`. Each type checks its own fields; [`Set`] checks them
//! jointly and answers which upstreams a request may reach.

mod account;
mod matcher;
mod object;
mod pool;
mod selector;
mod service;
mod set;
mod upstream;

pub use account::Account;
pub use matcher::{Expression, Labels, Matcher, Operator};
pub use object::{Fault, Id, Kind, Object};
pub use pool::Pool;
pub use selector::Selector;
pub use service::{Call, Service};
pub use set::{Accepted, Request, Set};
pub use upstream::Upstream;
