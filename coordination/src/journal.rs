//! A keeper's copies of unfinished answers, fenced by term.
//!
//! The owner of an answer appends its tokens to the journal of a keeper before it emits them. A
//! process that takes over an answer raises its term, and the journal then refuses appends of the
//! former owner. A former owner that was paused learns from this that it no longer owns the answer.
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
//! let former = journal.take_over(Duration::ZERO, "g", "a", "vm-2").unwrap();
//! assert_eq!((former.term, former.tokens.len()), (2, 1));
//! assert_eq!(journal.append(Duration::ZERO, append), Err(Error::Fenced(2)));
//! ```

use quick_error::quick_error;
use std::collections::HashMap;
use std::time::Duration;

quick_error! {
    /// Reason why the journal refused an append.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The answer is owned under this newer term.
        Fenced(term: u32) {
            display("term {term} owns the answer")
        }
        /// The append starts after the end of the copy; the tokens from this index on are missing.
        Gap(next: u32) {
            display("the journal continues at index {next}")
        }
        /// The journal holds no such answer, and the append has no origin to start one with.
        Unknown {
            display("unknown answer")
        }
        /// The append would exceed the journal's capacity in bytes.
        Full {
            display("the journal is full")
        }
    }
}

/// Source of an answer and the account that may read it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Origin {
    /// Client account that sent the request.
    pub account: String,
    /// Digest of the request, to detect a different request with the same id.
    pub digest: String,
    /// Entry VM that serves the answer.
    pub owner: String,
    /// Upstream that generates it.
    pub upstream: String,
    /// Number of the attempt at the upstream.
    pub attempt: u32,
    /// Model version that generated the tokens.
    pub version: String,
}

/// Tokens to add to an answer, starting at index `from`.
#[derive(Clone, Copy, Debug)]
pub struct Append<'a> {
    /// Id of the answer.
    pub id: &'a str,
    /// Term of the sending owner.
    pub term: u32,
    /// Index of the first of `tokens` in the answer.
    pub from: u32,
    /// Tokens to add; those that the journal already holds are skipped.
    pub tokens: &'a [String],
    /// Origin of the tokens; may be omitted while it is unchanged.
    pub origin: Option<&'a Origin>,
    /// Whether these tokens complete the answer.
    pub whole: bool,
}

/// Copy of one unfinished answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Term of the current owner.
    pub term: u32,
    /// Origin of the tokens.
    pub origin: Origin,
    /// Tokens received so far.
    pub tokens: Vec<String>,
    /// Whether the answer is complete.
    pub whole: bool,
    changed_at: Duration,
}

/// Copies of unfinished answers that a process keeps for its peers.
#[derive(Debug)]
pub struct Journal {
    entries: HashMap<String, Entry>,
    retention: Duration,
    capacity_bytes: usize,
    used_bytes: usize,
}

impl Journal {
    /// Creates a journal that keeps an entry for `retention` after its last change and holds at
    /// most
    /// `capacity_bytes` of tokens.
    pub fn new(retention: Duration, capacity_bytes: usize) -> Self {
        Self { entries: HashMap::new(), retention, capacity_bytes, used_bytes: 0 }
    }

    /// Adds tokens to an answer; returns the index of the next token.
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
                changed_at: now,
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
        entry.changed_at = now;
        entry.whole |= append.whole;
        if let Some(origin) = append.origin {
            entry.origin.clone_from(origin);
        }
        let duplicates = (next - from).min(append.tokens.len());
        entry.tokens.extend_from_slice(&append.tokens[duplicates..]);
        self.used_bytes += append.tokens[duplicates..].iter().map(String::len).sum::<usize>();
        Ok(entry.tokens.len() as u32)
    }

    /// Makes `owner` the owner of an answer of `account` under a new term, which fences the former
    /// owner. Returns the entry with the new term and the former owner, or none if `account` has no
    /// such answer.
    pub fn take_over(
        &mut self,
        now: Duration,
        id: &str,
        account: &str,
        owner: &str,
    ) -> Option<Entry> {
        let entry = self.entries.get_mut(id).filter(|entry| entry.origin.account == account)?;
        entry.term += 1;
        entry.changed_at = now;
        let former = entry.clone();
        entry.origin.owner = owner.to_owned();
        Some(former)
    }

    /// Removes an answer that ended, unless it is owned under a newer term.
    pub fn finish(&mut self, id: &str, term: u32) {
        if self.entries.get(id).is_some_and(|entry| entry.term <= term) {
            self.remove(id);
        }
    }

    /// Removes and returns the entries that were not changed within the retention, ordered by id.
    pub fn expire(&mut self, now: Duration) -> Vec<(String, Entry)> {
        let retention = self.retention;
        let mut expired: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.changed_at + retention < now)
            .map(|(id, _)| id.clone())
            .collect();
        expired.sort();
        expired.into_iter().filter_map(|id| self.remove(&id).map(|entry| (id, entry))).collect()
    }

    /// Number of answers held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no answer is held.
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
