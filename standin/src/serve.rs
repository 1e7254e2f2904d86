//! Stand-ins over HTTP.
//!
//! Each server passes the calls on to the object behind the port, through the network, so that an
//! operators' call on `/faults` freezes or kills what is behind an address.

mod engine;
mod platform;
mod service;

pub use engine::serve_engine;
pub use platform::serve_platform;
pub use service::serve_service;

use salvo::http::StatusCode;
use salvo::prelude::Response;
use salvo::writing;
use serde::Deserialize;
use serde_json::json;

/// Party on the network for whoever calls over HTTP.
pub const HTTP_CALLER: &str = "http";

/// A fault asked for over HTTP.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// The process ends at once.
    Kill,
    /// The process stops for a while.
    Pause {
        /// Time until it goes on.
        ms: u64,
    },
    /// Streams and cache are lost.
    Restart,
    /// Open connections go silent.
    Silence,
    /// Every call fails for a while.
    Outage {
        /// Time until it ends.
        ms: u64,
    },
}

fn write_json<T: serde::Serialize + Send>(response: &mut Response, value: T) {
    response.render(writing::Json(value));
}

fn write_error(response: &mut Response, status: u16, message: &str) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST));
    write_json(response, json!({ "error": message }));
}
