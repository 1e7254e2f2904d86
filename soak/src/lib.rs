//! Fault soak: runs the real programs as processes on loopback and harms them from outside.
//!
//! A [`plan::Plan`] follows from a seed: signals that kill, stop and end processes, proxies that
//! delay, reset and silence connections, a store that fails. [`callers`] send requests all the while;
//! the [`checker`] compares what they and the upstreams saw with what the system promises.

pub mod callers;
pub mod checker;
pub mod deployment;
pub mod injector;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod record;
pub mod report;
pub mod run;
