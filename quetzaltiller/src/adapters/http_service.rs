//! Client of plain services over HTTP.

use super::http::{Method, Outgoing, fetch};
use crate::service::{Answer, Call, Client, Error};
use async_trait::async_trait;
use hyper::header::CONTENT_TYPE;
use std::time::Duration;

/// Time limit for a call whose caller sets none; users of [`HttpService`] set shorter ones.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// Client of plain services over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpService;

#[async_trait]
impl Client for HttpService {
    async fn call(&self, address: &str, call: &Call) -> Result<Answer, Error> {
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|_| Error::Unsent)?;
        let mut outgoing = Outgoing::new(method, &call.path);
        outgoing.content_type = call.content_type.as_deref();
        outgoing.body = call.body.clone();
        if let Some(key) = &call.key {
            outgoing = outgoing.header("idempotency-key", key);
        }
        let response = fetch(address, outgoing, CALL_TIMEOUT).await?;
        let content_type = response.headers().get(CONTENT_TYPE);
        Ok(Answer {
            status: response.status().as_u16(),
            content_type: content_type.and_then(|v| v.to_str().ok()).map(str::to_owned),
            body: response.into_body(),
        })
    }
}

impl From<super::Error> for Error {
    fn from(error: super::Error) -> Self {
        match error {
            super::Error::Unsent => Self::Unsent,
            super::Error::Broken => Self::NoAnswer,
        }
    }
}
