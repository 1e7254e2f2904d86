//! Messages to the task of the quarantine.

use super::State;
use crate::control::{Error, QuarantineWrite, Quarantines, Record, Subject};
use tokio::sync::oneshot;

/// Message to the task of the quarantine.
#[derive(Debug)]
pub enum Message {
    /// An upstream survived a request with these subjects.
    Settled(Vec<Subject>),
    /// An upstream ended while it served a request.
    Crashed {
        /// Subjects of the request.
        subjects: Vec<Subject>,
        /// Name of the upstream's start.
        upstream: String,
        /// Whether the upstream is known to have begun the request.
        begun: bool,
    },
    /// List of all records from the store.
    Listed(Quarantines),
    /// Changes of records from the store.
    Changed(Quarantines),
    /// A write of a record has ended.
    Written {
        /// Subject of the record.
        subject: Subject,
        /// Record as it was sent.
        record: Record,
        /// Outcome of the write.
        result: Result<QuarantineWrite, Error>,
    },
    /// A deletion of a record has ended.
    Deleted {
        /// Subject of the record.
        subject: Subject,
        /// Outcome of the deletion.
        result: Result<(), Error>,
    },
    /// Request for the state.
    StateRequested(oneshot::Sender<State>),
}
