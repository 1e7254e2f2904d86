//! Client of engines over HTTP and server-sent events.

use super::http::{Method, Outgoing, body_stream, fetch, send};
use crate::engine::{Attempt, CacheEvent, Chunk, Client, Error, Report, Stream, Submission};
use async_trait::async_trait;
use eventsource_stream::{EventStreamError, Eventsource as _};
use futures::StreamExt as _;
use hyper::Response;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Time limit for calls other than streams.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of engines over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpEngine;

#[async_trait]
impl Client for HttpEngine {
    async fn submit(&self, address: &str, submission: &Submission) -> Result<Stream, Error> {
        let body = serde_json::to_vec(submission).map_err(protocol_error)?;
        let outgoing = Outgoing::new(Method::POST, "/v1/streams").json(body);
        chunks(send(address, outgoing).await?).await
    }

    async fn reattach(&self, attempt: &Attempt, from: u32) -> Result<Stream, Error> {
        let path = format!("{}?from={from}", stream_path(attempt));
        chunks(send(&attempt.address, Outgoing::new(Method::GET, &path)).await?).await
    }

    async fn cancel(&self, attempt: &Attempt) -> Result<(), Error> {
        let path = stream_path(attempt);
        let outgoing = Outgoing::new(Method::DELETE, &path);
        fetch(&attempt.address, outgoing, CALL_TIMEOUT).await?;
        Ok(())
    }

    async fn report(&self, address: &str) -> Result<Report, Error> {
        get(address, "/v1/load").await
    }

    async fn cache_events(&self, address: &str, after: u64) -> Result<Vec<CacheEvent>, Error> {
        get(address, &format!("/v1/cache-events?after={after}")).await
    }
}

async fn get<T: DeserializeOwned>(address: &str, path: &str) -> Result<T, Error> {
    let response = fetch(address, Outgoing::new(Method::GET, path), CALL_TIMEOUT).await?;
    serde_json::from_slice(response.body()).map_err(protocol_error)
}

impl From<super::Error> for Error {
    fn from(error: super::Error) -> Self {
        match error {
            super::Error::Unsent => Self::Refused,
            super::Error::Broken => Self::Reset,
        }
    }
}

fn stream_path(attempt: &Attempt) -> String {
    format!("/v1/streams/{}/{}", attempt.generation, attempt.number)
}

async fn chunks(response: Response<Incoming>) -> Result<Stream, Error> {
    match response.status().as_u16() {
        200 => {}
        404 => return Err(Error::UnknownStream),
        409 => return Err(Error::OtherVersion),
        429 | 503 => return Err(Error::Busy),
        status => return Err(Error::Rejected(format!("status {status}"))),
    }
    let events = body_stream(response).eventsource();
    let chunks = events.map(|event| match event {
        Ok(event) => serde_json::from_str::<Chunk>(&event.data).map_err(protocol_error),
        Err(EventStreamError::Transport(error)) => Err(error.into()),
        Err(error) => Err(protocol_error(error)),
    });
    Ok(chunks.boxed())
}

fn protocol_error(error: impl ToString) -> Error {
    Error::Protocol(error.to_string())
}
