//! The keeper's copy of unfinished answers, fenced by term.
//!
//! The owner of an answer appends tokens to a keeper before it emits them. Whoever takes an
//! answer over raises its term, and from then on appends of the former owner are refused: a
//! paused owner that wakes up learns that it no longer owns the answer.
//!
//! ```
//! use coordination::journal::{Append, Error, Journal, Origin};
//! use std::time::Duration;
//!
//! let origin = Origin { account: "a".into(), owner: "vm-1".into(), ..Origin::default() };
//! let mut journal = Journal::new(Duration::from_secs(60), 1 << 20);
//! let tokens = ["x".to_owned()];
//! let append =
//!     Append { id: "g", term: 1, from: 0, tokens: &tokens, origin: Some(&origin), whole: false };
//! assert_eq!(journal.append(Duration::ZERO, append), Ok(1));
//! let taken = journal.take_over(Duration::ZERO, "g", "a", "vm-2").unwrap();
//! assert_eq!((taken.term, taken.tokens.len()), (2, 1));
//! assert_eq!(journal.append(Duration::ZERO, append), Err(Error::Fenced(2)));
//! ```

use quick_error::quick_error;
use std::collections::HashMap;
use std::time::Duration;

quick_error! {
    /// Why an append was refused.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// A newer term owns the answer.
        Fenced(term: u32) {
            display("term {term} owns the answer")
        }
        /// The append begins beyond what is held; send from the given index.
        Gap(next: u32) {
            display("the journal continues at index {next}")
        }
        /// No such answer is held, and the append does not tell its origin.
        Unknown {
            display("unknown answer")
        }
        /// The journal's memory is used up.
        Full {
            display("the journal is full")
        }
    }
}

/// Where an answer comes from and who may have it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Origin {
    /// Account that asked.
    pub account: String,
    /// Digest of the request, to tell a different request under the same id.
    pub digest: String,
    /// Entry VM that serves the answer.
    pub owner: String,
    /// Upstream that generates it.
    pub upstream: String,
    /// Attempt at the upstream.
    pub attempt: u32,
    /// Model version that generated the tokens.
    pub version: String,
}

/// Tokens to add, beginning at index `from`.
#[derive(Clone, Copy, Debug)]
pub struct Append<'a> {
    /// Answer.
    pub id: &'a str,
    /// Owner's term.
    pub term: u32,
    /// Index of the first token.
    pub from: u32,
    /// Tokens.
    pub tokens: &'a [String],
    /// Where they come from; may be left out while that does not change.
    pub origin: Option<&'a Origin>,
    /// The answer is whole with these tokens.
    pub whole: bool,
}

/// Copy of one answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Term of the present owner.
    pub term: u32,
    /// Source of the tokens.
    pub origin: Origin,
    /// Answer so far.
    pub tokens: Vec<String>,
    /// The answer is whole.
    pub whole: bool,
    touched: Duration,
}

/// Answers kept for peers.
#[derive(Debug)]
pub struct Journal {
    entries: HashMap<String, Entry>,
    retention: Duration,
    capacity_bytes: usize,
    used_bytes: usize,
}

impl Journal {
    /// Keeps an entry for `retention` after its last change, and `capacity_bytes` of tokens.
    pub fn new(retention: Duration, capacity_bytes: usize) -> Self {
        Self { entries: HashMap::new(), retention, capacity_bytes, used_bytes: 0 }
    }

    /// Adds tokens; returns the next index.
    pub fn append(&mut self, now: Duration, append: Append<'_>) -> Result<u32, Error> {
        let bytes: usize = append.tokens.iter().map(String::len).sum();
        if self.used_bytes + bytes > self.capacity_bytes {
            return Err(Error::Full);
        }
        if let Some(origin) = append.origin {
            self.entries.entry(append.id.to_owned()).or_insert_with(|| Entry {
                term: append.term,
                origin: origin.clone(),
                tokens: Vec::new(),
                whole: false,
                touched: now,
            });
        }
        let entry = self.entries.get_mut(append.id).ok_or(Error::Unknown)?;
        if append.term < entry.term {
            return Err(Error::Fenced(entry.term));
        }
        let next = entry.tokens.len();
        let from = append.from as usize;
        if from > next {
            return Err(Error::Gap(next as u32));
        }
        entry.term = append.term;
        entry.touched = now;
        entry.whole |= append.whole;
        if let Some(origin) = append.origin {
            entry.origin.clone_from(origin);
        }
        let known = (next - from).min(append.tokens.len());
        entry.tokens.extend_from_slice(&append.tokens[known..]);
        self.used_bytes += append.tokens[known..].iter().map(String::len).sum::<usize>();
        Ok(entry.tokens.len() as u32)
    }

    /// Hands an answer of `account` to `owner` under a new term; the former owner, whom the result
    /// names, is fenced.
    pub fn take_over(
        &mut self,
        now: Duration,
        id: &str,
        account: &str,
        owner: &str,
    ) -> Option<Entry> {
        let entry = self.entries.get_mut(id).filter(|entry| entry.origin.account == account)?;
        entry.term += 1;
        entry.touched = now;
        let former = entry.clone();
        entry.origin.owner = owner.to_owned();
        Some(former)
    }

    /// Forgets an answer that ended, unless a newer term owns it.
    pub fn finish(&mut self, id: &str, term: u32) {
        if self.entries.get(id).is_some_and(|entry| entry.term <= term) {
            self.remove(id);
        }
    }

    /// Forgets entries that nobody touched for the retention; returns what was dropped.
    pub fn expire(&mut self, now: Duration) -> Vec<(String, Entry)> {
        let retention = self.retention;
        let mut old: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.touched + retention < now)
            .map(|(id, _)| id.clone())
            .collect();
        old.sort();
        old.into_iter().filter_map(|id| self.remove(&id).map(|entry| (id, entry))).collect()
    }

    /// Number of answers held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of tokens held.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn remove(&mut self, id: &str) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.used_bytes -= entry.tokens.iter().map(String::len).sum::<usize>();
        Some(entry)
    }
}
