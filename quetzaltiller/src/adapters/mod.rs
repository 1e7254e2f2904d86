//! Network implementations of the ports: HTTP to engines, services and the platform, and TCP to
//! peers.

mod http;
mod http_engine;
mod http_service;
mod http_store;
mod peer_server;
mod tcp_peer;

pub use http::{Method, Outgoing, body_stream, fetch, send};
pub use http_engine::HttpEngine;
pub use http_service::HttpService;
pub use http_store::{HttpStore, Version};
pub use peer_server::{PeerPort, serve_peers, serve_peers_on};
use quick_error::quick_error;
pub use tcp_peer::TcpPeer;

quick_error! {
    /// Why an HTTP request got no response.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Error {
        /// No connection could be opened; nothing was sent.
        Unsent {
            display("no connection")
        }
        /// The connection broke, or no response came in time, after something may have been sent.
        Broken {
            display("connection broken")
        }
    }
}
