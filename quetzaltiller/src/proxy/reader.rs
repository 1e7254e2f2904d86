//! Reads one connection to an engine.

use super::event::{Codec, Event};
use super::{Answer, Plan, Request};
use crate::engine;
use crate::fleet::Upstream;
use crate::prelude::*;
use crate::upstream::{Call, Client, Copy, Error, Response};
use futures::{StreamExt as _, TryStreamExt as _};
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use std::io;
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;
use tokio_util::io::StreamReader;

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Status and headers of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
}

/// What a reader reports to the generation's task; the number is that of the connection.
#[derive(Debug)]
pub enum Notice {
    /// The engine started a stream.
    Opened(u32, Head),
    /// The engine sent an event.
    Event(u32, Event),
    /// The stream ended without an error.
    Ended(u32),
    /// The engine answered with an error status instead of a stream.
    Answered(u32, Answer),
    /// Another upstream has the engine's address and rejected the request.
    Misdirected(u32),
    /// The connection failed.
    Failed(u32, engine::Error),
    /// The engine accepts connections.
    Alive(u32),
}

/// One connection to an engine.
pub struct Reader {
    /// Number of the connection in notices.
    pub conn: u32,
    /// Client of upstreams.
    pub client: Arc<dyn Client>,
    /// Engine to connect to.
    pub upstream: Arc<Upstream>,
    /// Engine that gets copies of the run's memory.
    pub backup: Option<Arc<Upstream>>,
    /// Copy of the run's memory to resume from.
    pub copy: Option<Copy>,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Whether events of the run have been received.
    pub streaming: bool,
    /// Urgency of the run; lower values go first.
    pub urgency: u8,
    /// Time left until the request's deadline.
    pub deadline: Duration,
    /// The caller's request.
    pub request: Arc<Request>,
    /// Plan of the request.
    pub plan: Arc<Plan>,
    /// Channel to the generation's task.
    pub notices: mpsc::Sender<Notice>,
}

impl Reader {
    /// Sends the request and forwards the answer's events as notices.
    pub async fn run(self) {
        let call = Call {
            upstream: &self.upstream,
            request: &self.request,
            deadline: self.deadline,
            account: self.plan.account.as_deref(),
            urgency: Some(self.urgency),
            backup: self.backup.as_ref().map(|backup| backup.address),
            copy: self.copy.as_ref(),
            last_event: self.last_event,
            new_connection: true,
        };
        let last = match self.client.send(call).await {
            Ok(response) => self.read(response).await,
            Err(Error::Misdirected) => Notice::Misdirected(self.conn),
            Err(error) => Notice::Failed(self.conn, engine_error(error)),
        };
        self.notify(last).await;
    }

    /// Checks within `limit` that the engine accepts connections.
    pub async fn check(self, limit: Duration) {
        let alive = self.client.check(self.upstream.address, limit).await;
        let failed = Notice::Failed(self.conn, engine::Error::Refused);
        self.notify(if alive { Notice::Alive(self.conn) } else { failed }).await;
    }

    /// Checks within `limit` by the engine's report that it has the run. If the engine generates
    /// but none of its events was received, the answer was lost on the way and the run counts as
    /// unknown.
    pub async fn inspect(self, limit: Duration) {
        let address = self.upstream.address;
        let id = &self.request.id;
        let error = match self.client.report(address, limit).await {
            Some(report) => {
                let answer_lost = !self.streaming && report.generates(id);
                let known = report.may_have(id) && !answer_lost;
                if !known {
                    info!("run_unknown", kv: {
                        request = self.request.id, upstream = self.upstream.id,
                        unheard = answer_lost, waiting = report.waiting, running = report.running,
                        listed = report.runs.len()
                    });
                }
                (!known).then_some(engine::Error::UnknownStream)
            }
            None => Some(engine::Error::Timeout),
        };
        let alive = Notice::Alive(self.conn);
        self.notify(error.map_or(alive, |error| Notice::Failed(self.conn, error))).await;
    }

    async fn read(&self, response: Response) -> Notice {
        if response.not_run {
            return Notice::Failed(self.conn, engine::Error::Busy);
        }
        if !response.status.is_success() {
            let (status, headers) = (response.status, response.headers.clone());
            return match response.collect().await {
                Ok(body) => Notice::Answered(self.conn, Answer { status, headers, body }),
                Err(error) => Notice::Failed(self.conn, engine_error(error)),
            };
        }
        let Response { status, headers, delimited, body, .. } = response;
        if !is_event_stream(status, &headers) {
            let error = format!("status {status} without an event stream");
            return Notice::Failed(self.conn, engine::Error::Protocol(error));
        }
        if !self.notify(Notice::Opened(self.conn, Head { status, headers })).await {
            return Notice::Failed(self.conn, engine::Error::Reset);
        }
        let bytes = StreamReader::new(body.map_err(io::Error::other));
        let mut events = FramedRead::new(bytes, Codec::default());
        let mut last = None;
        loop {
            match events.next().await {
                Some(Ok(event)) => {
                    last = event.number.map(u64::from);
                    if !self.notify(Notice::Event(self.conn, event)).await {
                        return Notice::Failed(self.conn, engine::Error::Reset);
                    }
                }
                None if self.is_complete(last, delimited) => return Notice::Ended(self.conn),
                Some(Err(_)) | None => return Notice::Failed(self.conn, engine::Error::Reset),
            }
        }
    }

    /// Whether a stream that ended after the event numbered `last` is complete. A run ends with an
    /// event, unless it resumes after the last one; where the connection marks the end, an empty
    /// stream may have been broken off.
    fn is_complete(&self, last: Option<u64>, delimited: bool) -> bool {
        match last {
            Some(last) => self.last_event.is_none_or(|known| last >= known),
            None => self.last_event.is_some() && delimited,
        }
    }

    async fn notify(&self, notice: Notice) -> bool {
        self.notices.send(notice).await.is_ok()
    }
}

/// Whether an answer is a stream of events; one that doesn't state its type may be.
fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let media_type = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    let is_other_type = media_type.is_some_and(|media_type| {
        let prefix = media_type.get(..EVENT_STREAM.len());
        !prefix.is_some_and(|prefix| prefix.eq_ignore_ascii_case(EVENT_STREAM))
    });
    status == StatusCode::OK && !is_other_type
}

fn engine_error(error: Error) -> engine::Error {
    match error {
        Error::Unsent | Error::Misdirected => engine::Error::Refused,
        Error::Broken => engine::Error::Reset,
        Error::Foreign | Error::Oversized => engine::Error::Protocol(error.to_string()),
    }
}
