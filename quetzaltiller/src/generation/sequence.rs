//! Joins numbered pieces of unknown content from several runs into one answer.
//!
//! Each run numbers its pieces from the one after the last that its request named. A piece is
//! admitted only if its number is the next; the owner of a sequence forwards exactly the admitted
//! pieces.

use super::answer::{Answer, Verdict};

/// Piece of an answer, without its content.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Piece {
    /// A piece with this number.
    Numbered(u32),
    /// The run ended after its last piece.
    End,
}

/// Numbers of the pieces admitted so far.
#[derive(Clone, Copy, Debug)]
pub struct Sequence {
    attempt: u32,
    /// Number of the next piece; unknown before the first piece of an answer that is not resumed.
    next: Option<u32>,
}

impl Sequence {
    /// Starts with the piece numbered `next`, or without it with the first piece that arrives.
    pub fn new(next: Option<u32>) -> Self {
        Self { attempt: 1, next }
    }
}

impl Answer for Sequence {
    type Piece = Piece;

    fn attempt(&self) -> u32 {
        self.attempt
    }

    fn next(&self) -> u32 {
        self.next.unwrap_or_default()
    }

    fn begin_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.attempt
    }

    fn accept(&mut self, piece: &Piece) -> Verdict {
        let Piece::Numbered(number) = *piece else {
            return Verdict::Whole;
        };
        match self.next {
            Some(next) if number < next => Verdict::Nothing,
            Some(next) if number > next => Verdict::Gap,
            _ => {
                self.next = Some(number + 1);
                Verdict::Admitted(1)
            }
        }
    }
}
