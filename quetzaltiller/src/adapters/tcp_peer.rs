//! Calls to peers over framed TCP.
//!
//! Each peer opens its own connection for its requests; answers are matched to requests by their
//! sequence number.

use crate::peer::{Error, Link};
use crate::prelude::*;
use crate::wire::{Ask, Reply, Request, Response};
use async_trait::async_trait;
use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use prost::Message as _;
use std::collections::BTreeMap;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time limit to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a peer's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of requests that wait on one connection.
const QUEUE_LENGTH: usize = 1_024;
/// Maximum size of a frame in bytes: four times a directory of 11,000 upstreams of 0.33 kB each.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

type Socket = Framed<TcpStream, LengthDelimitedCodec>;

struct PendingRequest {
    ask: Ask,
    reply: oneshot::Sender<Reply>,
}

/// Client of peers over TCP, with one connection for each address.
#[derive(Default)]
pub struct TcpPeer {
    connections: Mutex<BTreeMap<String, mpsc::Sender<PendingRequest>>>,
}

#[async_trait]
impl Link for TcpPeer {
    async fn call(&self, address: &str, ask: Ask) -> Result<Reply, Error> {
        let connection = self.connection(address).await?;
        let (reply, answer) = oneshot::channel();
        connection.try_send(PendingRequest { ask, reply }).map_err(|_| Error::Unreachable)?;
        match timeout(CALL_TIMEOUT, answer).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) => Err(Error::Unreachable),
            Err(_) => {
                self.forget(address, &connection).await;
                Err(Error::Timeout)
            }
        }
    }
}

impl TcpPeer {
    async fn connection(&self, address: &str) -> Result<mpsc::Sender<PendingRequest>, Error> {
        if let Some(open) = self.open_connection(address).await {
            return Ok(open);
        }
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let socket = connect.map_err(|_| Error::Timeout)?.map_err(|_| Error::Unreachable)?;
        let _ = socket.set_nodelay(true);
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(run_connection(Framed::new(socket, codec()), receiver));
        self.connections.lock().await.insert(address.to_owned(), sender.clone());
        Ok(sender)
    }

    async fn open_connection(&self, address: &str) -> Option<mpsc::Sender<PendingRequest>> {
        let connections = self.connections.lock().await;
        connections.get(address).filter(|sender| !sender.is_closed()).cloned()
    }

    /// Drops a connection on which an answer timed out, as it may never deliver one again.
    async fn forget(&self, address: &str, connection: &mpsc::Sender<PendingRequest>) {
        let mut connections = self.connections.lock().await;
        if connections.get(address).is_some_and(|sender| sender.same_channel(connection)) {
            connections.remove(address);
        }
    }
}

/// Runs one client connection until it breaks or its last sender is dropped.
async fn run_connection(mut socket: Socket, mut requests: mpsc::Receiver<PendingRequest>) {
    let mut waiting = BTreeMap::new();
    let mut sequence = 0;
    loop {
        tokio::select! {
            biased;
            request = requests.recv() => {
                let Some(PendingRequest { ask, reply }) = request else {
                    return;
                };
                sequence += 1;
                waiting.insert(sequence, reply);
                let frame = Request { sequence, ask: Some(ask) }.encode_to_vec();
                if socket.send(Bytes::from(frame)).await.is_err() {
                    return;
                }
            }
            frame = socket.next() => {
                let Some(Ok(frame)) = frame else {
                    return;
                };
                let Ok(response) = Response::decode(frame) else {
                    return;
                };
                if let (Some(reply), Some(content)) =
                    (waiting.remove(&response.sequence), response.reply)
                {
                    let _ = reply.send(content);
                }
            }
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
