//! Reason why an upstream is not used although a newer era of the store lists it.

/// State of an upstream in the lost history, which contradicts its entry in the older copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Dispute {
    /// The upstream was no longer listed.
    Gone,
    /// The upstream was listed as leaving.
    Leaving,
}
