//! The caller's side of a generation: a reply that is due, or events that are.

use super::reader::Head;
use super::reply::{Chunk, Reply, Stream};
use crate::prelude::*;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Events that wait for a slow caller; the engine is not read meanwhile.
const EVENT_QUEUE: usize = 32;

/// Caller of a generation.
pub struct Caller {
    state: State,
    /// Beginning of the answer, until it is passed on.
    head: Option<Head>,
}

enum State {
    Waiting(oneshot::Sender<Reply>),
    Reading(mpsc::Sender<Chunk>),
    Served,
}

impl Caller {
    /// A caller that waits for `reply`.
    pub fn new(reply: oneshot::Sender<Reply>) -> Self {
        Self { state: State::Waiting(reply), head: None }
    }

    /// A caller that needs nothing more.
    pub fn served() -> Self {
        Self { state: State::Served, head: None }
    }

    /// Takes the head of the answer; that of the engine which sends the first event counts.
    pub fn set_head(&mut self, head: Head) {
        self.head = Some(head);
    }

    /// Passes on a part of the stream, after the head if that is still due. A caller that does not
    /// read for so long is served no more.
    pub async fn pass(&mut self, chunk: Chunk, limit: Duration) {
        self.send_head();
        let State::Reading(sender) = &self.state else {
            return;
        };
        if !matches!(timeout(limit, sender.send(chunk)).await, Ok(Ok(()))) {
            self.state = State::Served;
        }
    }

    /// Answers a caller that waits, in place of a stream; cuts the stream of one that reads.
    pub fn end(&mut self, reply: impl FnOnce() -> Reply) {
        if let State::Waiting(waiting) = std::mem::replace(&mut self.state, State::Served) {
            // One that has gone needs no answer.
            let _ = waiting.send(reply());
        }
    }

    /// Notes that the caller has left.
    pub fn leave(&mut self) {
        self.state = State::Served;
    }

    /// Completes when the caller has gone away.
    pub async fn gone(&mut self) {
        match &mut self.state {
            State::Waiting(reply) => reply.closed().await,
            State::Reading(events) => events.closed().await,
            State::Served => std::future::pending().await,
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
