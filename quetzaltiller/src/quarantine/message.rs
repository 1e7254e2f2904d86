//! Messages to the task of the quarantine.

use super::State;
use crate::control::{Error, QuarantineWrite, Quarantines, Record};
use tokio::sync::oneshot;

/// Message to the task of the quarantine.
#[derive(Debug)]
pub enum Message {
    /// An engine survived the beginning of a run with these parts.
    Settled(Vec<u64>),
    /// An engine ended while a run began.
    Crashed {
        /// Parts of the run's prompt.
        parts: Vec<u64>,
        /// Name of the engine's start.
        engine: String,
    },
    /// List of all records from the store.
    Listed(Quarantines),
    /// Changes of records from the store.
    Changed(Quarantines),
    /// A write of a record has ended.
    Written {
        /// Part of the record.
        part: u64,
        /// Record as it was sent.
        record: Record,
        /// Outcome of the write.
        result: Result<QuarantineWrite, Error>,
    },
    /// A deletion of a record has ended.
    Deleted {
        /// Part of the record.
        part: u64,
        /// Outcome of the deletion.
        result: Result<(), Error>,
    },
    /// Request for the state.
    StateRequested(oneshot::Sender<State>),
}
