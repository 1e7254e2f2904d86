//! Agreement on who reads a prompt at an engine, and when.
//!
//! What entry VMs tell each other of their loads is some hundred milliseconds old. When a zone's engines
//! come back, or after a total loss, many of them find the same engine idle at once. Each engine
//! therefore has one registrar, an entry VM of its zone, which adds up the prompts that are booked there
//! and declines what would begin later than the asker expected, or find no room in memory. Without an answer the asker goes on by
//! what it knows itself.

use async_trait::async_trait;
use std::time::Duration;

/// Prefill from which a booking is worth a round trip.
pub const MIN_PREFILL: Duration = Duration::from_millis(100);
/// Wait beyond the expected one that is not worth another choice: a small part of a prefill.
pub const TOLERANCE: Duration = Duration::from_millis(200);
/// Choices until one is taken as it is.
pub const ROUNDS: u32 = 4;

/// A prompt to be read at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Booking {
    /// Peer address of the registrar.
    pub registrar: String,
    /// Engine.
    pub upstream: String,
    /// Time that the prompt takes.
    pub prefill: Duration,
    /// Tokens that the run holds at its end.
    pub tokens: u32,
    /// Declined if it would begin later than this.
    pub limit: Duration,
}

/// Answer to a booking.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Booked {
    /// The prompt may go there; otherwise nothing was booked.
    pub accepted: bool,
    /// Time until the engine has read what was booked before.
    pub backlog: Duration,
    /// Tokens that the engine's memory holds or will hold.
    pub memory: u32,
}

/// Way to the registrars of engines.
#[async_trait]
pub trait Registrar: Send + Sync {
    /// Books; none without an answer in time.
    async fn book(&self, booking: &Booking) -> Option<Booked>;
}
