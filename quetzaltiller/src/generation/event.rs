//! Events of a generation as callers receive them.

use crate::refusal::Refusal;
use serde::{Deserialize, Serialize};

/// One server-sent event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The generation starts or resumes at an upstream.
    Start {
        /// Number of the attempt that runs.
        attempt: u32,
        /// Identifier of the generation.
        generation: String,
        /// Index of the next token.
        next: u32,
        /// Version of the model that generates the answer.
        version: String,
    },
    /// New tokens of the answer.
    Tokens {
        /// Number of the attempt that produced the tokens.
        attempt: u32,
        /// Index of the first token.
        index: u32,
        /// Text of each token.
        tokens: Vec<String>,
    },
    /// The answer is complete.
    End {
        /// Number of tokens in the answer.
        total: u32,
        /// [`crate::digest::Checksum`] of all tokens.
        checksum: String,
    },
    /// The caller has to continue at another entry VM.
    Move {
        /// Addresses of entry VMs, best first.
        entries: Vec<String>,
    },
    /// The generation ends without a complete answer.
    Error(Refusal),
}

impl Event {
    /// Value of the event's `event` field in the stream.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Tokens { .. } => "tokens",
            Self::End { .. } => "end",
            Self::Move { .. } => "move",
            Self::Error(_) => "error",
        }
    }

    /// Whether this is the last event of its stream.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Move { .. } | Self::Error(_))
    }
}
