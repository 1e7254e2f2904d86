//! Transport from callers to entry VMs over HTTP.

use super::transport::{Failure, Frame, Frames, Transport};
use crate::adapters::{Error, Method, Outgoing, body_stream, fetch, send};
use crate::generation::{Event, EventId, Request};
use crate::refusal::Refusal;
use crate::router::Entries;
use crate::service::{Answer, Call};
use async_trait::async_trait;
use eventsource_stream::Eventsource as _;
use futures::StreamExt as _;
use http_body_util::BodyExt as _;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of received frames that wait to be read.
const QUEUE_LENGTH: usize = 64;
/// Time limit to fetch the list of entry VMs.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for a call of a plain service.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP transport that sends an account's key with each request.
#[derive(Clone, Debug)]
pub struct Http {
    key: String,
}

impl Http {
    /// Creates a transport for the account that `key` belongs to.
    pub fn new(key: &str) -> Self {
        Self { key: key.to_owned() }
    }

    fn outgoing<'a>(&self, method: Method, path: &'a str) -> Outgoing<'a> {
        Outgoing::new(method, path).header("authorization", format!("Bearer {}", self.key))
    }
}

#[async_trait]
impl Transport for Http {
    async fn entries(&self, entry: &str) -> Result<Entries, Failure> {
        let outgoing = Outgoing::new(Method::GET, "/v1/entries");
        let response = fetch(entry, outgoing, ENTRIES_TIMEOUT).await?;
        serde_json::from_slice(response.body()).map_err(|_| Failure::Broken)
    }

    async fn generate(
        &self,
        entry: &str,
        request: &Request,
        last: Option<&EventId>,
    ) -> Result<Frames, Failure> {
        let body = serde_json::to_vec(request).map_err(|_| Failure::Unreachable)?;
        let mut outgoing = self.outgoing(Method::POST, "/v1/generations").json(body);
        if let Some(last) = last {
            outgoing = outgoing.header("last-event-id", last.to_string());
        }
        let response = send(entry, outgoing).await?;
        if response.status() != 200 {
            let body = response.into_body().collect().await.map_err(|_| Failure::Broken)?;
            return Err(parse_refusal(&body.to_bytes()));
        }
        let (sender, frames) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(async move {
            let keep_alives = sender.clone();
            let bytes = body_stream(response).inspect(move |_| {
                let _ = keep_alives.try_send(Frame::KeepAlive);
            });
            let mut events = Box::pin(bytes.eventsource());
            while let Some(Ok(event)) = events.next().await {
                let Ok(content) = serde_json::from_str::<Event>(&event.data) else {
                    return;
                };
                if sender.send(Frame::Event(event.id.parse().ok(), content)).await.is_err() {
                    return;
                }
            }
        });
        Ok(frames)
    }

    async fn call(&self, entry: &str, service: &str, call: &Call) -> Result<Answer, Failure> {
        let path = format!("/v1/services/{service}{}", call.path);
        let method =
            Method::from_bytes(call.method.as_bytes()).map_err(|_| Failure::Unreachable)?;
        let mut outgoing = self.outgoing(method, &path);
        outgoing.content_type = call.content_type.as_deref();
        outgoing.body = call.body.clone();
        if let Some(key) = &call.key {
            outgoing = outgoing.header("idempotency-key", key);
        }
        let response = fetch(entry, outgoing, CALL_TIMEOUT).await?;
        let status = response.status().as_u16();
        if let Ok(refusal) = serde_json::from_slice::<Refusal>(response.body()) {
            return Err(Failure::Refused(refusal));
        }
        Ok(Answer { status, content_type: None, body: response.into_body() })
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        match error {
            Error::Unsent => Self::Unreachable,
            Error::Broken => Self::Broken,
        }
    }
}

fn parse_refusal(body: &[u8]) -> Failure {
    serde_json::from_slice(body).map_or(Failure::Broken, Failure::Refused)
}
