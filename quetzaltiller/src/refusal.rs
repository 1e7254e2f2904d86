//! Refusals: errors that callers receive instead of an answer.

use serde::{Deserialize, Serialize};

/// Stable code of a refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The account has reached its limit of concurrent requests.
    AccountLimit,
    /// The request is malformed: its body, a label or a time.
    BadRequest,
    /// `Last-Event-ID` was not issued by this system.
    BadEventId,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// The request was cancelled by its caller or under the same account.
    Cancelled,
    /// The engine's messages contradict each other; the answer can't be proved whole.
    EngineInconsistent,
    /// The engine refuses the request permanently.
    EngineRejected,
    /// The generation does not exist or belongs to another account.
    GenerationUnknown,
    /// The idempotency key is missing.
    KeyMissing,
    /// The idempotency key was used for another request.
    KeyReused,
    /// This entry VM is leaving and accepts no new work.
    Leaving,
    /// No configuration is in force yet.
    NoConfiguration,
    /// No upstream could take or resume the request before the deadline.
    NoUpstream,
    /// No selector allows the request on any upstream.
    NotAllowed,
    /// No route exists for the path.
    NotFound,
    /// The action was sent and its outcome is not known.
    OutcomeUnknown,
    /// The expected wait exceeds what the caller accepts.
    Overloaded,
    /// The request, or a part of its prompt, has crashed upstreams, so none gets it for a while.
    Quarantined,
    /// The platform's store is unreachable, so no action is run.
    StoreUnavailable,
    /// Another entry VM has taken over the answer.
    Superseded,
    /// The tokens so far are lost; the caller must send them to resume.
    TokensNeeded,
    /// The bearer key is missing or belongs to no account.
    Unauthorized,
    /// The upstream did not answer.
    UpstreamFailed,
}

impl Code {
    /// HTTP status of a refusal with this code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadEventId | Self::BadRequest | Self::KeyMissing => 400,
            Self::Unauthorized => 401,
            Self::NotAllowed => 403,
            Self::GenerationUnknown | Self::NotFound => 404,
            Self::BodyTimeout => 408,
            Self::Cancelled | Self::KeyReused | Self::Superseded | Self::TokensNeeded => 409,
            Self::BodyTooLarge => 413,
            Self::EngineRejected => 422,
            Self::AccountLimit => 429,
            Self::EngineInconsistent | Self::UpstreamFailed => 502,
            Self::OutcomeUnknown => 504,
            Self::Leaving
            | Self::NoConfiguration
            | Self::NoUpstream
            | Self::Overloaded
            | Self::Quarantined
            | Self::StoreUnavailable => 503,
        }
    }

    /// Wait before the same request may succeed, in milliseconds; 0 if waiting does not help.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Self::AccountLimit | Self::Overloaded => 1_000,
            Self::Leaving | Self::Superseded => 100,
            Self::NoConfiguration | Self::NoUpstream | Self::StoreUnavailable => 2_000,
            Self::OutcomeUnknown | Self::UpstreamFailed => 5_000,
            Self::Quarantined => 60_000,
            _ => 0,
        }
    }
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request did not run and will not.
    No,
    /// The request ran, at least in part.
    Yes,
    /// The request may have run; its outcome is not known yet.
    Unknown,
}

/// Refusal, sent to the caller as JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Refusal {
    /// Stable code.
    pub code: Code,
    /// Explanation in plain text.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Wait before a retry, in milliseconds; 0 if a retry does not help.
    pub retry_after_ms: u64,
    /// Ticket for resuming, to be sent as `Last-Event-ID`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
    /// Addresses of other entry VMs to use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<String>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self::new(code, Ran::No, message)
    }

    /// Creates a refusal with the code's default wait before a retry.
    pub fn new(code: Code, ran: Ran, message: impl Into<String>) -> Self {
        let retry_after_ms = code.retry_after_ms();
        let (ticket, entries) = (None, Vec::new());
        Self { code, message: message.into(), ran, retry_after_ms, ticket, entries }
    }
}
