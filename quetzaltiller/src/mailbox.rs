//! Sending side of a task that owns state.

use tokio::sync::{mpsc, oneshot};

/// Where a task's messages go; a task that has ended answers nothing.
#[derive(Debug)]
pub struct Mailbox<M> {
    sender: mpsc::UnboundedSender<M>,
}

impl<M> Clone for Mailbox<M> {
    fn clone(&self) -> Self {
        Self { sender: self.sender.clone() }
    }
}

impl<M> Mailbox<M> {
    /// A mailbox and the messages sent to it.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<M>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Sends a message that needs no answer.
    pub fn send(&self, message: M) {
        let _ = self.sender.send(message);
    }

    /// Sends a message and waits for the answer; `None` when the task has ended.
    pub async fn request<R>(&self, message: impl FnOnce(oneshot::Sender<R>) -> M) -> Option<R> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply));
        answer.await.ok()
    }
}
