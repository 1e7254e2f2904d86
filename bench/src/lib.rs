//! Benchmarks and fault-injection tests of quetzaltiller: its own code runs on stand-ins of the
//! engines, the plain service and the platform, on virtual time, with seeded loads and faults.
//!
//! A run builds a [`system`] for a [`deployment`], generates a [`load`], injects [`faults`], and
//! lets the [`checker`] count violations in what callers, engines and services recorded. [`run`]
//! compares a run with the same run without faults and with the baselines in a [`report`].

pub mod baseline;
pub mod checker;
pub mod cost;
pub mod deployment;
pub mod faults;
pub mod hedge;
pub mod load;
pub mod overload;
pub mod realtime;
pub mod report;
pub mod run;
pub mod soak;
pub mod sockets;
pub mod sweep;
pub mod system;
