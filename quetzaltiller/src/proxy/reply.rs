//! What a caller gets.

use crate::refusal::Refusal;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::sync::mpsc;

/// Reply to a request.
pub enum Reply {
    /// An answer of our own.
    Refused(Refusal),
    /// A whole answer of an upstream.
    Answered(Answer),
    /// The beginning of a stream of an upstream.
    Streaming(Stream),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A stream.
pub struct Stream {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Events; dropping the receiver cancels the stream.
    pub events: mpsc::Receiver<Chunk>,
}

/// Part of a stream.
#[derive(Clone, Debug)]
pub enum Chunk {
    /// Events.
    Events(Bytes),
    /// The stream is whole. Without it, the answer must not look complete.
    End,
}
