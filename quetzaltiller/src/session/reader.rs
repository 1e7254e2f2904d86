//! Reads one connection to an engine.

use super::task::Notice;
use crate::engine::{self, Attempt, Submission};
use crate::prelude::*;
use futures::StreamExt as _;
use tokio::sync::mpsc;

/// One connection to an engine.
pub struct Reader {
    /// Number that notices refer to.
    pub conn: u32,
    /// Engines.
    pub engines: Arc<dyn engine::Client>,
    /// Work to submit; without it, the running attempt is reattached to.
    pub submission: Option<Submission>,
    /// Attempt to read.
    pub attempt: Attempt,
    /// Index of the first token to read.
    pub from: u32,
    /// Told of what comes.
    pub notices: mpsc::Sender<Notice>,
}

impl Reader {
    /// Opens the stream and passes on what it brings.
    pub async fn run(self) {
        let opened = match &self.submission {
            Some(submission) => self.engines.submit(&self.attempt.address, submission).await,
            None => self.engines.reattach(&self.attempt, self.from).await,
        };
        let error = match opened {
            Ok(stream) => self.pass_on(stream).await,
            Err(error) => error,
        };
        let _ = self.notices.send(Notice::Failed(self.conn, error)).await;
    }

    async fn pass_on(&self, mut stream: engine::Stream) -> engine::Error {
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
