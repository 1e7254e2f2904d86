//! A caller's request.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use std::time::Duration;

/// Request, decoded; what only concerns the caller's connection is left out.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identity of this attempt of the caller.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Host that it names.
    pub host: String,
    /// Path with the query, as it came.
    pub path: String,
    /// Headers to pass on unchanged.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time that the caller will wait.
    pub patience: Option<Duration>,
    /// Key of the account.
    pub key: Option<String>,
    /// What a generation asks of an engine.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

impl Request {
    /// Path without the query.
    pub fn route_path(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// What a generation asks of an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Model.
    pub model: String,
    /// Tokens to read.
    pub tokens: u32,
    /// Most tokens to generate.
    pub max_output: u32,
    /// Parts of the prompt in order; requests share parts.
    pub parts: Vec<Part>,
}

/// Part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identity of its content.
    pub id: u64,
    /// Length.
    pub tokens: u32,
}

impl Prompt {
    /// Tokens that the run holds in the engine's memory at its end.
    pub fn footprint(&self) -> u32 {
        self.tokens.saturating_add(self.max_output)
    }

    /// What the request or its session alone has; equal for a caller's repeats.
    pub fn own_part(&self) -> u64 {
        self.parts.last().map_or(0, |part| part.id)
    }
}
