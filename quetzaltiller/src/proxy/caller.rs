//! The caller's side of a generation: a reply that has not begun, or a stream of events.

use super::reader::Head;
use super::reply::{Chunk, Reply, Stream};
use crate::prelude::*;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Maximum number of events queued for a slow caller; the engine's connection is not read while
/// the queue is full.
const EVENT_QUEUE: usize = 32;

/// Sender of a generation's reply to its caller.
pub struct Caller {
    state: State,
    /// Status and headers of the answer, until they are sent.
    head: Option<Head>,
}

enum State {
    Waiting(oneshot::Sender<Reply>),
    Reading(mpsc::Sender<Chunk>),
    Closed,
}

impl Caller {
    /// Creates a caller that waits for `reply`.
    pub fn new(reply: oneshot::Sender<Reply>) -> Self {
        Self { state: State::Waiting(reply), head: None }
    }

    /// Creates a caller to which nothing more is sent.
    pub fn closed() -> Self {
        Self { state: State::Closed, head: None }
    }

    /// Sets the status and headers of the answer, which are those of the engine that sends the
    /// first event.
    pub fn set_head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Sends a part of the stream, preceded by the head if that was not sent yet. A caller that
    /// leaves no free place in its queue within `limit` is closed.
    pub async fn send(&mut self, chunk: Chunk, limit: Duration) {
        self.send_head();
        let State::Reading(sender) = &self.state else {
            return;
        };
        if !matches!(timeout(limit, sender.send(chunk)).await, Ok(Ok(()))) {
            self.state = State::Closed;
        }
    }

    /// Sends `reply` to a caller whose stream has not begun; cuts off a stream that has.
    pub fn end(&mut self, reply: impl FnOnce() -> Reply) {
        if let State::Waiting(waiting) = std::mem::replace(&mut self.state, State::Closed) {
            // Sending fails only if the caller has disconnected.
            let _ = waiting.send(reply());
        }
    }

    /// Marks the caller as disconnected; nothing more is sent.
    pub fn close(&mut self) {
        self.state = State::Closed;
    }

    /// Whether nothing more is sent.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed)
    }

    /// Completes when the caller has disconnected; never for a closed one.
    pub async fn disconnected(&mut self) {
        match &mut self.state {
            State::Waiting(reply) => reply.closed().await,
            State::Reading(events) => events.closed().await,
            State::Closed => std::future::pending().await,
        }
    }

    fn send_head(&mut self) {
        if !matches!(self.state, State::Waiting(_)) {
            return;
        }
        let Some(Head { status, headers }) = self.head.take() else {
            return;
        };
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        if let State::Waiting(reply) = std::mem::replace(&mut self.state, State::Reading(sender)) {
            let _ = reply.send(Reply::Streaming(Stream { status, headers, events }));
        }
    }
}
