//! Joins the chunks of several connections and attempts into one answer.
//!
//! A chunk is accepted only if it belongs to this generation and to the current attempt. Tokens
//! below the next index are duplicates and are trimmed; a chunk that starts above it reveals a gap.
//! The answer is whole only if the engine's total and checksum match the admitted tokens.

use super::answer::{Answer, Verdict};
use crate::digest::Checksum;
use crate::engine::{Body, Chunk};

/// Tokens of one generation, joined from the chunks of its attempts.
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
    /// Creates a splice with the `tokens` that earlier attempts admitted. Attempts that this owner
    /// starts are numbered from `floor`, so that different owners never use the same number.
    pub fn new(generation: String, attempt: u32, floor: u32, tokens: Vec<String>) -> Self {
        let checksum = Checksum::of(&tokens);
        Self { generation, attempt, floor, tokens, checksum, total: None }
    }

    /// Identifier of the generation.
    pub fn generation(&self) -> &str {
        &self.generation
    }

    /// Admitted tokens.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Hexadecimal [`Checksum`] of the admitted tokens.
    pub fn checksum(&self) -> String {
        self.checksum.hex()
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

impl Answer for Splice {
    type Piece = Chunk;

    fn attempt(&self) -> u32 {
        self.attempt
    }

    fn next(&self) -> u32 {
        self.tokens.len() as u32
    }

    fn begin_attempt(&mut self) -> u32 {
        self.attempt = self.floor.max(self.attempt + 1);
        self.attempt
    }

    fn accept(&mut self, chunk: &Chunk) -> Verdict {
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
}
