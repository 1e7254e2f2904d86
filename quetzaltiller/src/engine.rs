//! Port to model engines.
//!
//! Every chunk echoes the generation and the attempt it belongs to, so a chunk of another
//! generation, or of an attempt that was given up, is recognised wherever it turns up.

use async_trait::async_trait;
use futures::stream::BoxStream;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

quick_error! {
    /// Why an engine did not do what it was asked.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// Nothing listens at the address; the engine got nothing.
        Refused {
            display("connection refused")
        }
        /// The connection broke.
        Reset {
            display("connection reset")
        }
        /// No answer in time.
        Timeout {
            display("no answer in time")
        }
        /// The engine does not know the stream.
        UnknownStream {
            display("unknown stream")
        }
        /// The engine takes no more work now; it did not run this.
        Busy {
            display("engine busy")
        }
        /// The engine serves another model, version or adapter now; it did not run this.
        OtherVersion {
            display("engine serves another version")
        }
        /// The engine refuses this request for good; it did not run it.
        Rejected(reason: String) {
            display("rejected: {reason}")
        }
        /// The engine sent something that is not understood.
        Protocol(reason: String) {
            display("protocol: {reason}")
        }
    }
}

/// Parameters that decide which tokens come out.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "snake_case")]
pub struct Sampling {
    /// Randomness, from 0.
    pub temperature: f64,
    /// Nucleus, from 0 to 1; 0 means unset.
    pub top_p: f64,
    /// Seed of the engine's generator.
    pub seed: u64,
}

/// Work for an engine: go on with `prompt` and `emitted`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Submission {
    /// Generation.
    pub generation: String,
    /// Attempt; at one engine and generation, numbers only rise.
    pub attempt: u32,
    /// Model.
    pub model: String,
    /// Version; the engine refuses when it serves another.
    pub version: String,
    /// Adapter.
    pub adapter: Option<String>,
    /// Prompt.
    pub prompt: String,
    /// Tokens generated so far, by earlier attempts.
    pub emitted: Vec<String>,
    /// Largest number of tokens of the whole answer.
    pub max_tokens: u32,
    /// Sampling parameters.
    pub sampling: Sampling,
    /// Higher goes first.
    pub priority: u8,
}

/// Content of a chunk.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Body {
    /// The engine took the stream on.
    Started {
        /// Version that generates.
        version: String,
    },
    /// Tokens.
    Tokens {
        /// Index of the first token in the whole answer.
        index: u32,
        /// Text of the tokens.
        tokens: Vec<String>,
    },
    /// The answer is complete.
    Ended {
        /// Tokens of the whole answer.
        total: u32,
        /// [`crate::digest::Checksum`] of the whole answer.
        checksum: String,
    },
}

/// One message of a stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Chunk {
    /// Generation it belongs to.
    pub generation: String,
    /// Attempt it belongs to.
    pub attempt: u32,
    /// Content.
    pub body: Body,
}

/// Load as an engine reports it, with a lag.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Report {
    /// Streams that generate.
    pub running: u32,
    /// Streams that wait.
    pub queued: u32,
    /// Model loaded.
    pub model: String,
    /// Version loaded.
    pub version: String,
    /// Adapter loaded.
    pub adapter: Option<String>,
}

/// Tokens of one cached block of text.
pub const BLOCK_TOKENS: usize = 16;

/// An engine cached a block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct CacheEvent {
    /// Rises by one; gaps are events that were lost.
    pub sequence: u64,
    /// Digest of the text up to the block's end, as [`blocks`] makes it.
    pub block: u64,
}

/// Digests of the prefixes of a text that end where a block ends: XXH3-64 of each token, seeded
/// with the digest before it.
pub fn blocks<'a>(tokens: impl Iterator<Item = &'a str>) -> Vec<u64> {
    let mut state = 0;
    let mut blocks = Vec::new();
    for (index, token) in tokens.enumerate() {
        state = xxh3_64_with_seed(token.as_bytes(), state);
        if (index + 1) % BLOCK_TOKENS == 0 {
            blocks.push(state);
        }
    }
    blocks
}

/// A stream of chunks.
pub type Stream = BoxStream<'static, Result<Chunk, Error>>;

/// Identifies one attempt at one engine.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Attempt {
    /// Address of the engine.
    pub address: String,
    /// Generation.
    pub generation: String,
    /// Number of the attempt.
    pub number: u32,
}

/// Access to engines by address. Each stream has a connection of its own.
#[async_trait]
pub trait Client: Send + Sync {
    /// Starts a stream.
    async fn submit(&self, address: &str, submission: &Submission) -> Result<Stream, Error>;

    /// Goes on with a running stream from token `from`, on a new connection.
    async fn reattach(&self, attempt: &Attempt, from: u32) -> Result<Stream, Error>;

    /// Stops a stream; an unknown stream is no error.
    async fn cancel(&self, attempt: &Attempt) -> Result<(), Error>;

    /// Load of the engine.
    async fn report(&self, address: &str) -> Result<Report, Error>;

    /// Events after the sequence number `after`, late and with gaps.
    async fn cache_events(&self, address: &str, after: u64) -> Result<Vec<CacheEvent>, Error>;
}
