//! What the crash of an upstream is attributed to.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::num::ParseIntError;
use std::str::FromStr;

/// Prefix of the name of a request.
const REQUEST_PREFIX: &str = "request-";

/// What the crash of an upstream is attributed to.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// Part of prompts, by id.
    Part(u64),
    /// Request that may come again, by digest.
    Request(u64),
}

impl Subject {
    /// Whether this is a request.
    pub fn is_request(self) -> bool {
        self.request().is_some()
    }

    /// Digest of a request.
    pub fn request(self) -> Option<u64> {
        match self {
            Self::Request(digest) => Some(digest),
            Self::Part(_) => None,
        }
    }
}

impl Display for Subject {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        match self {
            Self::Part(id) => write!(formatter, "{id:x}"),
            Self::Request(digest) => write!(formatter, "{REQUEST_PREFIX}{digest:x}"),
        }
    }
}

impl FromStr for Subject {
    type Err = ParseIntError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name.strip_prefix(REQUEST_PREFIX) {
            Some(digest) => u64::from_str_radix(digest, 16).map(Self::Request),
            None => u64::from_str_radix(name, 16).map(Self::Part),
        }
    }
}
