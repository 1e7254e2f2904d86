//! What a request needs of an upstream.

use crate::objects::{Labels, Request};

/// What a request needs of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Account.
    pub account: String,
    /// Model, for a generation.
    pub model: Option<String>,
    /// Adapter on the model.
    pub adapter: Option<String>,
    /// Version that generated the tokens so far.
    pub version: Option<String>,
    /// Service, for a call of a plain service.
    pub service: Option<String>,
    /// Labels that the caller set.
    pub labels: Labels,
    /// Upstreams to leave out.
    pub avoid: Vec<String>,
    /// Work is at stake already: goes before new requests.
    pub resumed: bool,
    /// Requests with equal keys share a cached prefix.
    pub affinity: String,
    /// Digests of the text to prefill, as [`crate::engine::blocks`] makes them.
    pub blocks: Vec<u64>,
}

impl Demand {
    /// The part that selectors see.
    pub fn request(&self) -> Request<'_> {
        Request {
            account: &self.account,
            model: self.model.as_deref(),
            service: self.service.as_deref(),
            labels: &self.labels,
        }
    }
}
