//! Port to the other entry VMs.

use crate::wire;
use async_trait::async_trait;
use quick_error::quick_error;

quick_error! {
    /// Why a peer did not answer.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The peer can't be reached.
        Unreachable {
            display("peer unreachable")
        }
        /// No answer in time.
        Timeout {
            display("no answer in time")
        }
        /// The answer is not one to the question.
        Protocol {
            display("unexpected answer")
        }
    }
}

/// Requests to peers by address.
#[async_trait]
pub trait Link: Send + Sync {
    /// Sends a request and waits for its answer.
    async fn call(&self, address: &str, ask: wire::Ask) -> Result<wire::Reply, Error>;
}

/// What answers peers.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers a request.
    async fn answer(&self, ask: wire::Ask) -> wire::Reply;
}
