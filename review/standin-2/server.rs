//! Stand-in of a replica of a plain service or of an engine.
//!
//! It does what `PROTOCOL.md` says of replicas: it registers itself, answers its health check and
//! report, runs a request only if it is the replica that the request expects, and echoes the id.

use crate::common::{header, put, read_head, unix_ms};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Arguments of a stand-in.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    /// Events of a stream; 0 for a plain service.
    pub events: u32,
    /// Pause between two events, or between two pieces of a plain answer.
    pub pause: Duration,
    /// Answers have neither a length nor chunks and end with their connection.
    pub unframed: bool,
    born: u64,
    active: AtomicU32,
}

impl Server {
    /// Reads the arguments `id service zone address store events pause_ms framed|unframed`.
    pub fn parse(arguments: &[String]) -> Self {
        Self {
            id: arguments[0].clone(),
            service: arguments[1].clone(),
            zone: arguments[2].clone(),
            address: arguments[3].parse().unwrap(),
            store: arguments[4].parse().unwrap(),
            events: arguments[5].parse().unwrap(),
            pause: Duration::from_millis(arguments[6].parse().unwrap()),
            unframed: arguments[7] == "unframed",
            born: unix_ms(),
            active: AtomicU32::new(0),
        }
    }

    /// Serves until the process is killed.
    pub fn run(self) -> ! {
        let server = Arc::new(self);
        let listener = TcpListener::bind(server.address).unwrap();
        let heartbeats = server.clone();
        std::thread::spawn(move || heartbeats.send_heartbeats());
        loop {
            if let Ok((stream, _)) = listener.accept() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        }
    }

    /// Writes the entry in the store each `heartbeat_ms` of the site.
    fn send_heartbeats(&self) {
        for seq in 0.. {
            let models = if self.events > 0 { r#"[{"name":"m","version":1,"loras":[]}]"# } else { "[]" };
            let spec = format!(
                r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{},"state":"ready",
"cold_left_ms":0,"phase":"mixed","models":{models},"seq":{seq},"born":{}}}"#,
                self.service,
                self.address,
                self.zone,
                if self.events > 0 { 64 } else { 6 },
                self.born
            );
            let _ = put(self.store, "servers", &self.id, &spec);
            // The project's store drops entries after 1.5 s.
            std::thread::sleep(Duration::from_millis(400));
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Ok(Some(head)) = read_head(&mut reader) {
            let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() || !self.answer(&head, &mut writer) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection stays open.
    fn answer(&self, head: &str, writer: &mut TcpStream) -> bool {
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let own = format!("X-Replica-Id: {}\r\n", self.id);
        let runs = self.active.load(Ordering::Relaxed);
        if path == "/healthz" {
            return respond(writer, "200 OK", &own, b"");
        }
        if path.starts_with("/-/report") {
            let body = format!(
                r#"{{"phase":"mixed","models":[{{"name":"m","version":1,"loras":[]}}],"busy":false,"seq":0,
"queued":0,"active":{runs},"kv_used":{},"kv_total":88000,"refs":0,"runs":[],"born":{}}}"#,
                runs * 8_000,
                self.born
            );
            return respond(writer, "200 OK", "Content-Type: application/json\r\n", body.as_bytes());
        }
        if path.starts_with("/-/kv-list") {
            let body = br#"{"epoch":1,"next":1,"held":[]}"#;
            return respond(writer, "200 OK", "Content-Type: application/json\r\n", body);
        }
        if path.starts_with("/-/") {
            return respond(writer, "404 Not Found", "", b"");
        }
        if header(head, "x-expect-replica").is_some_and(|id| id != self.id) {
            return respond(writer, "421 Misdirected Request", &own, b"");
        }
        let Some(id) = header(head, "x-attempt-id") else {
            return respond(writer, "400 Bad Request", "X-Not-Executed: 1\r\n", b"");
        };
        // A model that this replica doesn't serve.
        if self.events > 0 && header(head, "x-model").is_some_and(|model| model != "m") {
            let headers = format!("X-Attempt-Id: {id}\r\nX-Replica-Seal: seal.{}.{id}\r\n", self.id);
            return respond(writer, "404 Not Found", &headers, b"no such model");
        }
        // No copies of memory are kept, so a handle leads to none.
        if header(head, "kv-from").is_some() {
            let headers = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
            return respond(writer, "503 Service Unavailable", &headers, b"");
        }
        let tenant = header(head, "x-tenant").unwrap_or_default();
        println!("run {id} at {} {} {path} tenant {tenant:?}", self.id, unix_ms());
        self.active.fetch_add(1, Ordering::Relaxed);
        let headers = format!("X-Attempt-Id: {id}\r\nX-Replica-Seal: seal.{}.{id}\r\n", self.id);
        let keeps = if self.events > 0 {
            let last = header(head, "last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
            self.stream(writer, &headers, last)
        } else {
            self.plain(writer, &headers, &id)
        };
        self.active.fetch_sub(1, Ordering::Relaxed);
        keeps
    }

    fn stream(&self, writer: &mut TcpStream, headers: &str, last: u32) -> bool {
        std::thread::sleep(self.pause);
        let framing = if self.unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}{framing}\r\n\r\n"
        );
        let mut ok = writer.write_all(head.as_bytes()).is_ok();
        for number in last + 1..=self.events {
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(40));
            let piece =
                if self.unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
            ok = ok && writer.write_all(piece.as_bytes()).is_ok();
            if !ok {
                return false;
            }
            std::thread::sleep(self.pause);
        }
        !self.unframed && writer.write_all(b"0\r\n\r\n").is_ok()
    }

    fn plain(&self, writer: &mut TcpStream, headers: &str, id: &str) -> bool {
        let body = plain_body(id);
        let framing = if self.unframed {
            "Connection: close".to_owned()
        } else {
            format!("Content-Length: {}", body.len())
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n{headers}{framing}\r\n\r\n");
        let mut ok = writer.write_all(head.as_bytes()).is_ok();
        for piece in body.chunks(body.len() / 4) {
            ok = ok && writer.write_all(piece).is_ok();
            std::thread::sleep(self.pause);
        }
        ok && !self.unframed
    }
}

/// Whole answer of a plain service to the request `id`, of 800 bytes.
pub fn plain_body(id: &str) -> Vec<u8> {
    let mut body = format!("answer to {id}: ").into_bytes();
    body.resize(796, b'.');
    body.extend_from_slice(b"END\n");
    body
}

fn respond(writer: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    writer.write_all(&[head.as_bytes(), body].concat()).is_ok()
}
