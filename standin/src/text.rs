//! Verifiable answers: each token carries a check value over everything that it was generated from.
//!
//! A token is an invented word of four syllables. The first is free, like a sampled choice; the
//! other three are a digest of the first and of everything before it: model, version, adapter,
//! prompt, parameters and all earlier tokens. A token that was generated after other text or by
//! another version fails the check, so a mixed, shortened or repeated answer is detected at the
//! token.

use quetzaltiller::generation::Request;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SYLLABLES: [&str; 16] = [
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va",
];
const SYLLABLE_BITS: u32 = 4;
const CHECK_SYLLABLES: u32 = 3;
/// Shortest answer, as a share of the longest that the request allows.
const MIN_LENGTH_SHARE: f64 = 0.5;

/// Digest of everything before the next token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Chain {
    state: u64,
    origin: u64,
}

impl Chain {
    /// Starts a chain from everything that decides an answer: the request and the model version.
    pub fn new(request: &Request, version: &str) -> Self {
        let digest = request.digest();
        let state = xxh3_64_with_seed(version.as_bytes(), xxh3_64_with_seed(digest.as_bytes(), 0));
        Self { state, origin: state }
    }

    /// Returns the next token for the free syllable `choice`, taken modulo the number of syllables.
    pub fn token(&self, choice: u8) -> String {
        let choice = usize::from(choice) % SYLLABLES.len();
        let mut check = xxh3_64_with_seed(&[choice as u8], self.state);
        let mut token = String::from(SYLLABLES[choice]);
        for _ in 0..CHECK_SYLLABLES {
            token.push_str(SYLLABLES[check as usize % SYLLABLES.len()]);
            check >>= SYLLABLE_BITS;
        }
        token.push(' ');
        token
    }

    /// Appends `token` to the chain; returns whether it is a valid next token.
    pub fn follow(&mut self, token: &str) -> bool {
        let is_valid = (0..SYLLABLES.len() as u8).any(|choice| self.token(choice) == token);
        self.state = xxh3_64_with_seed(token.as_bytes(), self.state);
        is_valid
    }

    /// Returns the length of the complete answer in tokens, from `MIN_LENGTH_SHARE` of `max_tokens`
    /// up.
    pub fn length(&self, max_tokens: u32) -> u32 {
        let share = (self.origin >> 11) as f64 / (1u64 << 53) as f64;
        let length = f64::from(max_tokens) * (MIN_LENGTH_SHARE + (1.0 - MIN_LENGTH_SHARE) * share);
        (length as u32).max(1)
    }
}

/// Checks a complete answer token by token; fails with the index of the first wrong token, or with
/// the number of tokens if all are valid but some are missing or too many.
pub fn check(request: &Request, version: &str, tokens: &[String]) -> Result<(), usize> {
    let mut chain = Chain::new(request, version);
    for (index, token) in tokens.iter().enumerate() {
        if !chain.follow(token) {
            return Err(index);
        }
    }
    let complete = tokens.len() as u32 == chain.length(request.max_tokens);
    if complete { Ok(()) } else { Err(tokens.len()) }
}

/// Generates a complete answer that continues `prefix`; `salt` decides the free syllables.
pub fn write(request: &Request, version: &str, prefix: &[String], salt: u32) -> Vec<String> {
    let mut chain = Chain::new(request, version);
    let mut tokens = prefix.to_vec();
    for token in prefix {
        let _ = chain.follow(token);
    }
    for index in prefix.len() as u32..chain.length(request.max_tokens) {
        let token = chain.token(index.wrapping_mul(salt) as u8);
        let _ = chain.follow(&token);
        tokens.push(token);
    }
    tokens
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(prompt: &str) -> Request {
        Request { prompt: prompt.into(), max_tokens: 40, ..Request::default() }
    }

    #[test]
    fn a_continuation_of_the_same_text_is_valid() {
        let request = request("a b c");
        let first = write(&request, "1", &[], 3);

        let continued = write(&request, "1", &first[..7], 5);

        assert_ne!(first, continued);
        assert_eq!(check(&request, "1", &continued), Ok(()));
    }

    #[test]
    fn mixed_missing_repeated_and_foreign_tokens_are_detected() {
        let request = request("a b c");
        let (first, second) = (write(&request, "1", &[], 3), write(&request, "1", &[], 5));
        let mut mixed = first.clone();
        mixed[9..].clone_from_slice(&second[9..]);
        let mut missing = first.clone();
        missing.remove(6);
        let mut repeated = first.clone();
        repeated.insert(6, first[6].clone());

        assert!(check(&request, "1", &mixed).is_err());
        assert!(check(&request, "1", &missing).is_err());
        assert!(check(&request, "1", &repeated).is_err());
        assert!(check(&request, "2", &first).is_err());
        assert_eq!(check(&request, "1", &first[..first.len() - 1]), Err(first.len() - 1));
    }
}
