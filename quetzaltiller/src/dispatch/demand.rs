//! Demand of a request on an upstream.

use crate::objects::{Labels, Request};

/// Demand of a request on an upstream.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Name of the client account.
    pub account: String,
    /// Model, for a generation.
    pub model: Option<String>,
    /// Adapter on the model.
    pub adapter: Option<String>,
    /// Version that generated the tokens so far; only upstreams of this version are eligible.
    pub version: Option<String>,
    /// Service, for a call of a plain service.
    pub service: Option<String>,
    /// Labels that the caller set.
    pub labels: Labels,
    /// Names of upstreams to avoid while there are others.
    pub avoid: Vec<String>,
    /// Whether a run is resumed; goes before new requests.
    pub resumed: bool,
    /// Affinity key: requests with equal keys share a cached prefix.
    pub affinity: String,
    /// Digests of the text to prefill, as [`crate::engine::blocks`] makes them.
    pub blocks: Vec<u64>,
}

impl Demand {
    /// The part of the demand that selectors match.
    pub fn request(&self) -> Request<'_> {
        Request {
            account: &self.account,
            model: self.model.as_deref(),
            service: self.service.as_deref(),
            labels: &self.labels,
        }
    }
}
