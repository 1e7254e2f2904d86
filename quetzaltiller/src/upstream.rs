//! Port to upstreams: forwards requests and streams the answers back.
//!
//! The port also covers what the proxy needs from engines besides answers: load reports, cached
//! prompt parts, copies of a run's memory and the availability that upstreams announce.

use crate::fleet::Upstream;
use crate::proxy::Request;
use async_trait::async_trait;
use bytes::Bytes;
use coordination::memory::{self, Budget, Buffer};
use futures::stream::BoxStream;
use futures::{Stream, StreamExt as _};
use hyper::{HeaderMap, StatusCode};
use quick_error::quick_error;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest reply that is buffered whole before it is passed on, in bytes. More than a hundred times
/// the longest reply on the users' sheets (5 kB).
pub const MAX_REPLY_BYTES: usize = 1 << 20;
/// Bytes of all replies that are buffered at once. Leaves three quarters of the smallest VM's memory
/// (120 MB) to the process, however many faulty upstreams send replies without end.
pub const MAX_BUFFERED_BYTES: usize = 30 << 20;

quick_error! {
    /// Reasons why an upstream gave no usable answer.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Error {
        /// Nothing was sent: the request has not run.
        Unsent {
            display("nothing was sent")
        }
        /// Another upstream has the address; the request has not run.
        Misdirected {
            display("another upstream has the address")
        }
        /// The request was sent and the connection broke; it may have run.
        Broken {
            display("connection broke")
        }
        /// The answer belongs to another request or is malformed; this request may have run.
        Foreign {
            display("answer of another request")
        }
        /// The request was sent and the answer exceeds a limit on its size or the memory for answers;
        /// it may have run.
        Oversized {
            display("answer without end")
        }
    }
}

/// Availability that an upstream announces along with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Availability {
    /// The upstream accepts no new work.
    pub leaving: bool,
    /// Time for which the upstream refuses further requests from this VM.
    pub closed_for: Option<Duration>,
    /// Limit that the upstream states or no longer states; none if the statement is unreadable.
    pub limit: Option<Limit>,
}

/// Limit on requests from all entry VMs together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// The upstream states no limit.
    Unlimited,
    /// Requests per second.
    PerSecond(f64),
}

/// Request whose answer carried an availability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exchange<'a> {
    /// Address to which the request was sent.
    pub address: SocketAddr,
    /// Id of the upstream if the answer proves its sender; none for answers of other calls than
    /// requests of callers.
    pub upstream: Option<&'a str>,
    /// Time between the request and the head of the answer.
    pub took: Duration,
}

/// Receives the availability of upstreams, before the answer that carried it is passed on.
pub trait Listener: Send + Sync {
    /// Handles the availability that the answer of `exchange` carried.
    fn handle_availability(&self, exchange: Exchange<'_>, availability: Availability);
}

/// Copy of a run's memory, from which another engine can continue the run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// Engine that named the copy.
    pub origin: SocketAddr,
    /// Name of the copy at `origin`.
    pub name: String,
}

/// A request to one upstream, with the options for sending it.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Upstream that the request is sent to.
    pub upstream: &'a Upstream,
    /// Caller's request.
    pub request: &'a Request,
    /// Time left until the answer is no longer useful.
    pub deadline: Duration,
    /// Client account of the caller.
    pub account: Option<&'a str>,
    /// Urgency among requests at an engine; 0 is served first.
    pub urgency: Option<u8>,
    /// Engine that receives copies of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Copy of the run's memory to continue from.
    pub copy: Option<&'a Copy>,
    /// Number of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Whether to use a connection that has carried no request yet.
    pub new_connection: bool,
}

/// Answer of an upstream.
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to pass on to the caller.
    pub headers: HeaderMap,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer states where its body ends. Otherwise the body ends with the connection,
    /// as it does when the upstream's process ends.
    pub delimited: bool,
    /// Body as a stream; ends with an error if it was cut off.
    pub body: BoxStream<'static, Result<Bytes, Error>>,
    /// Memory for replies that are buffered whole.
    pub memory: Budget,
}

impl Response {
    /// Reads the whole body; [`Error::Oversized`] if it exceeds [`MAX_REPLY_BYTES`] or the memory for
    /// replies.
    pub async fn collect(self) -> Result<Bytes, Error> {
        read_whole(self.body, Buffer::new(&self.memory, MAX_REPLY_BYTES))
            .await?
            .map_err(Error::from)
    }
}

impl From<memory::Error> for Error {
    fn from(_: memory::Error) -> Self {
        Self::Oversized
    }
}

/// Reads a body into `buffer`, whose memory is released when the last copy of the result is dropped.
/// The inner error tells that the buffer has no room.
pub async fn read_whole<E>(
    body: impl Stream<Item = Result<Bytes, E>>,
    mut buffer: Buffer,
) -> Result<Result<Bytes, memory::Error>, E> {
    let mut body = std::pin::pin!(body);
    while let Some(chunk) = body.next().await {
        if let Err(error) = buffer.append(&chunk?) {
            return Ok(Err(error));
        }
    }
    Ok(buffer.finish().map(Bytes::from_owner))
}

/// Load report of an engine, some hundred milliseconds old.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Whether the engine serves models.
    pub has_models: bool,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait or have not generated a token yet.
    pub unread: u32,
    /// Tokens in the engine's memory that can't be evicted.
    pub memory_tokens: u32,
    /// Start of the engine's process; 0 if not reported.
    pub incarnation: u64,
    /// Ids of the requests whose runs have started to generate.
    pub runs: Vec<String>,
}

impl Report {
    /// Whether the engine is generating for the request.
    pub fn generates(&self, request: &str) -> bool {
        self.runs.iter().any(|run| run == request)
    }

    /// Whether the engine may hold the request's run: it generates, or some request there still
    /// waits or is in prefill.
    pub fn may_have(&self, request: &str) -> bool {
        self.unread > 0 || self.generates(request)
    }
}

/// Access to upstreams. Dropping a call or a body closes its connection.
#[async_trait]
pub trait Client: Send + Sync {
    /// Sets the receiver of upstreams' availability; later calls have no effect.
    fn set_listener(&self, listener: Arc<dyn Listener>);

    /// Sends a request; returns once the head of the answer has arrived.
    async fn send(&self, call: Call<'_>) -> Result<Response, Error>;

    /// Whether an upstream accepts a connection within `limit`.
    async fn check(&self, address: SocketAddr, limit: Duration) -> bool;

    /// Whether an address refuses connections within `limit`, as no process listens there.
    async fn has_ended(&self, address: SocketAddr, limit: Duration) -> bool;

    /// Copies the memory of a run from one engine to another while the run continues; a later call
    /// copies only what is new. `None` if the copy did not complete within `limit`.
    async fn copy_run(
        &self,
        from: SocketAddr,
        request: &str,
        to: SocketAddr,
        limit: Duration,
    ) -> Option<Copy>;

    /// Frees the memory that `holder` keeps for a copy that is no longer needed.
    async fn drop_copy(&self, holder: SocketAddr, copy: &Copy, limit: Duration);

    /// Load report of an engine; `None` without an answer within `limit`.
    async fn report(&self, address: SocketAddr, limit: Duration) -> Option<Report>;

    /// Digests of the prompt parts that an engine has cached for a model; `None` without an answer
    /// within `limit`.
    async fn cached_parts(
        &self,
        address: SocketAddr,
        model: &str,
        limit: Duration,
    ) -> Option<Vec<u64>>;

    /// Whether the upstream's own process answers its health check at `path` within `limit`,
    /// healthy and not leaving.
    async fn accepts_work(&self, upstream: &Upstream, path: &str, limit: Duration) -> bool;

    /// Id of the upstream at an address, read from its health check at `path`; `None` without an
    /// answer within `limit`.
    async fn identify(&self, address: SocketAddr, path: &str, limit: Duration) -> Option<String>;
}
