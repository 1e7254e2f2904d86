//! Digests: account keys, request identity and answer checksums.

use sha2::{Digest as _, Sha256};
use std::fmt::Write as _;
use subtle::ConstantTimeEq as _;
use xxhash_rust::xxh3::Xxh3;

/// Incremental checksum over tokens: XXH3-64 of each token's length and bytes.
#[derive(Clone)]
pub struct Checksum {
    state: Xxh3,
}

impl Default for Checksum {
    fn default() -> Self {
        Self { state: Xxh3::new() }
    }
}

impl Checksum {
    /// Checksum of `tokens`.
    pub fn of(tokens: &[String]) -> Self {
        let mut checksum = Self::default();
        tokens.iter().for_each(|token| checksum.add(token));
        checksum
    }

    /// Adds the next token.
    pub fn add(&mut self, token: &str) {
        self.state.update(&(token.len() as u32).to_le_bytes());
        self.state.update(token.as_bytes());
    }

    /// Checksum of the tokens so far, as 16 hex digits.
    pub fn hex(&self) -> String {
        format!("{:016x}", self.state.digest())
    }
}

/// SHA-256 of `parts`, each prefixed with its length, as 64 hex digits.
pub fn sha256_hex(parts: &[&[u8]]) -> String {
    let mut hex = String::with_capacity(64);
    for byte in sha256(parts) {
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}

/// First 64 bits of the SHA-256 of `parts`, each prefixed with its length.
pub fn sha256_prefix(parts: &[&[u8]]) -> u64 {
    sha256(parts).iter().take(8).fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
}

fn sha256(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Salted digest of an account key, as stored in the configuration.
pub fn key_digest(salt: &str, key: &str) -> String {
    format!("{salt}:{}", sha256_hex(&[salt.as_bytes(), key.as_bytes()]))
}

/// Whether `digest` is that of `key`, compared in constant time.
pub fn key_matches(key: &str, digest: &str) -> bool {
    let salt = digest.split(':').next().unwrap_or_default();
    key_digest(salt, key).as_bytes().ct_eq(digest.as_bytes()).into()
}

/// Whether `digest` has the format of [`key_digest`].
pub fn is_key_digest(digest: &str) -> bool {
    digest.split_once(':').is_some_and(|(salt, hex)| {
        !salt.is_empty() && hex.len() == 64 && hex.bytes().all(|b| b.is_ascii_hexdigit())
    })
}
