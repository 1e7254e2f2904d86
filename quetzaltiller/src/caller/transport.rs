//! Port from a caller to entry VMs.

use crate::generation::{Event, EventId, Request};
use crate::refusal::Refusal;
use crate::router::Entries;
use crate::service::{Answer, Call};
use async_trait::async_trait;
use tokio::sync::mpsc;

/// Why an entry VM gave no answer.
#[derive(Clone, Debug)]
pub enum Failure {
    /// It refused.
    Refused(Refusal),
    /// The connection broke after something may have been sent.
    Broken,
    /// There was no connection.
    Unreachable,
}

/// Something that came on a stream.
#[derive(Clone, Debug)]
pub enum Frame {
    /// An event with its id.
    Event(Option<EventId>, Event),
    /// A sign of life.
    KeepAlive,
}

/// Frames of one stream; it ends when the connection does.
pub type Frames = mpsc::Receiver<Frame>;

/// Connections to entry VMs, for one account.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Asks an entry VM which ones to use.
    async fn entries(&self, entry: &str) -> Result<Entries, Failure>;

    /// Starts a generation, or goes on after `last`.
    async fn generate(
        &self,
        entry: &str,
        request: &Request,
        last: Option<&EventId>,
    ) -> Result<Frames, Failure>;

    /// Calls a plain service.
    async fn call(&self, entry: &str, service: &str, call: &Call) -> Result<Answer, Failure>;
}
