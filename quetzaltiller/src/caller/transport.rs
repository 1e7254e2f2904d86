//! Port from callers to entry VMs.

use crate::generation::{Event, EventId, Request};
use crate::refusal::Refusal;
use crate::router::Entries;
use crate::service::{Answer, Call};
use async_trait::async_trait;
use tokio::sync::mpsc;

/// Why an entry VM did not serve a request.
#[derive(Clone, Debug)]
pub enum Failure {
    /// The entry VM refused the request.
    Refused(Refusal),
    /// The connection broke after something may have been sent.
    Broken,
    /// No connection could be opened; nothing was sent.
    Unreachable,
}

/// Item received on a stream.
#[derive(Clone, Debug)]
pub enum Frame {
    /// An event with its id, if it has one.
    Event(Option<EventId>, Event),
    /// Data that shows that the connection is alive.
    KeepAlive,
}

/// Frames of one stream; the channel closes when the connection ends.
pub type Frames = mpsc::Receiver<Frame>;

/// Connections to entry VMs, for one account.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Fetches the list of entry VMs to use from the entry VM at address `entry`.
    async fn entries(&self, entry: &str) -> Result<Entries, Failure>;

    /// Starts a generation, or continues it after the event `last`.
    async fn generate(
        &self,
        entry: &str,
        request: &Request,
        last: Option<&EventId>,
    ) -> Result<Frames, Failure>;

    /// Calls a plain service.
    async fn call(&self, entry: &str, service: &str, call: &Call) -> Result<Answer, Failure>;
}
