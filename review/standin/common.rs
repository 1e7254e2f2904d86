//! Small HTTP and process helpers of the review's stand-ins; standard library only.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Message head: first line and headers with lower-case names.
pub struct Head {
    pub line: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut field = String::new();
        if reader.read_line(&mut field)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let field = field.trim_end();
        if field.is_empty() {
            break;
        }
        if let Some((name, value)) = field.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    Ok(Some(Head { line: line.trim_end().to_owned(), headers }))
}

/// Body of a message; `to_end` if it may end with the connection. Returns whether it is complete.
pub fn read_body(reader: &mut impl BufRead, head: &Head, to_end: bool) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let mut size = String::new();
            if !matches!(reader.read_line(&mut size), Ok(n) if n > 0) {
                return (body, false);
            }
            let Ok(size) = usize::from_str_radix(size.trim().split(';').next().unwrap_or(""), 16) else {
                return (body, false);
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = head.get("content-length").and_then(|v| v.parse::<usize>().ok()) {
        body.resize(length, 0);
        let complete = reader.read_exact(&mut body).is_ok();
        return (body, complete);
    }
    if to_end {
        let complete = reader.read_to_end(&mut body).is_ok();
        return (body, complete);
    }
    (body, true)
}

/// One call on a connection of its own.
pub fn call(to: SocketAddr, method: &str, path: &str, headers: &str, body: &str, limit: Duration)
    -> io::Result<(Head, Vec<u8>, bool)> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: review.example\r\nConnection: close\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let (body, complete) = read_body(&mut reader, &head, true);
    Ok((head, body, complete))
}

/// Raw JSON text of a top-level member of an object.
pub fn member<'a>(json: &'a str, key: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let (mut at, mut depth, mut start) = (0, 0, None);
    let wanted = format!("\"{key}\"");
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let from = at;
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                let name = json.get(from..=at)?;
                if depth == 1 && start.is_none() && name == wanted {
                    let rest = json.get(at + 1..)?;
                    let skipped = rest.len() - rest.trim_start().len();
                    if rest.trim_start().starts_with(':') {
                        start = Some(at + 1 + skipped + 1);
                        at += skipped + 1;
                    }
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 && start.is_some() {
                    return json.get(start?..at).map(str::trim);
                }
            }
            b',' if depth == 1 && start.is_some() => return json.get(start?..at).map(str::trim),
            _ => {}
        }
        at += 1;
    }
    None
}

pub fn text_member(json: &str, key: &str) -> Option<String> {
    Some(member(json, key)?.trim_matches('"').to_owned())
}

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis())
}

/// Record of what was sent, answered and run; lines of all processes are appended to one file.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn open(path: &str) -> Self {
        let file = OpenOptions::new().create(true).append(true).open(path).expect("record file");
        Self(Arc::new(Mutex::new(file)))
    }

    pub fn line(&self, text: &str) {
        let line = format!("{} {text}\n", now_ms());
        let _ = self.0.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Free loopback address, in a network that depends on this process, so that cases that run at the
/// same time and the local ports of connections don't get in the way.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let process = std::process::id();
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let octets = [127, 1 + (process % 250) as u8, (process / 250 % 250) as u8, 1 + (number % 250) as u8];
        let address = SocketAddr::from((octets, 18_080));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
        if number > 1_000 {
            unable("no free address");
        }
    }
}

/// Processes that are ended when this is dropped.
#[derive(Default)]
pub struct Processes(Vec<Child>);

impl Processes {
    /// Starts a program, with the path of its settings file if it has one.
    pub fn start(&mut self, program: &str, arguments: &[String], log: &str, settings: &str) -> u32 {
        let output = File::create(log).expect("log");
        let child = Command::new(program)
            .args(arguments)
            .env("QUETZALTILLER_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("log"))
            .stderr(output)
            .spawn()
            .unwrap_or_else(|reason| unable(&format!("{program}: {reason}")));
        let id = child.id();
        self.0.push(child);
        id
    }

    /// Ends a process at once and waits for its end.
    pub fn kill(&mut self, id: u32) {
        if let Some(child) = self.0.iter_mut().find(|child| child.id() == id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Sends a signal by name, such as STOP or CONT.
pub fn signal(id: u32, name: &str) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).status();
}

/// Ends the program: the case could not run.
pub fn unable(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2)
}

pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Value of an option `--name value`.
pub fn option(name: &str) -> Option<String> {
    let mut arguments = std::env::args().skip_while(|argument| *argument != format!("--{name}"));
    arguments.nth(1)
}

pub fn millis(name: &str, default: u64) -> Duration {
    Duration::from_millis(option(name).and_then(|v| v.parse().ok()).unwrap_or(default))
}
