//! Callers' requests, independent of the platform's header names.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use std::time::Duration;

/// A caller's request, decoded. Headers that concern only the caller's connection are left out.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identity of this attempt of the caller.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Host that the request names.
    pub host: String,
    /// Path with the query, unchanged.
    pub path: String,
    /// Headers to forward unchanged.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Time that the caller will wait, where the request names one.
    pub patience: Option<Duration>,
    /// Key of the account.
    pub key: Option<String>,
    /// Prompt, for a generation.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller has, if it reconnects.
    pub last_event: Option<u64>,
}

impl Request {
    /// Path without the query.
    pub fn route_path(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

/// Model, lengths and parts of a generation's prompt.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Length of the prompt in tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output: u32,
    /// Parts of the prompt in order; requests may have parts in common.
    pub parts: Vec<Part>,
}

/// Part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identity of the part's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl Prompt {
    /// Maximum number of tokens that the run holds in the engine's memory, reached at its end.
    pub fn footprint(&self) -> u32 {
        self.tokens.saturating_add(self.max_output)
    }

    /// Ids of the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> Vec<u64> {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().map(|part| part.id).collect()
    }

    /// Id of the last part, which only this request or its session has; equal for a caller's
    /// repeats. 0 without parts.
    pub fn own_part(&self) -> u64 {
        self.parts.last().map_or(0, |part| part.id)
    }
}
