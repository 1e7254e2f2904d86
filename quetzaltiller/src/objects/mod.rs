//! Objects that operators write: pools, upstreams, client accounts, selectors and services.
//!
//! Objects are JSON documents with a `kind`. Each type validates its own fields; [`Set`] validates
//! all objects jointly and finds the upstreams that a request may reach.

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
pub use service::{RepeatableCall, Service};
pub use set::{Accepted, Request, Set};
pub use upstream::Upstream;
