//! Targets of heartbeats.

/// Peer to which this member sends heartbeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address of the peer for calls of other members.
    pub address: String,
    /// Whether the peer is called in each round, as far as the fan-out allows.
    pub near: bool,
    /// Whether this member calls the peer in rotation; otherwise the peer calls this member.
    pub in_rotation: bool,
    /// Whether another member could not reach the peer; it is then called in each round.
    pub suspected: bool,
}
