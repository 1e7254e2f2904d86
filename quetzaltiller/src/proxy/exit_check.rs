//! Finds out whether an upstream's process has ended.
//!
//! One attempt to connect does not tell. A process that exits may close its connections before its
//! listener, and its service may have started the next process at the address. So the check is
//! repeated, and an engine is asked for the start of its process.

use super::{CHECK_LIMIT, Context};
use crate::fleet::Upstream;
use crate::prelude::*;

/// Pauses before the checks; an exiting process closes its sockets within milliseconds, on a busy
/// host within some hundred.
const PAUSES: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(150),
    Duration::from_millis(500),
];

/// What one check of a process shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Finding {
    Running,
    Ended,
    Unknown,
}

/// Check whether the process of an upstream has ended.
pub struct ExitCheck<'a> {
    /// Client of upstreams.
    pub context: &'a Context,
    /// Upstream whose process is checked.
    pub upstream: &'a Upstream,
    /// Whether the upstream is an engine, which reports the start of its process.
    pub is_engine: bool,
}

impl ExitCheck<'_> {
    /// Whether the process has ended. A path that is cut is no evidence.
    pub async fn has_ended(&self) -> bool {
        for pause in PAUSES {
            tokio::time::sleep(pause).await;
            match self.find().await {
                Finding::Running => return false,
                Finding::Ended => return true,
                Finding::Unknown => {}
            }
        }
        false
    }

    async fn find(&self) -> Finding {
        let Upstream { address, incarnation, .. } = *self.upstream;
        let client = &self.context.client;
        if client.has_ended(address, CHECK_LIMIT).await {
            return Finding::Ended;
        }
        if !self.is_engine || incarnation == 0 {
            return Finding::Unknown;
        }
        match client.report(address, CHECK_LIMIT).await.map(|report| report.incarnation) {
            None | Some(0) => Finding::Unknown,
            Some(running) if running == incarnation => Finding::Running,
            Some(_) => Finding::Ended,
        }
    }
}
