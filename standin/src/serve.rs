//! HTTP servers for the stand-ins.
//!
//! Each server forwards calls to its stand-in in process; those of engines and services pass the
//! network, so that a call of an operator on `/faults` can freeze or kill the stand-in behind an
//! address.

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

/// Name on the network that all callers over HTTP share.
pub const HTTP_CALLER: &str = "http";

/// Body of a call on `/faults`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// The process exits at once.
    Kill,
    /// The stand-in stops for a while.
    Pause {
        /// Time until the stand-in continues, in milliseconds.
        ms: u64,
    },
    /// The engine drops its streams and cache.
    Restart,
    /// Open connections to the engine go silent.
    Silence,
    /// Every call fails for a while.
    Outage {
        /// Time until the outage ends, in milliseconds.
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
