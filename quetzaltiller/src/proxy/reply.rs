//! Replies to callers.

use crate::refusal::Refusal;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use tokio::sync::mpsc;

/// Reply to a request.
pub enum Reply {
    /// A refusal by this entry VM.
    Refused(Refusal),
    /// A complete answer of an upstream.
    Answered(Answer),
    /// An upstream's answer that is streamed.
    Streaming(Stream),
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

/// Status, headers and events of a streamed answer.
pub struct Stream {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Events; dropping the receiver cancels the stream.
    pub events: mpsc::Receiver<Chunk>,
}

/// Part of a streamed answer.
#[derive(Clone, Debug)]
pub enum Chunk {
    /// Bytes of one or more events.
    Events(Bytes),
    /// End of a complete stream. Without it, the answer must not look complete.
    End,
}
