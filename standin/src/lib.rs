//! Stand-ins for the systems around quetzaltiller.
//!
//! Each is a small program behind one of the product's ports. In process they run on tokio's
//! clock, paused or not; [`serve`] puts the same objects behind HTTP. Faults come from a
//! [`network::Network`], which every call passes, and from operators' calls.

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
