//! Rendezvous hashing: all processes compute the same ranking of members for a key, without
//! messages.
//!
//! When a member is removed, only the keys for which it ranked first move to another. Source:
//! Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998.
//!
//! ```
//! use coordination::rendezvous::rank;
//!
//! let ranked = rank(["a", "b", "c"], "key");
//! let without_first: Vec<_> = ranked[1..].to_vec();
//! assert_eq!(rank(without_first.iter().copied(), "key"), without_first);
//! ```

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns `members` ordered by their score for `key`, highest first.
pub fn rank<'a>(members: impl IntoIterator<Item = &'a str>, key: &str) -> Vec<&'a str> {
    let mut scored: Vec<_> =
        members.into_iter().map(|member| (score(member, key), member)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, member)| member).collect()
}

/// Returns the first of [`rank`] without sorting the other members.
pub fn first<'a>(members: impl IntoIterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    let seed = seed(key);
    let scored = members.into_iter().map(|member| (score_with_seed(member, seed), member));
    scored.max().map(|(_, member)| member)
}

/// Score of `member` for `key`; the highest ranks first.
pub fn score(member: &str, key: &str) -> u64 {
    score_with_seed(member, seed(key))
}

fn seed(key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), 0)
}

fn score_with_seed(member: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), seed)
}
