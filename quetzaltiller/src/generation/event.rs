//! What callers see of a generation.

use crate::refusal::Refusal;
use serde::{Deserialize, Serialize};

/// One server-sent event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    /// The generation has a place to run, or goes on.
    Start {
        /// Attempt at work.
        attempt: u32,
        /// Generation.
        generation: String,
        /// Index of the token that comes next.
        next: u32,
        /// Version that generates.
        version: String,
    },
    /// Tokens.
    Tokens {
        /// Attempt that produced them.
        attempt: u32,
        /// Index of the first one.
        index: u32,
        /// Text of each.
        tokens: Vec<String>,
    },
    /// The answer is whole.
    End {
        /// Number of tokens.
        total: u32,
        /// [`crate::digest::Checksum`] of all tokens.
        checksum: String,
    },
    /// Go on at another entry VM.
    Move {
        /// Addresses, best first.
        entries: Vec<String>,
    },
    /// The answer ends unfinished.
    Error(Refusal),
}

impl Event {
    /// Name in the `event` field of the stream.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Tokens { .. } => "tokens",
            Self::End { .. } => "end",
            Self::Move { .. } => "move",
            Self::Error(_) => "error",
        }
    }

    /// Whether nothing follows.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::End { .. } | Self::Move { .. } | Self::Error(_))
    }
}
