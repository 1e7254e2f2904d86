//! Answers requests of peers over framed TCP.
//!
//! Anybody who reaches the port can send frames. So a request is read within the memory for messages,
//! an answer is held within the memory for answers until it was sent, and a connection that doesn't take
//! its answers is closed. Answers with a whole configuration or directory wait for their turn.

use super::tcp_peer::MAX_FRAME_BYTES;
use crate::admission::{Admission, Cause, Connection, Resources};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::peer::Handler;
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire::{Ask, Request, Response};
use bytes::{BufMut as _, Bytes, BytesMut};
use coordination::memory::{Message, Reservation};
use prost::Message as _;
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{sleep, timeout};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of requests on one connection that are answered at a time.
const MAX_PENDING: usize = 64;
/// Time limit to send an answer; peers wait a second for it.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of answers with a configuration or a directory that are made and sent at a time; at
/// 0.5 MB each they fit in the smallest VM's share.
const MAX_BULK_ANSWERS: usize = 8;
/// Size of the length before each frame in bytes.
const LENGTH_BYTES: usize = 4;
/// Longest request in bytes that is decoded beside others: decoded, a request may take many times its
/// length.
const MAX_PARALLEL_BYTES: usize = 16 << 10;

type Reader = BufReader<OwnedReadHalf>;

/// Port for peers: what may be taken by those who connect.
#[derive(Clone)]
pub struct PeerPort {
    admission: Admission,
    max_request_bytes: usize,
    /// Permit to decode and answer a long request.
    long_requests: Arc<Semaphore>,
    /// Permits to make and send a bulk answer.
    bulk_answers: Arc<Semaphore>,
}

/// An encoded answer with its length, and what it holds until it was sent.
struct Answer {
    bytes: Bytes,
    _memory: Reservation,
    _bulk_permit: Option<OwnedSemaphorePermit>,
}

impl PeerPort {
    /// Creates a port that takes requests of at most `max_request_bytes`.
    pub fn new(admission: &Admission, max_request_bytes: usize) -> Self {
        Self {
            admission: admission.clone(),
            max_request_bytes,
            long_requests: Arc::new(Semaphore::new(1)),
            bulk_answers: Arc::new(Semaphore::new(MAX_BULK_ANSWERS)),
        }
    }

    /// Answers a request; none if there is no memory for the answer.
    async fn answer(&self, sequence: u64, ask: Ask, handler: &dyn Handler) -> Option<Answer> {
        let bulk_permit = match ask {
            Ask::Pull(_) | Ask::Upstreams(_) => {
                self.bulk_answers.clone().acquire_owned().await.ok()
            }
            _ => None,
        };
        let reply = Some(handler.answer(ask).await);
        let response = Response { sequence, reply };
        let memory = self.admission.answers.hold(response.encoded_len())?;
        let bytes = encode_frame(&response);
        Some(Answer { bytes, _memory: memory, _bulk_permit: bulk_permit })
    }
}

impl Default for PeerPort {
    /// Port of a process that only trusted peers reach.
    fn default() -> Self {
        let resources = Resources { memory_bytes: 2_000_000_000, descriptors: 65_536 };
        let metrics = Arc::new(Metrics::new(None));
        let admission = Admission::new(Clock::default(), resources, &resources.memory(), metrics);
        Self::new(&admission, MAX_FRAME_BYTES)
    }
}

/// Answers the requests of trusted peers that connect to `listener`, with tasks in `scope`.
pub fn serve_peers(scope: &Scope, listener: TcpListener, handler: Arc<dyn Handler>) {
    serve_peers_on(scope, listener, handler, PeerPort::default());
}

/// Answers the requests of peers that connect to `listener`, within the limits of `port`.
pub fn serve_peers_on(
    scope: &Scope,
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    port: PeerPort,
) {
    scope.clone().spawn(accept_connections(scope.clone(), listener, handler, port));
}

async fn accept_connections(
    scope: Scope,
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    port: PeerPort,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let Some(place) = port.admission.peers.open() else {
                    continue;
                };
                let server = Server {
                    scope: scope.clone(),
                    handler: handler.clone(),
                    port: port.clone(),
                    place: Arc::new(place),
                };
                scope.spawn(server.serve(stream));
            }
            Err(reason) => {
                warn!("peer_accept_failed", kv: { reason:? = reason.to_string() });
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Server of one connection.
struct Server {
    scope: Scope,
    handler: Arc<dyn Handler>,
    port: PeerPort,
    place: Arc<Connection>,
}

impl Server {
    async fn serve(self, stream: TcpStream) {
        let (reader, writer) = stream.into_split();
        let (sender, answers) = mpsc::channel(MAX_PENDING);
        tokio::select! {
            biased;
            () = self.place.closed() => {}
            () = self.place.refusal().cancelled() => {}
            () = send_answers(writer, answers) => {}
            () = self.read_requests(BufReader::new(reader), sender) => {}
        }
    }

    async fn read_requests(&self, mut reader: Reader, sender: mpsc::Sender<Answer>) {
        let pending = Arc::new(Semaphore::new(MAX_PENDING));
        while let Some(message) = self.read_message(&mut reader).await {
            let Ok(permit) = pending.clone().acquire_owned().await else {
                return;
            };
            let long_requests = self.port.long_requests.clone();
            let is_long = message.as_ref().len() > MAX_PARALLEL_BYTES;
            let long_permit = if is_long { long_requests.acquire_owned().await.ok() } else { None };
            let Ok(Request { sequence, ask: Some(ask) }) = Request::decode(message.as_ref()) else {
                return;
            };
            let (handler, sender) = (self.handler.clone(), sender.clone());
            let (place, port) = (self.place.clone(), self.port.clone());
            self.scope.spawn(async move {
                if let Some(answer) = port.answer(sequence, ask, &*handler).await {
                    let _ = sender.send(answer).await;
                } else {
                    port.admission.rejections.record(Cause::MessageRefused, place.port());
                    place.refusal().cancel();
                }
                drop((permit, long_permit));
            });
        }
    }

    /// Reads the next request; none if the connection ends or the request is refused.
    async fn read_message(&self, reader: &mut Reader) -> Option<Message> {
        let mut rest = reader.read_u32().await.ok()? as usize;
        let admission = &self.port.admission;
        let refuse = || admission.rejections.record(Cause::MessageRefused, self.place.port());
        if rest > self.port.max_request_bytes {
            refuse();
            return None;
        }
        let closing = self.place.refusal().clone();
        let mut arrival = admission.messages.begin("", rest, move || closing.cancel());
        while rest > 0 {
            let piece = reader.fill_buf().await.ok().filter(|piece| !piece.is_empty())?;
            let count = piece.len().min(rest);
            if arrival.append(&piece[..count], admission.clock.now()).is_err() {
                refuse();
                return None;
            }
            reader.consume(count);
            rest -= count;
        }
        // A connection is closed for others by the time since its last whole request.
        drop(self.place.begin_request());
        arrival.finish(admission.clock.now()).inspect_err(|_| refuse()).ok()
    }
}

/// Encodes an answer behind its length.
fn encode_frame(response: &Response) -> Bytes {
    let length = response.encoded_len();
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + length);
    frame.put_u32(length as u32);
    response.encode_raw(&mut frame);
    frame.freeze()
}

async fn send_answers(mut writer: OwnedWriteHalf, mut answers: mpsc::Receiver<Answer>) {
    while let Some(answer) = answers.recv().await {
        let sent = timeout(SEND_TIMEOUT, writer.write_all(&answer.bytes)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}
