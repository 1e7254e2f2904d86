//! Reads one connection to an engine.

use super::task::Notice;
use crate::engine::{self, Attempt, Submission};
use crate::prelude::*;
use futures::StreamExt as _;
use tokio::sync::mpsc;

/// One connection to an engine.
pub struct Reader {
    /// Number of the connection in notices.
    pub conn: u32,
    /// Client of engines.
    pub engines: Arc<dyn engine::Client>,
    /// Work to submit; without it, the running attempt is reattached to.
    pub submission: Option<Submission>,
    /// Attempt to read.
    pub attempt: Attempt,
    /// Index of the first token to read.
    pub from: u32,
    /// Channel to the session's task.
    pub notices: mpsc::Sender<Notice>,
}

impl Reader {
    /// Opens the stream and forwards its chunks as notices, and at its end the error.
    pub async fn run(self) {
        let opened = match &self.submission {
            Some(submission) => self.engines.submit(&self.attempt.address, submission).await,
            None => self.engines.reattach(&self.attempt, self.from).await,
        };
        let error = match opened {
            Ok(stream) => self.forward(stream).await,
            Err(error) => error,
        };
        let _ = self.notices.send(Notice::Failed(self.conn, error)).await;
    }

    async fn forward(&self, mut stream: engine::Stream) -> engine::Error {
        if self.notices.send(Notice::Opened(self.conn)).await.is_err() {
            return engine::Error::Reset;
        }
        loop {
            match stream.next().await {
                Some(Ok(chunk)) => {
                    if self.notices.send(Notice::Chunk(self.conn, chunk)).await.is_err() {
                        return engine::Error::Reset;
                    }
                }
                Some(Err(error)) => return error,
                None => return engine::Error::Reset,
            }
        }
    }
}
