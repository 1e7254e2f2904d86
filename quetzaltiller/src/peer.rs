//! Port to the other entry VMs.

use crate::wire;
use async_trait::async_trait;
use quick_error::quick_error;

quick_error! {
    /// Reasons why a call of a peer failed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// The peer is unreachable.
        Unreachable {
            display("peer unreachable")
        }
        /// The peer did not answer in time.
        Timeout {
            display("no answer in time")
        }
        /// The answer is not of the kind that the request requires.
        Protocol {
            display("unexpected answer")
        }
    }
}

/// Client for peers, which are called by address.
#[async_trait]
pub trait Link: Send + Sync {
    /// Sends a request and waits for its answer.
    async fn call(&self, address: &str, ask: wire::Ask) -> Result<wire::Reply, Error>;
}

/// Server side: answers the requests of peers.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers one request.
    async fn answer(&self, ask: wire::Ask) -> wire::Reply;
}
