//! A small deployment on loopback: the stand-in store, replicas, and entry VMs of the deploy file.

use crate::common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["a", "b", "c"];
pub const SECOND: Duration = Duration::from_secs(1);

pub struct Entry {
    pub process: u32,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

pub struct Site {
    pub processes: Processes,
    pub folder: String,
    pub record_path: String,
    pub record: Record,
    pub store: SocketAddr,
    pub entries: Vec<Entry>,
}

impl Site {
    /// Starts the store and writes the first configuration.
    pub fn start() -> Self {
        let folder = option("folder").expect("--folder");
        let record_path = option("record").expect("--record");
        let mut site = Self {
            processes: Processes::default(),
            record: Record::open(&record_path),
            folder,
            record_path,
            store: free_address(),
            entries: Vec::new(),
        };
        let arguments = ["store".to_owned(), "--listen".into(), site.store.to_string()];
        let log = format!("{}/store.log", site.folder);
        site.processes.start(&own_program(), &arguments, &log, "");
        let store = site.store;
        if !wait_until(5 * SECOND, || configure(store, 2, "").is_ok()) {
            unable("the store did not start");
        }
        site
    }

    /// Starts a replica in the zone of its number; `more` holds further options.
    pub fn server(&mut self, id: &str, service: &str, address: SocketAddr, more: &[&str]) -> u32 {
        let number = id.rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        let (store, record) = (self.store.to_string(), self.record_path.clone());
        let address = address.to_string();
        let fixed = [
            "server", "--id", id, "--service", service, "--listen", &address, "--store", &store,
            "--record", &record, "--zone", ZONES[number % 3],
        ];
        let arguments: Vec<_> = fixed.iter().chain(more).map(|text| (*text).to_owned()).collect();
        let log = format!("{}/server-{id}.log", self.folder);
        self.processes.start(&own_program(), &arguments, &log, "")
    }

    /// Starts entry VMs that reach the store at these addresses, and waits until they are ready.
    pub fn entries(&mut self, stores: &[SocketAddr]) {
        let peers: Vec<_> = stores.iter().map(|_| free_address().to_string()).collect();
        let seeds = peers.iter().take(3).map(|p| format!("\"{p}\"")).collect::<Vec<_>>().join(",");
        for (number, store) in stores.iter().enumerate() {
            let (callers, ready) = (free_address(), free_address());
            let settings = format!(
                "{{\"name\":\"edge-{number}\",\"zone\":\"{zone}\",\"caller_address\":\"{callers}\",\"ready_address\":\"{ready}\",\"entries_address\":\"{entries}\",\"operator_address\":\"{operator}\",\"peer_address\":\"{peer}\",\"store_address\":\"{store}\",\"peer_seeds\":[{seeds}],\"bounds\":{{\"grace_s\":8,\"entries_lifetime_s\":5,\"reuse_after_s\":2,\"retry_ratio\":0.8,\"retry_slack\":150}}}}",
                zone = ZONES[number % 3], peer = peers[number],
                entries = free_address(), operator = free_address(),
            );
            let path = format!("{}/settings-{number}.json", self.folder);
            std::fs::write(&path, settings).expect("settings");
            let log = format!("{}/edge-{number}.log", self.folder);
            let process = self.processes.start("target/release/qt-entry", &[], &log, &path);
            self.entries.push(Entry { process, callers, ready });
        }
        let is_ready = |entry: &Entry| {
            let answer = call(entry.ready, "GET", "/-/readyz", "", "", SECOND);
            answer.is_ok_and(|(head, ..)| head.status() == 200)
        };
        if !wait_until(10 * SECOND, || self.entries.iter().all(is_ready)) {
            unable("the entry VMs did not become ready");
        }
    }
}

fn own_program() -> String {
    std::env::current_exe().expect("program").display().to_string()
}

/// Writes a configuration as the operator; `more` holds further routes, each with a leading comma.
pub fn configure(store: SocketAddr, version: u32, more: &str) -> std::io::Result<()> {
    let spec = format!(
        "{{\"version\":{version},\"routes\":[{}{}{}{more}],\"services\":[{{\"name\":\"drafts\",\"health_path\":\"/healthz\",\"max_conns\":370,\"backend\":{{\"slots\":64,\"kv_cap\":88000,\"moves\":false,\"backups\":false,\"ref_ttl_s\":4.0}}}},{{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("draft", "streaming", "drafts", 5, 25_000),
        format!(",{}", route("order", "unsafe", "desk", 1, 1_200)),
        format!(",{}", route("status", "safe", "desk", 2, 1_200)),
    );
    let body = format!("{{\"meta\":{{\"name\":\"main\"}},\"spec\":{spec}}}");
    let (head, ..) = call(store, "PUT", "/-/objects/config/main", "", &body, SECOND)?;
    if head.status() == 200 { Ok(()) } else { Err(std::io::ErrorKind::Other.into()) }
}

pub fn route(name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u32) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"review.example\",\"path_prefix\":\"/{name}/\",\"type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"goal_ms\":4500,\"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\"public\":true,\"sticky\":true,\"resumable\":true,\"itl_target_ms\":700}}"
    )
}

/// Answer to one draft.
pub struct Draft {
    pub status: u16,
    /// Whether the body ended as a complete one.
    pub complete: bool,
    pub events: Vec<u32>,
}

/// Requests a draft and reads it to its end.
pub fn draft(site: &Record, to: SocketAddr, id: &str) -> Option<Draft> {
    site.line(&format!("client sends {id} /draft/a"));
    let headers = format!(
        "X-Attempt-Id: {id}\r\nX-Deadline-Ms: 25000\r\nX-Model: m\r\nX-Token-Count: 40,1200\r\nX-Prompt-Prefix: 1:20,{:x}:20\r\n",
        id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)))
    );
    let answer = call(to, "POST", "/draft/a", &headers, "{}", 30 * SECOND);
    let Ok((head, body, complete)) = answer else {
        site.line(&format!("client gets no answer to {id}"));
        return None;
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let events: Vec<u32> =
        text.lines().filter_map(|line| line.strip_prefix("id:")?.trim().parse().ok()).collect();
    let draft = Draft { status: head.status(), complete, events };
    site.line(&format!(
        "client gets {} for {id}: {} events, last {:?}, body {}",
        draft.status, draft.events.len(), draft.events.last(),
        if complete { "complete" } else { "cut" }
    ));
    Some(draft)
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn at(start: Instant, ms: u64) {
    sleep_until(start + Duration::from_millis(ms));
}

/// Ends the case: 1 if the rule was broken, else 0.
pub fn verdict(site: Site, broken: &[String]) -> ! {
    for fault in broken {
        site.record.line(&format!("BROKEN {fault}"));
        println!("broken: {fault}");
    }
    if broken.is_empty() {
        site.record.line("the rule held");
        println!("the rule held");
    }
    drop(site);
    std::process::exit(i32::from(!broken.is_empty()))
}
