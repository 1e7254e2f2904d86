//! Upstreams as the platform's directory names them.
//!
//! An [`Upstream`] is one start of one process; a [`Directory`] is all of them at one revision.

mod directory;
mod history;
mod tombstones;
mod upstream;

pub use directory::{Change, Directory, Listing};
pub use history::{History, Update};
pub use tombstones::Tombstones;
pub use upstream::Upstream;
