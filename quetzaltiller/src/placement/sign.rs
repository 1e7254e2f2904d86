//! Signs of life by which an upstream's own process shows that it runs.
//!
//! A sign may wait for long before it is handled: in the network, in a socket of this VM while it is
//! frozen or suspended, or in a queue. Meanwhile the process may have ended and its address may have
//! another owner. An answer proves that the process ran after the question was sent, so it is dated
//! by that. An event of a stream answers no question and proves nothing about a time.

use serde::Serialize;
use std::time::Duration;

/// Answer by which the process of an upstream showed that it ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Sign {
    /// What the process answered.
    pub answered: Question,
    /// When the question was sent, on the clock that includes suspensions.
    pub asked_at: Duration,
}

/// Question that only the process of one upstream answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
    /// Request that names the upstream.
    Request,
    /// Poll for the load, whose answer names the incarnation.
    Report,
    /// Check whose answer names the upstream.
    Check,
}
