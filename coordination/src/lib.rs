//! Coordination parts for systems that share state through one conditional-update store.
//!
//! Every part is a state machine without I/O: it takes events and `now`, the time since an epoch
//! that the caller chooses, and returns what to do. No part holds a socket, a task or a clock, so
//! each runs unchanged on virtual time in a test and in production.
//!
//! - [`claim`]: a non-idempotent action runs at most once.
//! - [`journal`]: the copy of an unfinished answer that a keeper holds, fenced by term.
//! - [`feed`]: a numbered value that never goes back.
//! - [`membership`]: heartbeats, incarnations and liveness of peers.
//! - [`detector`]: when silence is worth acting on.
//! - [`wait_policy`]: how long to wait before paying for a replacement.
//! - [`budget`]: a bound on retries as a share of successes.
//! - [`rendezvous`]: agreement on an order of members without talking.
//! - [`share`]: a limit that several processes share by demand.

pub mod budget;
pub mod claim;
pub mod detector;
pub mod feed;
pub mod journal;
pub mod membership;
pub mod rendezvous;
pub mod share;
pub mod wait_policy;
