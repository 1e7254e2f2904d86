//! The processes of a run: store, upstreams and entry VMs, each on its own loopback address.
//!
//! Entry VMs reach the store and the upstreams through proxies that can impair the connections.

use crate::plan::Size;
use crate::process::Process;
use crate::proxy::Proxy;
use crate::reservation::Reservation;
use serde_json::json;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// Names of the availability zones.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Number of upstreams in one block of addresses, which share the third byte.
const BLOCK: usize = 200;
/// Port whose listener reserves the network of a run.
const RESERVATION_PORT: u16 = 8741;
const STORE_PORT: u16 = 8742;
const STORE_PROXY_PORT: u16 = 8743;
const CALLER_PORT: u16 = 8740;
const READY_PORT: u16 = 8749;
const ENTRIES_PORT: u16 = 8746;
const PEER_PORT: u16 = 8748;
const OPERATOR_PORT: u16 = 7200;
const UPSTREAM_PORT: u16 = 8080;
const UPSTREAM_PROXY_PORT: u16 = 8090;
/// Concurrent requests that an engine accepts.
const ENGINE_SLOTS: usize = 64;
/// Concurrent requests that a replica accepts.
const REPLICA_SLOTS: usize = 6;

/// Addresses of a run, all in one `127.x.0.0/16` network.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    network: u8,
}

impl Layout {
    /// All networks, in an order that differs between processes.
    pub fn all() -> impl Iterator<Item = Self> {
        let first = std::process::id() % 250;
        (0..250).map(move |n| Self { network: 1 + ((first + n) % 250) as u8 })
    }

    /// Address whose listener reserves the network.
    pub fn reservation(self) -> SocketAddr {
        self.address(0, 0, RESERVATION_PORT)
    }

    /// Address of the store.
    pub fn store(self) -> SocketAddr {
        self.address(0, 1, STORE_PORT)
    }

    /// Address of the proxy through which an entry VM reaches the store.
    pub fn store_proxy(self, entry: usize) -> SocketAddr {
        self.address(1, entry, STORE_PROXY_PORT)
    }

    /// Address on which an entry VM serves callers.
    pub fn entry(self, entry: usize) -> SocketAddr {
        self.address(1, entry, CALLER_PORT)
    }

    /// Address on which an entry VM serves the list of entry VMs to use.
    pub fn entries(self, entry: usize) -> SocketAddr {
        self.address(1, entry, ENTRIES_PORT)
    }

    /// Address on which an upstream listens.
    pub fn upstream(self, upstream: usize) -> SocketAddr {
        self.address(2 + (upstream / BLOCK) as u8, upstream % BLOCK, UPSTREAM_PORT)
    }

    /// Address of the proxy through which entry VMs reach an upstream.
    pub fn upstream_proxy(self, upstream: usize) -> SocketAddr {
        SocketAddr::new(self.upstream(upstream).ip(), UPSTREAM_PROXY_PORT)
    }

    fn address(self, block: u8, number: usize, port: u16) -> SocketAddr {
        let address = Ipv4Addr::new(127, self.network, block, 1 + number as u8);
        SocketAddr::new(IpAddr::V4(address), port)
    }
}

/// Paths of the programs under test.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Entry VM program.
    pub entry: PathBuf,
    /// Stand-in of the platform: store and upstreams.
    pub platform: PathBuf,
}

impl Programs {
    /// Finds the programs that were built beside this one; fails if they are missing.
    pub fn find() -> io::Result<Self> {
        let own = std::env::current_exe()?;
        let folders = own.ancestors().skip(1).take(2);
        let programs = folders.map(|folder| Self {
            entry: folder.join("qt-entry"),
            platform: folder.join("qt-platform"),
        });
        let mut built = programs.filter(|p| p.entry.exists() && p.platform.exists());
        built.next().ok_or_else(|| {
            io::Error::other("qt-entry and qt-platform are not built beside this program")
        })
    }
}

/// An engine or a replica of the plain service, with its proxy.
pub struct Upstream {
    /// Process of the upstream.
    pub process: Process,
    /// Proxy that entry VMs connect to.
    pub proxy: Proxy,
    starts: u32,
}

/// An entry VM, with its proxy to the store.
pub struct Entry {
    /// Process of the entry VM.
    pub process: Process,
    /// Proxy through which the entry VM reaches the store.
    pub store: Proxy,
    settings: PathBuf,
}

/// Options of all upstreams of a run.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Whether entry VMs reach the upstreams without the proxies.
    pub direct: bool,
    /// Further arguments of each upstream, as `--name=value`.
    pub upstream_arguments: Vec<String>,
}

/// All processes and proxies of a run.
pub struct Deployment {
    /// Addresses of the run.
    pub layout: Layout,
    /// Number of processes and callers.
    pub size: Size,
    /// Process of the store.
    pub store: Process,
    /// Upstreams, engines first, then replicas.
    pub upstreams: Vec<Upstream>,
    /// Entry VMs by number.
    pub entries: Vec<Entry>,
    options: Options,
    /// Keeps other runs from the addresses.
    _reservation: TcpListener,
}

impl Deployment {
    /// Starts the store, all upstreams and all entry VMs; logs and settings go to `folder`.
    pub fn start(
        programs: &Programs,
        folder: &Path,
        size: Size,
        seed: u64,
        options: Options,
    ) -> io::Result<Self> {
        let reservation = Reservation::new(size)?;
        let layout = reservation.layout;
        let arguments = ["store", "--listen", &layout.store().to_string(), "--seed"];
        let arguments = arguments.into_iter().map(str::to_owned).chain([seed.to_string()]);
        let mut store = Process::new(&programs.platform, folder, "store", arguments.collect());
        store.start()?;
        let mut deployment = Self {
            layout,
            size,
            store,
            upstreams: Vec::new(),
            entries: Vec::new(),
            options,
            _reservation: reservation.listener,
        };
        for (number, listener) in reservation.upstream_proxies.into_iter().enumerate() {
            let process =
                Process::new(&programs.platform, folder, &format!("u{number}"), Vec::new());
            let proxy = Proxy::start(listener, layout.upstream(number))?;
            deployment.upstreams.push(Upstream { process, proxy, starts: 0 });
            deployment.start_upstream(number)?;
        }
        for (number, listener) in reservation.store_proxies.into_iter().enumerate() {
            let settings = folder.join(format!("entry-{number}.json"));
            let arguments = vec!["--settings".to_owned(), settings.display().to_string()];
            let name = format!("entry-{number}");
            let process = Process::new(&programs.entry, folder, &name, arguments);
            let store = Proxy::start(listener, layout.store())?;
            deployment.entries.push(Entry { process, store, settings });
            deployment.write_settings(number, 8)?;
            deployment.entries[number].process.start()?;
        }
        Ok(deployment)
    }

    /// Returns the zone of an upstream, an entry VM or a caller by its number.
    pub fn zone(number: usize) -> &'static str {
        ZONES[number % ZONES.len()]
    }

    /// Returns the numbers of the engines in a zone.
    pub fn engines_of(&self, zone: usize) -> Vec<usize> {
        (0..self.size.engines).filter(|number| number % ZONES.len() == zone).collect()
    }

    /// Starts an upstream under a new id unless it runs already.
    pub fn start_upstream(&mut self, number: usize) -> io::Result<()> {
        let upstream = &mut self.upstreams[number];
        if upstream.process.is_running() {
            return Ok(());
        }
        upstream.starts += 1;
        let is_engine = number < self.size.engines;
        let (service, events, slots) = if is_engine {
            (platform_standin::operator::ENGINES, crate::checker::EVENTS as usize, ENGINE_SLOTS)
        } else {
            (platform_standin::operator::DESK, 0, REPLICA_SLOTS)
        };
        let arguments = [
            "upstream".to_owned(),
            format!("--listen={}", self.layout.upstream(number)),
            format!("--id=u{number}-{}", upstream.starts),
            format!("--service={service}"),
            format!("--zone={}", Self::zone(number)),
            format!("--slots={slots}"),
            format!("--events={events}"),
            format!("--store={}", self.layout.store()),
        ];
        let proxy = (!self.options.direct)
            .then(|| format!("--advertise={}", self.layout.upstream_proxy(number)));
        let arguments = arguments.iter().chain(&proxy).chain(&self.options.upstream_arguments);
        let arguments = arguments.flat_map(|text| match text.split_once('=') {
            Some((name, value)) => vec![name.to_owned(), value.to_owned()],
            None => vec![text.clone()],
        });
        upstream.process.set_arguments(arguments.collect());
        upstream.process.start()
    }

    /// Writes the settings file of an entry VM, with its grace period in seconds.
    pub fn write_settings(&self, entry: usize, grace_s: u64) -> io::Result<()> {
        let ip = self.layout.entry(entry).ip();
        let address = |port: u16| SocketAddr::new(ip, port).to_string();
        let seeds: Vec<_> = (0..self.size.entries.min(3))
            .map(|seed| SocketAddr::new(self.layout.entry(seed).ip(), PEER_PORT).to_string())
            .collect();
        let settings = json!({
            "name": format!("entry-{entry}"),
            "zone": Self::zone(entry),
            "caller_address": address(CALLER_PORT),
            "ready_address": address(READY_PORT),
            "entries_address": address(ENTRIES_PORT),
            "peer_address": address(PEER_PORT),
            "operator_address": address(OPERATOR_PORT),
            "store_address": self.layout.store_proxy(entry).to_string(),
            "peer_seeds": seeds,
            "bounds": {
                "grace_s": grace_s, "entries_lifetime_s": 2, "reuse_after_s": 2,
                "retry_ratio": 0.8, "retry_slack": 150,
            },
        });
        std::fs::write(&self.entries[entry].settings, settings.to_string())
    }
}
