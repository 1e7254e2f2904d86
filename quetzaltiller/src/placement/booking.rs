//! Bookings of prompts at an engine's registrar, before they are sent to the engine.
//!
//! Entry VMs know each other's loads only as of some hundred milliseconds ago. When a zone's
//! engines come back, or after a total loss, many entry VMs find the same engine idle at once. Each
//! engine therefore has one registrar, an entry VM of its zone, which adds up the prompts booked
//! there. It declines a prompt that would start later than the booking allows or find no room in
//! memory. Without an answer, the entry VM that books relies on its own knowledge.

use async_trait::async_trait;
use std::time::Duration;

/// Minimum prefill time of a booked prompt; a shorter one is not worth the round trip.
pub const MIN_PREFILL: Duration = Duration::from_millis(100);
/// Wait beyond the expected one that a booking accepts. It is a small part of a prefill, not worth
/// another choice.
pub const WAIT_TOLERANCE: Duration = Duration::from_millis(200);
/// Maximum number of choices for one run; the last is taken without a booking.
pub const MAX_ROUNDS: u32 = 4;

/// A prompt to be read at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Booking {
    /// Address of the registrar for calls between entry VMs.
    pub registrar: String,
    /// Id of the engine.
    pub upstream: String,
    /// Time in which the engine reads the prompt.
    pub prefill: Duration,
    /// Tokens that the run holds in memory at its end.
    pub tokens: u32,
    /// Maximum backlog of the engine; above it, the booking is declined.
    pub limit: Duration,
}

/// Registrar's answer to a booking.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Booked {
    /// Whether the prompt was booked.
    pub accepted: bool,
    /// Time until the engine has read all earlier prompts.
    pub backlog: Duration,
    /// Tokens that the engine's memory holds or will hold, without this booking.
    pub memory: u32,
}

/// Client of the engines' registrars.
#[async_trait]
pub trait Registrar: Send + Sync {
    /// Sends a booking to its registrar; none without an answer in time.
    async fn book(&self, booking: &Booking) -> Option<Booked>;

    /// Asks the entry VM at `lender` for a request of its part of an upstream's limit; returns
    /// whether it lends one.
    async fn borrow(&self, lender: &str, upstream: &str) -> bool;
}
