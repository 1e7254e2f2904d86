//! Joins numbered pieces of unknown content from several runs into one answer.
//!
//! Each run numbers its pieces from the one after the last that it was told of. A piece counts when
//! its number is the next; whoever holds a sequence passes on exactly what it admits.

use super::answer::{Answer, Verdict};

/// What a run sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Piece {
    /// A piece with its number.
    Numbered(u32),
    /// The run ended after its last piece.
    End,
}

/// Sequence.
#[derive(Clone, Copy, Debug)]
pub struct Sequence {
    attempt: u32,
    /// Not known before the first piece of an answer that begins at its beginning.
    next: Option<u32>,
}

impl Sequence {
    /// Begins with the piece numbered `next`, or with whichever comes first.
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

    fn take(&mut self, piece: &Piece) -> Verdict {
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
