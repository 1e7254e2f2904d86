//! Port to plain services.

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

quick_error! {
    /// Reasons why a service gave no answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// Nothing was sent; the call has not run.
        Unsent {
            display("nothing was sent")
        }
        /// The call was sent and not answered; it may have run.
        NoAnswer {
            display("sent without an answer")
        }
    }
}

/// HTTP request to a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query relative to the service, starting with a slash.
    pub path: String,
    /// Caller's idempotency key, for actions.
    pub key: Option<String>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Request body.
    pub body: Bytes,
}

/// HTTP response of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Response body, written as base64 in JSON.
    #[serde(deserialize_with = "decode", serialize_with = "encode")]
    pub body: Bytes,
}

/// Client for service replicas, which are called by address.
#[async_trait]
pub trait Client: Send + Sync {
    /// Performs one call on its own connection.
    async fn call(&self, address: &str, call: &Call) -> Result<Answer, Error>;
}

fn encode<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(body))
}

fn decode<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map(Bytes::from).map_err(serde::de::Error::custom)
}
