//! Joins the chunks of several connections and attempts into one answer.
//!
//! A chunk counts only when it belongs to this generation and to the current attempt. Tokens
//! below the next index were seen already and are trimmed; tokens above it reveal a gap. The
//! answer is whole only when the engine's total and checksum agree with what was admitted.

use crate::digest::Checksum;
use crate::engine::{Body, Chunk};

/// What became of a chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// So many new tokens were admitted.
    Admitted(usize),
    /// Nothing new: a start, or tokens that were seen already.
    Nothing,
    /// Of another generation or attempt.
    Foreign,
    /// Tokens are missing before it.
    Gap,
    /// The answer is whole.
    Whole,
    /// It contradicts what was admitted.
    Inconsistent,
}

/// The answer so far.
#[derive(Clone)]
pub struct Splice {
    generation: String,
    attempt: u32,
    floor: u32,
    tokens: Vec<String>,
    checksum: Checksum,
    total: Option<u32>,
}

impl Splice {
    /// Begins with the tokens that earlier attempts admitted. Attempts that this owner begins are
    /// numbered from `floor`, so that those of different owners never have the same number.
    pub fn new(generation: String, attempt: u32, floor: u32, tokens: Vec<String>) -> Self {
        let checksum = Checksum::of(&tokens);
        Self { generation, attempt, floor, tokens, checksum, total: None }
    }

    /// Generation.
    pub fn generation(&self) -> &str {
        &self.generation
    }

    /// Current attempt.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Index of the next token.
    pub fn next(&self) -> u32 {
        self.tokens.len() as u32
    }

    /// Tokens admitted.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Checksum of the tokens admitted.
    pub fn checksum(&self) -> String {
        self.checksum.hex()
    }

    /// Goes over to the next attempt; chunks of earlier ones no longer count.
    pub fn begin_attempt(&mut self) -> u32 {
        self.attempt = self.floor.max(self.attempt + 1);
        self.attempt
    }

    /// Takes a chunk.
    pub fn take(&mut self, chunk: &Chunk) -> Verdict {
        if chunk.generation != self.generation || chunk.attempt != self.attempt {
            return Verdict::Foreign;
        }
        if self.total.is_some() {
            return Verdict::Nothing;
        }
        match &chunk.body {
            Body::Started { .. } => Verdict::Nothing,
            Body::Tokens { index, tokens } => self.admit(*index, tokens),
            Body::Ended { total, checksum } => self.finish(*total, checksum),
        }
    }

    fn admit(&mut self, index: u32, tokens: &[String]) -> Verdict {
        let next = self.next();
        if index > next {
            return Verdict::Gap;
        }
        let seen = ((next - index) as usize).min(tokens.len());
        let known = &self.tokens[index as usize..index as usize + seen];
        if known != &tokens[..seen] {
            return Verdict::Inconsistent;
        }
        let fresh = &tokens[seen..];
        fresh.iter().for_each(|token| self.checksum.add(token));
        self.tokens.extend_from_slice(fresh);
        if fresh.is_empty() { Verdict::Nothing } else { Verdict::Admitted(fresh.len()) }
    }

    fn finish(&mut self, total: u32, checksum: &str) -> Verdict {
        if total > self.next() {
            return Verdict::Gap;
        }
        if total < self.next() || checksum != self.checksum.hex() {
            return Verdict::Inconsistent;
        }
        self.total = Some(total);
        Verdict::Whole
    }
}
