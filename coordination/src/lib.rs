//! Building blocks for systems that share state through one conditional-update store.
//!
//! Each module is a state machine without I/O: its input is events and `now`, the time since an
//! epoch that the caller chooses, and its output is the next operations. No module holds a socket,
//! a task or a clock, so each runs unchanged in production and on virtual time in tests.
//!
//! - [`claim`]: a non-idempotent action runs at most once.
//! - [`journal`]: a keeper's copies of unfinished answers, fenced by term.
//! - [`feed`]: a numbered value that is only replaced by a newer one.
//! - [`intake`]: messages of many senders while they arrive; under pressure the costliest is dropped.
//! - [`membership`]: heartbeats, incarnations and liveness of peers.
//! - [`memory`]: a limit on the bytes that a process holds for its peers.
//! - [`detector`]: an adaptive threshold for the silence of a source.
//! - [`wait_policy`]: how long to wait for a silent process before starting a replacement.
//! - [`budget`]: a limit on retries as a fraction of successes.
//! - [`quarantine`]: parts of prompts that crash engines, found from runs that end with them.
//! - [`quota`]: a limit on the rate of requests that a server states for all its clients together.
//! - [`rendezvous`]: a ranking of members that all processes compute alike without messages.
//! - [`share`]: a limit that several processes share according to demand.

pub mod budget;
pub mod claim;
pub mod detector;
pub mod feed;
pub mod intake;
pub mod journal;
pub mod membership;
pub mod memory;
pub mod quarantine;
pub mod quota;
pub mod rendezvous;
pub mod share;
pub mod wait_policy;
