//! Identity of an event of a stream: `<generation>.<attempt>.<next token index>`.

use super::event::Event;
use std::fmt;
use std::str::FromStr;

const GENERATION_HEX_DIGITS: usize = 32;

/// Names the point of a generation after which the caller wants to go on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EventId {
    /// Generation.
    pub generation: String,
    /// Attempt that produced the last token.
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
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut parts = text.split('.');
        let generation = parts.next().ok_or(Malformed)?;
        let attempt = parts.next().and_then(|part| part.parse().ok()).ok_or(Malformed)?;
        let next = parts.next().and_then(|part| part.parse().ok()).ok_or(Malformed)?;
        let hex = generation.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        if parts.next().is_some() || generation.len() != GENERATION_HEX_DIGITS || !hex {
            return Err(Malformed);
        }
        Ok(Self { generation: generation.to_owned(), attempt, next })
    }
}

/// The text is not an event id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

/// Follows a stream to tell the id of each event.
#[derive(Clone, Debug)]
pub struct Position {
    generation: String,
    attempt: u32,
}

impl Position {
    /// The beginning of a stream of `generation`.
    pub fn new(generation: String) -> Self {
        Self { generation, attempt: 0 }
    }

    /// Id of `event`; `None` where there is nothing to go on from.
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
