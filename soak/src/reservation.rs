//! Reserves the addresses of a run.
//!
//! The listeners of a run's proxies are open before any of its processes starts, so that an address
//! that anybody holds is found while another network can be taken.

use crate::deployment::Layout;
use crate::plan::Size;
use socket2::SockRef;
use std::io;
use std::net::{TcpListener, TcpStream};

/// Network of a run, with the listeners that keep others from it.
#[derive(Debug)]
pub struct Reservation {
    /// Addresses of the run.
    pub layout: Layout,
    /// Keeps other runs from the network. Processes of the run inherit it, so that it lasts until
    /// all of them have ended.
    pub listener: TcpListener,
    /// Listeners of the proxies to the upstreams, by number of the upstream.
    pub upstream_proxies: Vec<TcpListener>,
    /// Listeners of the proxies to the store, by number of the entry VM.
    pub store_proxies: Vec<TcpListener>,
}

impl Reservation {
    /// Reserves a loopback network that no other run uses; fails with `AddrInUse` if there is none.
    pub fn new(size: Size) -> io::Result<Self> {
        let mut reservations = Layout::all().filter_map(|layout| Self::try_new(layout, size));
        reservations.next().ok_or_else(|| io::ErrorKind::AddrInUse.into())
    }

    fn try_new(layout: Layout, size: Size) -> Option<Self> {
        let listener = TcpListener::bind(layout.reservation()).ok()?;
        let upstreams = 0..size.engines + size.replicas;
        let upstream_proxies =
            upstreams.map(|number| TcpListener::bind(layout.upstream_proxy(number)).ok());
        let upstream_proxies = upstream_proxies.collect::<Option<_>>()?;
        let store_proxies =
            (0..size.entries).map(|number| TcpListener::bind(layout.store_proxy(number)).ok());
        let store_proxies = store_proxies.collect::<Option<_>>()?;
        if TcpStream::connect(layout.store()).is_ok() {
            return None;
        }
        SockRef::from(&listener).set_cloexec(false).ok()?;
        Some(Self { layout, listener, upstream_proxies, store_proxies })
    }
}
