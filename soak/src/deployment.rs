//! The processes of a run, on loopback addresses of their own.

use crate::plan::Size;
use crate::process::Process;
use crate::proxy::Proxy;
use serde_json::json;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// Availability zones.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Upstreams in one block of addresses.
const BLOCK: usize = 200;
const STORE_PORT: u16 = 8742;
const STORE_PROXY_PORT: u16 = 8743;
const CALLER_PORT: u16 = 8740;
const READY_PORT: u16 = 8749;
const ENTRIES_PORT: u16 = 8746;
const PEER_PORT: u16 = 8748;
const OPERATOR_PORT: u16 = 7200;
const UPSTREAM_PORT: u16 = 8080;
const UPSTREAM_PROXY_PORT: u16 = 8090;
/// Slots of an engine and of a replica.
const ENGINE_SLOTS: usize = 64;
const REPLICA_SLOTS: usize = 6;

/// Addresses of a run.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    net: u8,
}

impl Layout {
    /// A part of loopback that no other run uses.
    pub fn find() -> io::Result<Self> {
        let first = std::process::id() % 250;
        let nets = (0..250).map(|n| Self { net: 1 + ((first + n) % 250) as u8 });
        let is_free = |layout: &Self| TcpListener::bind(layout.store()).is_ok();
        let mut free = nets.filter(is_free);
        free.next().ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))
    }

    /// The store.
    pub fn store(self) -> SocketAddr {
        self.at(0, 1, STORE_PORT)
    }

    /// The store as one entry VM reaches it.
    pub fn store_of(self, entry: usize) -> SocketAddr {
        self.at(1, entry, STORE_PROXY_PORT)
    }

    /// Callers' address of an entry VM.
    pub fn entry(self, entry: usize) -> SocketAddr {
        self.at(1, entry, CALLER_PORT)
    }

    /// Where an entry VM tells which ones to use.
    pub fn entries(self, entry: usize) -> SocketAddr {
        self.at(1, entry, ENTRIES_PORT)
    }

    /// An upstream itself.
    pub fn upstream(self, upstream: usize) -> SocketAddr {
        self.at(2 + (upstream / BLOCK) as u8, upstream % BLOCK, UPSTREAM_PORT)
    }

    /// An upstream as entry VMs reach it.
    pub fn proxied(self, upstream: usize) -> SocketAddr {
        SocketAddr::new(self.upstream(upstream).ip(), UPSTREAM_PROXY_PORT)
    }

    fn at(self, block: u8, number: usize, port: u16) -> SocketAddr {
        let address = Ipv4Addr::new(127, self.net, block, 1 + number as u8);
        SocketAddr::new(IpAddr::V4(address), port)
    }
}

/// Programs that are run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Entry VM.
    pub entry: PathBuf,
    /// Stand-ins of the platform.
    pub platform: PathBuf,
}

impl Programs {
    /// Programs that were built beside this one.
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

/// An engine or a replica.
pub struct Upstream {
    /// Process.
    pub process: Process,
    /// What entry VMs connect to.
    pub proxy: Proxy,
    starts: u32,
}

/// An entry VM.
pub struct Entry {
    /// Process.
    pub process: Process,
    /// Its way to the store.
    pub store: Proxy,
    settings: PathBuf,
}

/// All processes.
pub struct Deployment {
    /// Addresses.
    pub layout: Layout,
    /// Sizes.
    pub size: Size,
    /// Store.
    pub store: Process,
    /// Engines first, then replicas.
    pub upstreams: Vec<Upstream>,
    /// Entry VMs.
    pub entries: Vec<Entry>,
}

impl Deployment {
    /// Starts the store, all upstreams and all entry VMs; logs and settings go to `folder`.
    pub async fn start(
        programs: &Programs,
        folder: &Path,
        size: Size,
        seed: u64,
    ) -> io::Result<Self> {
        let layout = Layout::find()?;
        let arguments = ["store", "--listen", &layout.store().to_string(), "--seed"];
        let arguments = arguments.into_iter().map(str::to_owned).chain([seed.to_string()]);
        let mut store = Process::new(&programs.platform, folder, "store", arguments.collect());
        store.start()?;
        let mut deployment =
            Self { layout, size, store, upstreams: Vec::new(), entries: Vec::new() };
        for number in 0..size.engines + size.replicas {
            let process =
                Process::new(&programs.platform, folder, &format!("u{number}"), Vec::new());
            let proxy = Proxy::start(layout.proxied(number), layout.upstream(number)).await?;
            deployment.upstreams.push(Upstream { process, proxy, starts: 0 });
            deployment.start_upstream(number)?;
        }
        for number in 0..size.entries {
            let settings = folder.join(format!("entry-{number}.json"));
            let arguments = vec!["--settings".to_owned(), settings.display().to_string()];
            let name = format!("entry-{number}");
            let process = Process::new(&programs.entry, folder, &name, arguments);
            let store = Proxy::start(layout.store_of(number), layout.store()).await?;
            deployment.entries.push(Entry { process, store, settings });
            deployment.write_settings(number, 8)?;
            deployment.entries[number].process.start()?;
        }
        Ok(deployment)
    }

    /// Zone of an upstream or of an entry VM.
    pub fn zone(number: usize) -> &'static str {
        ZONES[number % ZONES.len()]
    }

    /// Engines of a zone.
    pub fn engines_of(&self, zone: usize) -> Vec<usize> {
        (0..self.size.engines).filter(|number| number % ZONES.len() == zone).collect()
    }

    /// Starts an upstream under a new id, unless it runs.
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
            format!("--advertise={}", self.layout.proxied(number)),
            format!("--id=u{number}-{}", upstream.starts),
            format!("--service={service}"),
            format!("--zone={}", Self::zone(number)),
            format!("--slots={slots}"),
            format!("--events={events}"),
            format!("--store={}", self.layout.store()),
        ];
        let arguments = arguments.iter().flat_map(|text| match text.split_once('=') {
            Some((name, value)) => vec![name.to_owned(), value.to_owned()],
            None => vec![text.clone()],
        });
        upstream.process.set_arguments(arguments.collect());
        upstream.process.start()
    }

    /// Writes the settings of an entry VM.
    pub fn write_settings(&self, entry: usize, grace_s: u64) -> io::Result<()> {
        let ip = self.layout.entry(entry).ip();
        let at = |port: u16| SocketAddr::new(ip, port).to_string();
        let seeds: Vec<_> = (0..self.size.entries.min(3))
            .map(|seed| SocketAddr::new(self.layout.entry(seed).ip(), PEER_PORT).to_string())
            .collect();
        let settings = json!({
            "name": format!("entry-{entry}"),
            "zone": Self::zone(entry),
            "caller_address": at(CALLER_PORT),
            "ready_address": at(READY_PORT),
            "entries_address": at(ENTRIES_PORT),
            "peer_address": at(PEER_PORT),
            "operator_address": at(OPERATOR_PORT),
            "store_address": self.layout.store_of(entry).to_string(),
            "peer_seeds": seeds,
            "bounds": {
                "grace_s": grace_s, "entries_lifetime_s": 2, "reuse_after_s": 2,
                "retry_ratio": 0.8, "retry_slack": 150,
            },
        });
        std::fs::write(&self.entries[entry].settings, settings.to_string())
    }
}
