//! Mailboxes: the sending side of tasks that own state.

use tokio::sync::{mpsc, oneshot};

/// Sender of messages to a task; messages to a task that has ended are dropped.
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
    /// Creates a mailbox and the receiver of its messages.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<M>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Sends a message that needs no answer.
    pub fn send(&self, message: M) {
        let _ = self.sender.send(message);
    }

    /// Sends a message and waits for the answer; `None` if the task has ended.
    pub async fn request<R>(&self, message: impl FnOnce(oneshot::Sender<R>) -> M) -> Option<R> {
        let (reply, answer) = oneshot::channel();
        self.send(message(reply));
        answer.await.ok()
    }
}
