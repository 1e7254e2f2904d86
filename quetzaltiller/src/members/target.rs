//! A peer to send heartbeats to.

/// A peer to send heartbeats to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address for peers.
    pub address: String,
    /// It gets every heartbeat, as far as turns allow.
    pub near: bool,
    /// The peer does not call by itself.
    pub due: bool,
    /// A peer could not reach it: it is called out of turn.
    pub doubted: bool,
}
