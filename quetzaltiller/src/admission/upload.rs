//! Reads the body of a caller's request.
//!
//! A body is kept whole: its upstream is chosen once it has arrived, so that a slow caller occupies no
//! place there, a refusal can promise that the request has not run, and a second attempt sends the same
//! bytes. Until then it may be dropped at any time.

use super::{Admission, Cause, Connection};
use crate::prelude::*;
use bytes::Bytes;
use coordination::intake::{Arrival, Error};
use coordination::memory::SMALL_MESSAGE;
use futures::{Stream, StreamExt as _};
use tokio::time::timeout;

/// Time in which the rest of a small body that was refused has to arrive.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Wait that a caller is told whose body found no room.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What is known of a request when its body begins.
pub struct Upload<'a> {
    /// Admission of the entry VM.
    pub admission: &'a Admission,
    /// Connection of the caller.
    pub connection: &'a Connection,
    /// Length of the body in bytes, if the request states it.
    pub length: Option<u64>,
    /// Maximum length in bytes.
    pub limit: usize,
    /// Maximum time without a byte.
    pub idle_timeout: Duration,
    /// Time at which the caller's patience ends.
    pub deadline: Duration,
}

impl Upload<'_> {
    /// Reads the body. `admit` decides by the head of the request, before memory is used for a body
    /// that does not come in one piece, and returns the account of the caller, empty without one.
    /// Fails with a refusal, after which the rest of the body must not be read.
    pub async fn receive<E>(
        self,
        mut body: impl Stream<Item = Result<Bytes, E>> + Unpin,
        admit: impl FnOnce() -> Result<String, Refusal>,
    ) -> Result<Bytes, Refusal> {
        if self.length.is_some_and(|length| length > self.limit as u64) {
            return Err(self.reject(Cause::BodyTooLong));
        }
        if self.length == Some(0) {
            return Ok(Bytes::new());
        }
        let Some(first) = self.next(&mut body).await? else {
            return Ok(Bytes::new());
        };
        if self.length == Some(first.len() as u64) {
            return Ok(first);
        }
        let account = match admit() {
            Ok(account) => account,
            Err(refusal) => {
                self.discard(&mut body, first.len()).await;
                return Err(refusal);
            }
        };
        let refuse = self.connection.refusal().clone();
        let on_drop = move || refuse.cancel();
        let mut arrival = self.admission.bodies.begin(&account, self.limit, on_drop);
        self.append(&mut arrival, first)?;
        while let Some(piece) = self.next(&mut body).await? {
            self.append(&mut arrival, piece)?;
        }
        let whole = arrival.finish(self.admission.clock.now());
        whole.map(Bytes::from_owner).map_err(|error| self.reject_for(error))
    }

    /// Reads the rest of a small body that was refused, so that the connection can be used further; the
    /// rest of a large one is left.
    async fn discard<E>(
        &self,
        body: &mut (impl Stream<Item = Result<Bytes, E>> + Unpin),
        mut read: usize,
    ) {
        let rest = async {
            while let Some(Ok(piece)) = body.next().await {
                read += piece.len();
                if read > SMALL_MESSAGE {
                    return false;
                }
            }
            true
        };
        if !timeout(DISCARD_TIME, rest).await.unwrap_or(false) {
            self.connection.refusal().cancel();
        }
    }

    /// Waits for the next piece; none at the end of the body.
    async fn next<E>(
        &self,
        body: &mut (impl Stream<Item = Result<Bytes, E>> + Unpin),
    ) -> Result<Option<Bytes>, Refusal> {
        let clock = self.admission.clock;
        let until = self.deadline.min(clock.now() + self.idle_timeout);
        tokio::select! {
            biased;
            () = self.connection.refusal().cancelled() => Err(self.reject(Cause::MemoryUsedUp)),
            piece = body.next() => piece.transpose().map_err(|_| {
                Refusal::not_run(Code::BadRequest, "the body ended early")
            }),
            () = clock.sleep_until(until) => Err(self.reject(Cause::BodyLate)),
        }
    }

    fn append(&self, arrival: &mut Arrival, piece: Bytes) -> Result<(), Refusal> {
        let appended = arrival.append(&piece, self.admission.clock.now());
        appended.map_err(|error| self.reject_for(error))
    }

    fn reject_for(&self, error: Error) -> Refusal {
        self.reject(match error {
            Error::TooLong => Cause::BodyTooLong,
            Error::Dropped | Error::NoRoom => Cause::MemoryUsedUp,
        })
    }

    fn reject(&self, cause: Cause) -> Refusal {
        self.admission.rejections.record(cause, self.connection.port());
        self.connection.refusal().cancel();
        match cause {
            Cause::BodyTooLong => {
                let message = format!("the body exceeds {} bytes", self.limit);
                Refusal::not_run(Code::BodyTooLarge, message)
            }
            Cause::BodyLate => Refusal::not_run(Code::BodyTimeout, "the body did not come in time"),
            _ => {
                let message = "no room for the body now; send the request again later";
                let retry_after_ms = ROOM_RETRY_AFTER.as_millis() as u64;
                Refusal { retry_after_ms, ..Refusal::not_run(Code::Overloaded, message) }
            }
        }
    }
}
