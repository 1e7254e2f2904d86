//! The bench: the product's own code over stand-ins, on virtual time, with seeded loads and faults.
//!
//! A run builds a [`system`] for a [`deployment`], offers it a [`load`], injects [`faults`], and
//! lets the [`checker`] count violations from what callers, engines and services saw. [`run`] puts
//! a run, the same run without faults and the baselines together into a [`report`].

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
