//! Interface between a [`Machine`](super::Machine) and the answer that it joins from several runs.

/// Result of [`Answer::accept`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Number of new tokens or pieces, all of them admitted.
    Admitted(usize),
    /// The piece holds nothing new: it is a start or a duplicate.
    Nothing,
    /// The piece belongs to another generation or attempt.
    Foreign,
    /// Tokens or pieces before this one are missing.
    Gap,
    /// The answer is complete.
    Whole,
    /// The piece contradicts the tokens admitted before.
    Inconsistent,
}

/// An answer that is received piece by piece.
pub trait Answer {
    /// Part of an answer as a run sends it.
    type Piece;

    /// Number of the current attempt.
    fn attempt(&self) -> u32;

    /// Index of the next token or piece.
    fn next(&self) -> u32;

    /// Starts the next attempt and returns its number; pieces of earlier attempts no longer count.
    fn begin_attempt(&mut self) -> u32;

    /// Admits what is new in `piece`.
    fn accept(&mut self, piece: &Self::Piece) -> Verdict;
}
