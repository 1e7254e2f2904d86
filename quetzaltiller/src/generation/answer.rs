//! What a [`Machine`](super::Machine) needs of an answer that is joined from several runs.

/// What became of a piece.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// So much of it was new and was admitted.
    Admitted(usize),
    /// Nothing new: a start, or what was seen already.
    Nothing,
    /// Of another generation or attempt.
    Foreign,
    /// Something is missing before it.
    Gap,
    /// The answer is whole.
    Whole,
    /// It contradicts what was admitted.
    Inconsistent,
}

/// An answer so far.
pub trait Answer {
    /// Part of an answer, as a run sends it.
    type Piece;

    /// Current attempt.
    fn attempt(&self) -> u32;

    /// Index of what comes next.
    fn next(&self) -> u32;

    /// Goes over to the next attempt; pieces of earlier ones no longer count.
    fn begin_attempt(&mut self) -> u32;

    /// Takes a piece.
    fn take(&mut self, piece: &Self::Piece) -> Verdict;
}
