//! Upstreams as listed in the platform's directory.
//!
//! An [`Upstream`] is one start of a process; a [`Directory`] holds all upstreams at one version of
//! the platform's store.

mod directory;
mod history;
mod tombstones;
mod upstream;

pub use directory::{Change, Directory, Listing};
pub use history::{History, Update};
pub use tombstones::Tombstones;
pub use upstream::Upstream;
