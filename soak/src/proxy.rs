//! TCP proxy on loopback that can delay, cut, silence, reset or garble the connections through it.

use socket2::SockRef;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of the buffer for forwarded data, in bytes.
const CHUNK: usize = 16 << 10;

/// Faults of the connections through a proxy.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Impairment {
    /// Delay of each piece of data, in milliseconds.
    pub delay_ms: u64,
    /// Whether data towards the target is held back.
    pub cut_forward: bool,
    /// Whether data from the target is held back.
    pub cut_back: bool,
    /// Whether endless meaningless bytes are returned in place of answers.
    pub babbles: bool,
    /// Connections with a lower number carry no more data, for good.
    pub silent_before: u64,
    /// Connections with a lower number are reset.
    pub reset_before: u64,
    /// Further connections that carry no more data, for good.
    pub silent: BTreeSet<u64>,
    /// Further connections that are reset.
    pub reset: BTreeSet<u64>,
    /// Whether connections that open now are silent from their start.
    pub silences_new: bool,
}

impl Impairment {
    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_before || self.silent.contains(&number)
    }

    fn is_reset(&self, number: u64) -> bool {
        number < self.reset_before || self.reset.contains(&number)
    }
}

/// Last request on each connection, by the connection's number.
type Requests = Arc<Mutex<BTreeMap<u64, Vec<u8>>>>;

/// Running proxy, which numbers its connections from 1; dropping it stops accepting.
pub struct Proxy {
    impairment: watch::Sender<Impairment>,
    opened: watch::Sender<u64>,
    requests: Requests,
    accepting: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Proxy {
    /// Accepts connections on `listener` and forwards each to `target`.
    pub fn start(listener: std::net::TcpListener, target: SocketAddr) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let (impairment, impairments) = watch::channel(Impairment::default());
        let (opened, _) = watch::channel(0);
        let requests = Requests::default();
        let (counter, setter, seen) = (opened.clone(), impairment.clone(), requests.clone());
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.send_modify(|count| *count += 1);
                let number = *counter.borrow();
                if setter.borrow().silences_new {
                    setter.send_modify(|impairment| {
                        impairment.silent.insert(number);
                    });
                }
                let (impairments, seen) = (impairments.clone(), seen.clone());
                tokio::spawn(async move {
                    relay(stream, target, number, impairments, &seen).await;
                    seen.lock().unwrap_or_else(PoisonError::into_inner).remove(&number);
                });
            }
        });
        Ok(Self { impairment, opened, requests, accepting })
    }

    /// Sets the delay and the cuts of all connections.
    pub fn set(&self, delay_ms: u64, cut_forward: bool, cut_back: bool) {
        self.impairment.send_modify(|impairment| {
            (impairment.delay_ms, impairment.cut_forward, impairment.cut_back) =
                (delay_ms, cut_forward, cut_back);
        });
    }

    /// Starts or stops sending endless meaningless bytes in place of answers.
    pub fn set_babbling(&self, babbles: bool) {
        self.impairment.send_modify(|impairment| impairment.babbles = babbles);
    }

    /// Stops all data on the connections that are open now, for good.
    pub fn silence_open(&self) {
        let next = *self.opened.borrow() + 1;
        self.impairment.send_modify(|impairment| impairment.silent_before = next);
    }

    /// Stops all data on the connections whose last request contains `text`, for good.
    pub fn silence_carriers(&self, text: &str) {
        let carriers = self.carriers(text);
        self.impairment.send_modify(|impairment| impairment.silent.extend(carriers));
    }

    /// Resets the connections whose last request contains `text`.
    pub fn reset_carriers(&self, text: &str) {
        let carriers = self.carriers(text);
        self.impairment.send_modify(|impairment| impairment.reset.extend(carriers));
    }

    /// Starts or stops silencing connections that open.
    pub fn set_silencing_new(&self, silences_new: bool) {
        self.impairment.send_modify(|impairment| impairment.silences_new = silences_new);
    }

    fn carriers(&self, text: &str) -> Vec<u64> {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        let contains = |request: &[u8]| String::from_utf8_lossy(request).contains(text);
        requests
            .iter()
            .filter(|(_, request)| contains(request))
            .map(|(number, _)| *number)
            .collect()
    }

    /// Resets the connections that are open now.
    pub fn reset_open(&self) {
        let next = *self.opened.borrow() + 1;
        self.impairment.send_modify(|impairment| impairment.reset_before = next);
    }
}

/// Connects to `target` and forwards data both ways, with the faults set for connection `number`.
async fn relay(
    client: TcpStream,
    target: SocketAddr,
    number: u64,
    impairment: watch::Receiver<Impairment>,
    requests: &Requests,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        // The connection is accepted already, so a refusing target shows as a reset.
        let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
        return;
    };
    let sockets = [SockRef::from(&client).try_clone(), SockRef::from(&server).try_clone()];
    let mut resets = impairment.clone();
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forward = async {
        let mut to = server_write;
        let record = |request: &[u8]| {
            let mut requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
            requests.insert(number, request.to_vec());
        };
        let is_cut = |impairment: &Impairment| impairment.cut_forward;
        forward_bytes(client_read, &mut to, (impairment.clone(), number), is_cut, record).await;
        // The peer may have closed first.
        let _ = to.shutdown().await;
    };
    let back = relay_answers(server_read, client_write, impairment.clone(), number);
    tokio::select! {
        _ = async { tokio::join!(forward, back) } => {}
        _ = resets.wait_for(|impairment| impairment.is_reset(number)) => {
            for socket in sockets.into_iter().flatten() {
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
        }
    }
}

/// Forwards answers until the proxy babbles; the connection closes after that, as its answers are
/// spoilt.
async fn relay_answers(
    from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    impairment: watch::Receiver<Impairment>,
    number: u64,
) {
    let (mut babble_start, babble_state) = (impairment.clone(), impairment.clone());
    tokio::select! {
        () = forward_bytes(from, &mut to, (impairment, number), |i| i.cut_back, |_| {}) => {}
        true = async { babble_start.wait_for(|impairment| impairment.babbles).await.is_ok() } => {
            while babble_state.borrow().babbles && to.write_all(&[b'x'; CHUNK]).await.is_ok() {}
        }
    }
    // The peer may have closed first.
    let _ = to.shutdown().await;
}

/// Forwards data in one direction until an end closes, and gives each piece to `record`; holds it
/// while the direction is cut or the connection is silenced.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    (mut impairment, number): (watch::Receiver<Impairment>, u64),
    is_cut: impl Fn(&Impairment) -> bool,
    record: impl Fn(&[u8]),
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(count) = from.read(&mut buffer).await {
        record(&buffer[..count]);
        let passes = |impairment: &Impairment| !is_cut(impairment) && !impairment.is_silent(number);
        if impairment.wait_for(|impairment| passes(impairment)).await.is_err() {
            break;
        }
        let delay_ms = impairment.borrow().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}
