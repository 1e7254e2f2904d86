//! Port to plain services.

use async_trait::async_trait;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use quick_error::quick_error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

quick_error! {
    /// Why there is no answer from a service.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// Nothing was sent.
        Unsent {
            display("nothing was sent")
        }
        /// The call was sent and not answered.
        NoAnswer {
            display("sent without an answer")
        }
    }
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path relative to the service, beginning with a slash, with the query.
    pub path: String,
    /// Caller's key, for calls that may not be repeated.
    pub key: Option<String>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// An answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body, base64 in JSON.
    #[serde(deserialize_with = "decode", serialize_with = "encode")]
    pub body: Bytes,
}

/// Access to service replicas by address.
#[async_trait]
pub trait Client: Send + Sync {
    /// Performs one call on a connection of its own.
    async fn call(&self, address: &str, call: &Call) -> Result<Answer, Error>;
}

fn encode<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&STANDARD.encode(body))
}

fn decode<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map(Bytes::from).map_err(serde::de::Error::custom)
}
