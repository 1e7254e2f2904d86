//! Fault soak: runs the real programs as processes on loopback and injects faults from outside.
//!
//! A [`plan::Plan`] follows from a seed: signals that kill, stop and end processes, proxies that
//! delay, reset and silence connections, a store that fails. [`callers`] send requests meanwhile;
//! the [`checker`] checks what they and the upstreams recorded against the guarantees of the
//! system.

pub mod callers;
pub mod checker;
pub mod deployment;
pub mod injector;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod record;
pub mod report;
pub mod reservation;
pub mod run;
