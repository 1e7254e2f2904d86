//! Port to upstreams: forwards requests and returns answers as they come.

use crate::fleet::Upstream;
use crate::proxy::Request;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use futures::StreamExt as _;
use futures::stream::BoxStream;
use hyper::{HeaderMap, StatusCode};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest reply that is read to its end before it is passed on, in bytes: a hundred times the
/// longest on the users' sheets (5 kB), and 50 MB where fifty faulty upstreams send it at once.
pub const MAX_REPLY_BYTES: usize = 1 << 20;

quick_error! {
    /// Why there is no answer.
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
        /// It was sent, and the connection broke; it may have run.
        Broken {
            display("connection broke")
        }
        /// What came belongs to another request, or is not understood; this one may have run.
        Foreign {
            display("answer of another request")
        }
        /// It was sent, and more came than any answer holds; it may have run.
        Oversized {
            display("answer without end")
        }
    }
}

/// What an upstream says of itself along with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Availability {
    /// It takes no new work.
    pub leaving: bool,
    /// It wants nothing more from this VM for so long.
    pub closed_for: Option<Duration>,
}

/// Takes what upstreams say of themselves, before the answer that told it is passed on.
pub trait Listener: Send + Sync {
    /// Takes the availability of the upstream at `address`; `id` names it where the answer proves who sent it.
    fn handle_availability(
        &self,
        address: SocketAddr,
        id: Option<&str>,
        availability: Availability,
    );
}

/// Memory of a run to go on from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// Engine that gave the copy its name.
    pub origin: SocketAddr,
    /// Name of the copy there.
    pub name: String,
}

/// How a request is sent.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Upstream.
    pub upstream: &'a Upstream,
    /// The caller's request.
    pub request: &'a Request,
    /// Time until the answer is of no use.
    pub deadline: Duration,
    /// Account that asks.
    pub account: Option<&'a str>,
    /// Urgency among requests at an engine, 0 first.
    pub urgency: Option<u8>,
    /// Engine that gets copies of the run's memory.
    pub backup: Option<SocketAddr>,
    /// Memory to go on from.
    pub copy: Option<&'a Copy>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
    /// Use a connection that has carried nothing before.
    pub new_connection: bool,
}

/// Answer of an upstream.
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// The upstream states that it did not run the request.
    pub not_run: bool,
    /// Body as it comes; ends with an error where it was cut.
    pub body: BoxStream<'static, Result<Bytes, Error>>,
}

impl Response {
    /// Reads the body to its end, up to [`MAX_REPLY_BYTES`].
    pub async fn collect(mut self) -> Result<Bytes, Error> {
        let mut collected = BytesMut::new();
        while let Some(chunk) = self.body.next().await {
            let chunk = chunk?;
            if collected.len() + chunk.len() > MAX_REPLY_BYTES {
                return Err(Error::Oversized);
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.freeze())
    }
}

/// What an engine tells of itself, some hundred milliseconds late.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// It serves models.
    pub has_models: bool,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait or have not generated anything yet.
    pub unread: u32,
    /// Tokens in memory that can't be dropped.
    pub memory_tokens: u32,
    /// Start of its process; 0 where it does not tell.
    pub incarnation: u64,
    /// Requests whose runs have begun to generate.
    pub runs: Vec<String>,
}

impl Report {
    /// Whether the engine generates for a request.
    pub fn generates(&self, request: &str) -> bool {
        self.runs.iter().any(|run| run == request)
    }

    /// Whether the engine has a run, or might have it waiting or its prompt being read.
    pub fn may_have(&self, request: &str) -> bool {
        self.unread > 0 || self.generates(request)
    }
}

/// Access to upstreams. Dropping a call or a body closes its connection.
#[async_trait]
pub trait Client: Send + Sync {
    /// Names who takes what upstreams say of themselves; the first one is kept.
    fn set_listener(&self, listener: Arc<dyn Listener>);

    /// Sends a request; returns when the head of the answer is there.
    async fn send(&self, call: Call<'_>) -> Result<Response, Error>;

    /// Whether an upstream accepts a connection within `limit`.
    async fn check(&self, address: SocketAddr, limit: Duration) -> bool;

    /// Copies the memory of a run from one engine to another while the run goes on; a later call
    /// copies what is new. None where it was not done within `limit`.
    async fn copy_run(
        &self,
        from: SocketAddr,
        request: &str,
        to: SocketAddr,
        limit: Duration,
    ) -> Option<Copy>;

    /// Frees the memory that an engine holds for a copy which nobody will go on from.
    async fn drop_copy(&self, holder: SocketAddr, copy: &Copy, limit: Duration);

    /// What an engine tells of itself; none without an answer in time.
    async fn report(&self, address: SocketAddr, limit: Duration) -> Option<Report>;

    /// Parts of prompts that an engine keeps for a model; none without an answer in time.
    async fn cached_parts(
        &self,
        address: SocketAddr,
        model: &str,
        limit: Duration,
    ) -> Option<Vec<u64>>;

    /// Id of the process at an address, by its health check; none without an answer in time.
    async fn identify(&self, address: SocketAddr, path: &str, limit: Duration) -> Option<String>;
}
