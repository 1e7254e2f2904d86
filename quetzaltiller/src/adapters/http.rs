//! HTTP calls, each on a connection of its own.
//!
//! A fresh connection costs a round trip and never inherits the silence of an older one; it also
//! tells exactly whether anything was sent.

use super::Error;
use bytes::Bytes;
use futures::Stream;
use futures::TryStreamExt as _;
use http_body_util::{BodyDataStream, BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

pub use hyper::Method;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Content type of the body.
    pub content_type: Option<&'a str>,
    /// Body.
    pub body: Bytes,
}

impl<'a> Outgoing<'a> {
    /// A request without a body.
    pub fn new(method: Method, path: &'a str) -> Self {
        Self { method, path, headers: Vec::new(), content_type: None, body: Bytes::new() }
    }

    /// Adds a JSON body.
    pub fn json(mut self, body: impl Into<Bytes>) -> Self {
        self.content_type = Some("application/json");
        self.body = body.into();
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Sends a request on a new connection; returns when the head of the answer is there.
pub async fn send(address: &str, outgoing: Outgoing<'_>) -> Result<Response<Incoming>, Error> {
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = connect.await.map_err(|_| Error::Unsent)?.map_err(|_| Error::Unsent)?;
    let _ = socket.set_nodelay(true);
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(socket)).await.map_err(|_| Error::Unsent)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let request = build(address, outgoing).ok_or(Error::Unsent)?;
    sender.send_request(request).await.map_err(|_| Error::Broken)
}

/// Sends a request and reads the whole answer within `limit`.
pub async fn fetch(
    address: &str,
    outgoing: Outgoing<'_>,
    limit: Duration,
) -> Result<Response<Bytes>, Error> {
    let call = async {
        let (head, body) = send(address, outgoing).await?.into_parts();
        let body = body.collect().await.map_err(|_| Error::Broken)?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    timeout(limit, call).await.unwrap_or(Err(Error::Broken))
}

/// Body of an answer as it comes.
pub fn body_stream(response: Response<Incoming>) -> impl Stream<Item = Result<Bytes, Error>> {
    BodyDataStream::new(response.into_body()).map_err(|_| Error::Broken)
}

fn build(address: &str, outgoing: Outgoing<'_>) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder().method(outgoing.method).uri(outgoing.path);
    request = request.header(HOST, address);
    if let Some(content_type) = outgoing.content_type {
        request = request.header(CONTENT_TYPE, content_type);
    }
    for (name, value) in outgoing.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(outgoing.body)).ok()
}
