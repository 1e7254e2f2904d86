//! Client of the platform's object API over HTTP.

use super::http::{Method, Outgoing, fetch};
use crate::platform::{Error, Store, Stored, Vm};
use async_trait::async_trait;
use bytes::Bytes;
use hyper::Response;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time limit for calls other than watches.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time that the platform holds a watch open without a change.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Client of the platform's object API at one address.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: String,
}

/// Response of the platform to a write or a watch.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Version {
    /// Version of the written object, or the newest version under the watched prefix.
    pub version: u64,
}

impl HttpStore {
    /// Creates a client of the platform at `address`, an IP address and port.
    pub fn new(address: &str) -> Self {
        Self { address: address.to_owned() }
    }

    async fn write(&self, outgoing: Outgoing<'_>) -> Result<u64, Error> {
        let response = fetch(&self.address, outgoing, CALL_TIMEOUT).await?;
        parse::<Version>(&response).map(|version| version.version)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, limit: Duration) -> Result<T, Error> {
        let outgoing = Outgoing::new(Method::GET, path);
        parse(&fetch(&self.address, outgoing, limit).await?)
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn create(&self, key: &str, value: &str) -> Result<u64, Error> {
        let path = object_path(key);
        let outgoing = Outgoing::new(Method::PUT, &path).json(value.to_owned());
        self.write(outgoing.header("if-none-match", "*")).await
    }

    async fn replace(&self, key: &str, version: u64, value: &str) -> Result<u64, Error> {
        let path = object_path(key);
        let outgoing = Outgoing::new(Method::PUT, &path).json(value.to_owned());
        self.write(outgoing.header("if-match", version.to_string())).await
    }

    async fn remove(&self, key: &str, version: u64) -> Result<(), Error> {
        let path = object_path(key);
        let outgoing = Outgoing::new(Method::DELETE, &path);
        self.write(outgoing.header("if-match", version.to_string())).await.map(drop)
    }

    async fn read(&self, key: &str) -> Result<Option<Stored>, Error> {
        self.get(&object_path(key), CALL_TIMEOUT).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Stored>, Error> {
        self.get(&format!("/v1/list/{prefix}"), CALL_TIMEOUT).await
    }

    async fn watch(&self, prefix: &str, after: u64) -> Result<u64, Error> {
        let path = format!("/v1/watch/{prefix}?after={after}&wait_ms={}", WATCH_WAIT.as_millis());
        let version: Version = self.get(&path, WATCH_WAIT + CALL_TIMEOUT).await?;
        Ok(version.version)
    }

    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.get("/v1/vms", CALL_TIMEOUT).await
    }
}

impl From<super::Error> for Error {
    fn from(error: super::Error) -> Self {
        match error {
            super::Error::Unsent => Self::Unreachable,
            super::Error::Broken => Self::Lost,
        }
    }
}

fn object_path(key: &str) -> String {
    format!("/v1/objects/{key}")
}

fn parse<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T, Error> {
    match response.status().as_u16() {
        200 => serde_json::from_slice(response.body()).map_err(|e| Error::Protocol(e.to_string())),
        412 => Err(Error::Conflict),
        413 => Err(Error::TooLarge),
        429 | 503 => Err(Error::Unreachable),
        status => Err(Error::Protocol(format!("status {status}"))),
    }
}
