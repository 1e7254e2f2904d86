//! Booking of engines at their registrars, over the peer link.

use crate::peer::Link;
use crate::placement::{Booked, Booking, Registrar};
use crate::prelude::*;
use crate::wire;
use async_trait::async_trait;

/// Maximum time for a registrar's answer: a round trip between zones and the scheduling delay of a
/// busy process.
const BOOKING_TIMEOUT: Duration = Duration::from_millis(40);

/// Registrars of engines, called at their peer addresses.
pub struct PeerRegistrar {
    /// Link to the other entry VMs.
    pub link: Arc<dyn Link>,
}

#[async_trait]
impl Registrar for PeerRegistrar {
    async fn book(&self, booking: &Booking) -> Option<Booked> {
        let ask = wire::Ask::Book(booking.into());
        let call = self.link.call(&booking.registrar, ask);
        match tokio::time::timeout(BOOKING_TIMEOUT, call).await {
            Ok(Ok(wire::Reply::Booked(booked))) => booked.into(),
            _ => {
                let (registrar, upstream) = (booking.registrar.as_str(), booking.upstream.as_str());
                debug!("booking_unanswered", kv: { registrar, upstream });
                None
            }
        }
    }

    async fn borrow(&self, lender: &str, upstream: &str) -> bool {
        let ask = wire::Ask::Borrow(wire::Borrow { upstream: upstream.to_owned() });
        let call = tokio::time::timeout(BOOKING_TIMEOUT, self.link.call(lender, ask));
        matches!(call.await, Ok(Ok(wire::Reply::Lent(wire::Lent { accepted: true }))))
    }
}

impl From<&Booking> for wire::Book {
    fn from(booking: &Booking) -> Self {
        Self {
            upstream: booking.upstream.clone(),
            prefill_ms: booking.prefill.as_millis() as u32,
            limit_ms: booking.limit.as_millis() as u32,
            tokens: booking.tokens,
        }
    }
}

impl From<wire::Book> for Booking {
    fn from(book: wire::Book) -> Self {
        Self {
            registrar: String::new(),
            upstream: book.upstream,
            prefill: Duration::from_millis(u64::from(book.prefill_ms)),
            limit: Duration::from_millis(u64::from(book.limit_ms)),
            tokens: book.tokens,
        }
    }
}

impl From<Booked> for wire::Booked {
    fn from(booked: Booked) -> Self {
        let backlog_ms = booked.backlog.as_millis() as u32;
        Self { known: true, accepted: booked.accepted, backlog_ms, memory: booked.memory }
    }
}

impl From<wire::Booked> for Option<Booked> {
    fn from(booked: wire::Booked) -> Self {
        let backlog = Duration::from_millis(u64::from(booked.backlog_ms));
        let (accepted, memory) = (booked.accepted, booked.memory);
        booked.known.then_some(Booked { accepted, backlog, memory })
    }
}
