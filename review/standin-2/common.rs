//! Helpers of the review's scripts: processes, HTTP over plain sockets, the record.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "prints.example";
pub const KEY: &str = "roskilde-crew-review-key";

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A loopback address whose port is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Answer of an HTTP call.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// The body ended as its framing says.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

/// Value of a header in the text of a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (known, value) = line.split_once(':')?;
        known.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// Reads a head, up to its empty line; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut head = String::new();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line);
        if line == "\r\n" || line == "\n" {
            return Ok(Some(head));
        }
        head.push_str(&line);
    }
}

/// Reads an answer; `on_piece` sees the body as it arrives.
pub fn read_answer(
    reader: &mut BufReader<TcpStream>,
    mut on_piece: impl FnMut(&[u8]),
) -> io::Result<Answer> {
    let head = read_head(reader)?.ok_or_else(|| io::Error::other("no answer"))?;
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, head, ..Answer::default() };
    let chunked = answer.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    let length = answer.header("content-length").and_then(|v| v.parse::<usize>().ok());
    let mut buffer = [0; 16 << 10];
    if chunked {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size).unwrap_or(0) == 0 {
                return Ok(answer);
            }
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return Ok(answer) };
            let mut piece = vec![0; size + 2];
            if reader.read_exact(&mut piece).is_err() {
                return Ok(answer);
            }
            if size == 0 {
                answer.whole = true;
                return Ok(answer);
            }
            on_piece(&piece[..size]);
            answer.body.extend_from_slice(&piece[..size]);
        }
    }
    loop {
        if length.is_some_and(|length| answer.body.len() >= length) {
            answer.whole = true;
            return Ok(answer);
        }
        match reader.read(&mut buffer) {
            Ok(0) => {
                answer.whole = length.is_none();
                return Ok(answer);
            }
            Ok(n) => {
                on_piece(&buffer[..n]);
                answer.body.extend_from_slice(&buffer[..n]);
            }
            Err(_) => return Ok(answer),
        }
    }
}

/// Sends `request` on a new connection and reads the answer.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream), |_| {})
}

/// Writes an object to the store.
pub fn put(store: SocketAddr, kind: &str, name: &str, spec: &str) -> io::Result<u16> {
    let body = format!(r#"{{"meta":{{"name":"{name}"}},"spec":{spec}}}"#);
    let request = format!(
        "PUT /-/objects/{kind}/{name} HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    Ok(call(store, request.as_bytes(), Duration::from_secs(2))?.status)
}

/// Head lines that each request of a client has.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n"
    )
}

/// Processes, folder and record of a script.
pub struct Site {
    pub folder: PathBuf,
    pub record: Arc<Mutex<File>>,
    pub begun: Instant,
    children: Vec<(String, Child)>,
    pub store: SocketAddr,
    pub trouble: bool,
}

/// Addresses of an entry VM.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub pid: u32,
}

impl Site {
    /// Starts the store. The record is written to `record.txt` in the case's folder.
    pub fn start(case: &Path) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let record = File::create(case.join("record.txt")).unwrap();
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let store = free_address();
        let mut site = Self {
            folder,
            record: Arc::new(Mutex::new(record)),
            begun: Instant::now(),
            children: Vec::new(),
            store,
            trouble,
        };
        let listen = store.to_string();
        let program = Path::new("target/release/qt-platform");
        site.spawn("store", Command::new(program).args(["store", "--listen", &listen]));
        site.wait("the store", Duration::from_secs(5), || TcpStream::connect(store).is_ok());
        site.note(&format!("site: trouble={trouble}"));
        site
    }

    /// Appends a line to the record.
    pub fn note(&self, line: &str) {
        note(&self.record, self.begun, line);
    }

    /// Starts a process whose output goes to a file of the folder; returns its id.
    pub fn spawn(&mut self, name: &str, command: &mut Command) -> u32 {
        let log = File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let errors = log.try_clone().unwrap();
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let Ok(child) = child else {
            self.note(&format!("{name} can't be started: the build is missing"));
            self.end(2);
        };
        let pid = child.id();
        self.children.push((name.to_owned(), child));
        pid
    }

    /// Starts this program as a stand-in.
    pub fn standin(&mut self, name: &str, arguments: &[String]) -> u32 {
        let own = std::env::current_exe().unwrap();
        self.spawn(name, Command::new(own).args(arguments))
    }

    /// Starts an entry VM by the command of the deploy file, with settings as its template has them.
    pub fn entry(&mut self, name: &str, zone: &str, max_fds: u32) -> Entry {
        let [callers, ready, entries, peers, operators] = [(); 5].map(|()| free_address());
        let settings = format!(
            r#"{{"name":"{name}","zone":"{zone}","caller_address":"{callers}",
"ready_address":"{ready}","entries_address":"{entries}","peer_address":"{peers}",
"operator_address":"{operators}","store_address":"{}","peer_seeds":["{peers}"],
"bounds":{{"grace_s":8,"entries_lifetime_s":5,"reuse_after_s":2,"recovery_ms":3000,
"retry_ratio":0.8,"retry_slack":150}}}}"#,
            self.store
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).unwrap();
        // The number of descriptors is that of the machine; the shell becomes the program.
        let script = format!("ulimit -n {max_fds}; exec target/release/qt-entry");
        let mut command = Command::new("sh");
        command.args(["-c", &script]).env("QUETZALTILLER_SETTINGS", &path);
        let pid = self.spawn(name, &mut command);
        Entry { callers, ready, pid }
    }

    /// Waits until an entry VM is ready.
    pub fn wait_ready(&mut self, entry: Entry) {
        self.wait("the entry VM", Duration::from_secs(15), || {
            let request = b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            call(entry.ready, request, Duration::from_secs(1)).is_ok_and(|a| a.status == 200)
        });
    }

    /// Waits for a condition; the case can't run without it.
    pub fn wait(&mut self, what: &str, limit: Duration, is_met: impl Fn() -> bool) {
        let end = Instant::now() + limit;
        while !is_met() {
            if Instant::now() > end {
                self.note(&format!("{what} is not ready in time"));
                self.end(2);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&mut self, pid: u32) -> bool {
        let child = self.children.iter_mut().find(|(_, child)| child.id() == pid);
        child.is_none_or(|(_, child)| !matches!(child.try_wait(), Ok(None)))
    }

    /// Kills a process that this script started.
    pub fn kill(&mut self, pid: u32) {
        if let Some((_, child)) = self.children.iter_mut().find(|(_, child)| child.id() == pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Appends what the stand-ins have run to the record.
    fn record_runs(&self) {
        for (name, _) in &self.children {
            let log = fs::read_to_string(self.folder.join(format!("{name}.log")));
            let log = log.unwrap_or_default();
            for run in log.lines().filter(|line| line.starts_with("run ")) {
                let _ = writeln!(self.record.lock().unwrap(), "{run}");
            }
        }
    }

    /// Ends all processes and the script.
    pub fn end(&mut self, status: i32) -> ! {
        self.note(&format!("end: exit status {status}"));
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record_runs();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
        std::process::exit(status);
    }
}

/// Appends a line with the time since the start to a record.
pub fn note(record: &Mutex<File>, begun: Instant, line: &str) {
    let line = format!("{:8.3} {line}\n", begun.elapsed().as_secs_f64());
    print!("{line}");
    let _ = record.lock().unwrap().write_all(line.as_bytes());
}

/// Configuration of a small deployment, as the operator writes it.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, timeout: u64, goal: u64| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","type":"{kind}",
"timeout_ms":{timeout},"goal_ms":{goal},"priority":1,"service":"{service}","attempts":{attempts},
"public":false,"sticky":{},"resumable":{},"itl_target_ms":700}}"#,
            kind == "streaming",
            kind == "streaming"
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{},{}],
"services":[{{"name":"draft-models","health_path":"/healthz","max_conns":370,"proto":"h1","tls":false,
"backend":{{"slots":64,"kv_cap":88000,"kv_bytes":18432,"link_mbps":370000.0,"moves":true,
"backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"ref_ttl_s":4.0,
"models":[{{"name":"m"}}]}}}},
{{"name":"order-desk","health_path":"/healthz","max_conns":110,"proto":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}},
"tenants":[{{"name":"roskilde","api_keys":["{KEY}"],"priority":1}}]}}"#,
        route("draft", "streaming", "draft-models", 5, 25_000, 4_500),
        route("commit", "unsafe", "order-desk", 1, 1_200, 150),
        route("status", "safe", "order-desk", 2, 1_200, 150),
    )
}
