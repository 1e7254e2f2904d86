//! Identifier of an event in a stream: `<generation>.<attempt>.<next token index>`.
//!
//! A caller that lost its stream sends the last identifier back to resume after that event.

use super::event::Event;
use std::fmt;
use std::str::FromStr;

const GENERATION_HEX_DIGITS: usize = 32;

/// Point in a generation after which a caller can resume.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventId {
    /// Identifier of the generation: 32 lower-case hexadecimal digits.
    pub generation: String,
    /// Number of the attempt that produced the last token.
    pub attempt: u32,
    /// Index of the next token.
    pub next: u32,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.generation, self.attempt, self.next)
    }
}

impl FromStr for EventId {
    type Err = InvalidEventId;

    fn from_str(text: &str) -> Result<Self, InvalidEventId> {
        let mut parts = text.split('.');
        let generation = parts.next().ok_or(InvalidEventId)?;
        let attempt = parts.next().and_then(|part| part.parse().ok()).ok_or(InvalidEventId)?;
        let next = parts.next().and_then(|part| part.parse().ok()).ok_or(InvalidEventId)?;
        let hex = generation.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        if parts.next().is_some() || generation.len() != GENERATION_HEX_DIGITS || !hex {
            return Err(InvalidEventId);
        }
        Ok(Self { generation: generation.to_owned(), attempt, next })
    }
}

/// Error for a text that is not an event identifier.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidEventId;

/// Position in a stream, from which the identifier of each event is derived.
#[derive(Clone, Debug)]
pub struct Position {
    generation: String,
    attempt: u32,
}

impl Position {
    /// Creates the position at the start of a stream of `generation`.
    pub fn new(generation: String) -> Self {
        Self { generation, attempt: 0 }
    }

    /// Advances past `event` and returns its identifier; `None` if the caller can't resume after
    /// it.
    pub fn after(&mut self, event: &Event) -> Option<EventId> {
        let next = match event {
            Event::Start { attempt, next, .. } => {
                self.attempt = *attempt;
                *next
            }
            Event::Tokens { attempt, index, tokens } => {
                self.attempt = *attempt;
                index + tokens.len() as u32
            }
            Event::End { total, .. } => *total,
            Event::Error(refusal) => return refusal.ticket.as_ref()?.parse().ok(),
            Event::Move { .. } => return None,
        };
        let generation = self.generation.clone();
        Some(EventId { generation, attempt: self.attempt, next })
    }
}
