//! TCP proxy on loopback that harms the connections through it.

use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Bytes forwarded at once.
const CHUNK: usize = 16 << 10;

/// What happens to bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Harm {
    /// Bytes are late by this, in milliseconds.
    pub delay_ms: u64,
    /// Nothing passes towards the target.
    pub cut_forward: bool,
    /// Nothing passes back.
    pub cut_back: bool,
    /// Noise without end goes back in place of answers.
    pub babbles: bool,
    /// Connections opened before this one of a series are silent for good.
    pub silent_before: u64,
    /// Connections opened before this one of a series are reset.
    pub reset_before: u64,
}

/// Running proxy.
pub struct Proxy {
    harm: watch::Sender<Harm>,
    series: watch::Sender<u64>,
    accepting: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Proxy {
    /// Listens and forwards to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let (harm, harmed) = watch::channel(Harm::default());
        let (series, _) = watch::channel(0);
        let counter = series.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.send_modify(|count| *count += 1);
                let number = *counter.borrow();
                tokio::spawn(carry(stream, target, number, harmed.clone()));
            }
        });
        Ok(Self { harm, series, accepting })
    }

    /// Harms all connections.
    pub fn set(&self, delay_ms: u64, cut_forward: bool, cut_back: bool) {
        self.harm.send_modify(|harm| {
            *harm = Harm { delay_ms, cut_forward, cut_back, ..*harm };
        });
    }

    /// Sends noise without end in place of answers, or no longer.
    pub fn babble(&self, babbles: bool) {
        self.harm.send_modify(|harm| harm.babbles = babbles);
    }

    /// Silences the connections that are open, for good.
    pub fn silence_open(&self) {
        let next = *self.series.borrow() + 1;
        self.harm.send_modify(|harm| harm.silent_before = next);
    }

    /// Resets the connections that are open.
    pub fn reset_open(&self) {
        let next = *self.series.borrow() + 1;
        self.harm.send_modify(|harm| harm.reset_before = next);
    }
}

async fn carry(near: TcpStream, target: SocketAddr, number: u64, harm: watch::Receiver<Harm>) {
    let Ok(far) = TcpStream::connect(target).await else {
        // Looks like a refused connection that was accepted.
        let _ = SockRef::from(&near).set_linger(Some(Duration::ZERO));
        return;
    };
    let reset = [SockRef::from(&near).try_clone(), SockRef::from(&far).try_clone()];
    let mut resets = harm.clone();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forward = async {
        let mut to = far_write;
        pass(near_read, &mut to, harm.clone(), number, |harm| harm.cut_forward).await;
        // The peer may have closed first.
        let _ = to.shutdown().await;
    };
    let back = answer(far_read, near_write, harm.clone(), number);
    tokio::select! {
        _ = async { tokio::join!(forward, back) } => {}
        _ = resets.wait_for(|harm| number < harm.reset_before) => {
            for socket in reset.into_iter().flatten() {
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
        }
    }
}

/// Passes answers back until noise takes their place; a connection that had noise is of no more use.
async fn answer(
    from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: watch::Receiver<Harm>,
    number: u64,
) {
    let (mut begins, babbles) = (harm.clone(), harm.clone());
    tokio::select! {
        () = pass(from, &mut to, harm, number, |harm| harm.cut_back) => {}
        true = async { begins.wait_for(|harm| harm.babbles).await.is_ok() } => {
            while babbles.borrow().babbles && to.write_all(&[b'x'; CHUNK]).await.is_ok() {}
        }
    }
    // The peer may have closed first.
    let _ = to.shutdown().await;
}

async fn pass(
    mut from: OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut harm: watch::Receiver<Harm>,
    number: u64,
    is_cut: impl Fn(&Harm) -> bool,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(count) = from.read(&mut buffer).await {
        let passes = |harm: &Harm| !is_cut(harm) && number >= harm.silent_before;
        if harm.wait_for(|harm| passes(harm)).await.is_err() {
            break;
        }
        let delay_ms = harm.borrow().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}
