//! Reads one connection to an engine.

use super::event::{Codec, Event};
use super::{Answer, Plan, Request};
use crate::engine;
use crate::fleet::Upstream;
use crate::prelude::*;
use crate::upstream::{Call, Client, Copy, Error, Response};
use futures::{StreamExt as _, TryStreamExt as _};
use hyper::{HeaderMap, StatusCode};
use std::io;
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;
use tokio_util::io::StreamReader;

/// Beginning of an answer.
#[derive(Clone, Debug)]
pub struct Head {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
}

/// What came of a connection.
#[derive(Debug)]
pub enum Notice {
    /// The engine answers with a stream.
    Opened(u32, Head),
    /// An event.
    Event(u32, Event),
    /// The stream ended well.
    Ended(u32),
    /// The engine answers with something else.
    Answered(u32, Answer),
    /// The connection failed.
    Failed(u32, engine::Error),
    /// The engine accepts connections.
    Alive(u32),
}

/// One connection to an engine.
pub struct Reader {
    /// Number that notices refer to.
    pub conn: u32,
    /// Upstreams.
    pub client: Arc<dyn Client>,
    /// Engine.
    pub upstream: Arc<Upstream>,
    /// Engine that gets copies of the run's memory.
    pub backup: Option<Arc<Upstream>>,
    /// Memory to go on from.
    pub copy: Option<Copy>,
    /// Last event that was passed on.
    pub last_event: Option<u64>,
    /// Something of the run has come.
    pub heard: bool,
    /// Work at stake goes first.
    pub urgency: u8,
    /// Time until the answer is of no use.
    pub deadline: Duration,
    /// Caller's request.
    pub request: Arc<Request>,
    /// What the configuration makes of it.
    pub plan: Arc<Plan>,
    /// Told of what comes.
    pub notices: mpsc::Sender<Notice>,
}

impl Reader {
    /// Sends the request and passes on what comes.
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
            Err(error) => Notice::Failed(self.conn, translate(error)),
        };
        self.tell(last).await;
    }

    /// Only connects.
    pub async fn check(self, limit: Duration) {
        let alive = self.client.check(self.upstream.address, limit).await;
        let failed = Notice::Failed(self.conn, engine::Error::Refused);
        self.tell(if alive { Notice::Alive(self.conn) } else { failed }).await;
    }

    /// Asks whether the engine has the run. One that generates and was not heard has lost its answer on the
    /// way.
    pub async fn inspect(self, limit: Duration) {
        let address = self.upstream.address;
        let id = &self.request.id;
        let error = match self.client.report(address, limit).await {
            Some(report) => {
                let unheard = !self.heard && report.generates(id);
                let known = report.may_have(id) && !unheard;
                if !known {
                    info!("run_unknown", kv: {
                        request = self.request.id, upstream = self.upstream.id, unheard,
                        waiting = report.waiting, running = report.running,
                        listed = report.runs.len()
                    });
                }
                (!known).then_some(engine::Error::UnknownStream)
            }
            None => Some(engine::Error::Timeout),
        };
        let alive = Notice::Alive(self.conn);
        self.tell(error.map_or(alive, |error| Notice::Failed(self.conn, error))).await;
    }

    async fn read(&self, response: Response) -> Notice {
        if response.not_run {
            return Notice::Failed(self.conn, engine::Error::Busy);
        }
        if !response.status.is_success() {
            let (status, headers) = (response.status, response.headers.clone());
            return match response.collect().await {
                Ok(body) => Notice::Answered(self.conn, Answer { status, headers, body }),
                Err(error) => Notice::Failed(self.conn, translate(error)),
            };
        }
        let Response { status, headers, body, .. } = response;
        if !self.tell(Notice::Opened(self.conn, Head { status, headers })).await {
            return Notice::Failed(self.conn, engine::Error::Reset);
        }
        let bytes = StreamReader::new(body.map_err(io::Error::other));
        let mut events = FramedRead::new(bytes, Codec::default());
        loop {
            match events.next().await {
                Some(Ok(event)) => {
                    if !self.tell(Notice::Event(self.conn, event)).await {
                        return Notice::Failed(self.conn, engine::Error::Reset);
                    }
                }
                Some(Err(_)) => return Notice::Failed(self.conn, engine::Error::Reset),
                None => return Notice::Ended(self.conn),
            }
        }
    }

    async fn tell(&self, notice: Notice) -> bool {
        self.notices.send(notice).await.is_ok()
    }
}

fn translate(error: Error) -> engine::Error {
    match error {
        Error::Unsent | Error::Misdirected => engine::Error::Refused,
        Error::Broken => engine::Error::Reset,
        Error::Foreign | Error::Oversized => engine::Error::Protocol(error.to_string()),
    }
}
