//! Stand-ins for the systems around quetzaltiller.
//!
//! Each implements one of the product's ports in process, on tokio's clock, which tests may pause;
//! [`serve`] puts some of them behind HTTP. Calls can be made to fail through [`network::Network`],
//! through the faults of each stand-in and through operators' calls on `/faults`.

pub mod control;
pub mod engine;
pub mod fleet;
pub mod hub;
pub mod network;
pub mod platform;
pub mod serve;
pub mod service;
pub mod site;
pub mod text;
