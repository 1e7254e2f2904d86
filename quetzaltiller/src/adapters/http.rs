//! HTTP client that opens a new connection for each request.
//!
//! A new connection costs a round trip, but it can't have gone silent earlier, and a failure shows
//! whether anything was sent.

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

/// Time limit to open a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers beside the host and the content type.
    pub headers: Vec<(&'static str, String)>,
    /// Content type of the body.
    pub content_type: Option<&'a str>,
    /// Body, empty for none.
    pub body: Bytes,
}

impl<'a> Outgoing<'a> {
    /// Creates a request without a body.
    pub fn new(method: Method, path: &'a str) -> Self {
        Self { method, path, headers: Vec::new(), content_type: None, body: Bytes::new() }
    }

    /// Sets a JSON body.
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

/// Sends a request on a new connection and returns when the head of the response has arrived.
pub async fn send(address: &str, outgoing: Outgoing<'_>) -> Result<Response<Incoming>, Error> {
    let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let socket = connect.await.map_err(|_| Error::Unsent)?.map_err(|_| Error::Unsent)?;
    let _ = socket.set_nodelay(true);
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(socket)).await.map_err(|_| Error::Unsent)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    let request = build_request(address, outgoing).ok_or(Error::Unsent)?;
    sender.send_request(request).await.map_err(|_| Error::Broken)
}

/// Sends a request and reads the whole response; [`Error::Broken`] if that takes longer than
/// `limit`.
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

/// Body of a response as a stream of the data received.
pub fn body_stream(response: Response<Incoming>) -> impl Stream<Item = Result<Bytes, Error>> {
    BodyDataStream::new(response.into_body()).map_err(|_| Error::Broken)
}

fn build_request(address: &str, outgoing: Outgoing<'_>) -> Option<Request<Full<Bytes>>> {
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
