//! Signs of life by which an upstream's own process shows that it runs.

use serde::Serialize;

/// What the process of an upstream sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Sign {
    /// Answer to a request, or its head and first event.
    Answer,
    /// Further event of a stream.
    Event,
    /// Report of its load.
    Report,
    /// Answer to a check that names it.
    Check,
}
