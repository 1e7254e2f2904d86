//! Stand-in of a replica: a model replica that streams events, or a plain one.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Server {
    id: String,
    service: String,
    events: u32,
    gap: Duration,
    work: Duration,
    /// Answers have neither a length nor chunks and end with their channel.
    unframed: bool,
    /// Percentage of the requests that fail with 503 after they have run, while the status check is
    /// good, and for how long.
    failing: u64,
    failing_for: Duration,
    started: Instant,
    born: u128,
    active: AtomicU32,
    record: Record,
}

pub fn run() {
    let address: SocketAddr = option("listen").expect("--listen").parse().expect("address");
    let listener = TcpListener::bind(address).unwrap_or_else(|r| unable(&format!("{address}: {r}")));
    let number = |name: &str, default: u32| option(name).and_then(|v| v.parse().ok()).unwrap_or(default);
    let server = Arc::new(Server {
        id: option("id").expect("--id"),
        service: option("service").expect("--service"),
        events: number("events", 0),
        gap: millis("gap-ms", 60),
        work: millis("work-ms", 30),
        unframed: option("unframed").is_some(),
        failing: u64::from(number("failing", 0)),
        failing_for: millis("failing-ms", 0),
        started: Instant::now(),
        born: now_ms(),
        active: AtomicU32::new(0),
        record: Record::open(&option("record").expect("--record")),
    });
    let store: SocketAddr = option("store").expect("--store").parse().expect("store");
    let (zone, first) = (option("zone").unwrap_or("a".into()), millis("first-beat-ms", 0));
    let registering = server.clone();
    std::thread::spawn(move || register(&registering, address, store, &zone, first));
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        std::thread::spawn(move || serve(stream, &server));
    }
}

/// Writes the registration with each heartbeat.
fn register(server: &Server, address: SocketAddr, store: SocketAddr, zone: &str, first: Duration) {
    std::thread::sleep(first);
    for seq in 0.. {
        let body = format!(
            "{{\"meta\":{{\"name\":\"{id}\"}},\"spec\":{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{born}}}}}",
            id = server.id, service = server.service, born = server.born
        );
        let path = format!("/-/objects/servers/{}", server.id);
        let _ = call(store, "PUT", &path, "", &body, Duration::from_secs(1));
        if seq == 0 {
            server.record.line(&format!("registered {} ({}) at {address}", server.id, server.service));
        }
        std::thread::sleep(Duration::from_millis(1_200));
    }
}

fn serve(stream: TcpStream, server: &Server) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let (_, complete) = read_body(&mut reader, &head, false);
        if !complete || !answer(&head, &mut output, server) {
            return;
        }
    }
}

/// Answers a request; returns whether the channel stays open.
fn answer(head: &Head, output: &mut TcpStream, server: &Server) -> bool {
    let path = head.line.split(' ').nth(1).unwrap_or("").to_owned();
    let own = format!("X-Replica-Id: {}\r\n", server.id);
    let whole = |status: u16, headers: &str, body: &str| {
        format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
    };
    let simple = match path.as_str() {
        "/healthz" => Some(whole(200, &own, "")),
        "/-/report" if server.events > 0 => {
            let body = format!(
                "{{\"phase\":\"mixed\",\"models\":[{{\"name\":\"m\",\"version\":1,\"loras\":[]}}],\"busy\":false,\"seq\":0,\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":88000,\"refs\":0,\"runs\":[],\"born\":{}}}",
                server.active.load(Ordering::Relaxed), server.born
            );
            Some(whole(200, "Content-Type: application/json\r\n", &body))
        }
        "/-/kv-list" if server.events > 0 => {
            Some(whole(200, "Content-Type: application/json\r\n", "{\"epoch\":1,\"next\":1,\"held\":[]}"))
        }
        _ if path.starts_with("/-/") => Some(whole(404, "", "")),
        _ => None,
    };
    if let Some(text) = simple {
        return output.write_all(text.as_bytes()).is_ok();
    }
    let id = head.get("x-attempt-id").unwrap_or("").to_owned();
    let ids = format!("X-Attempt-Id: {id}\r\n");
    if head.get("x-expect-replica").is_some_and(|expected| expected != server.id) {
        return output.write_all(whole(421, &ids, "").as_bytes()).is_ok();
    }
    server.record.line(&format!(
        "run {id} {path} by {} ({}) last-event {}",
        server.id, server.service, head.get("last-event-id").unwrap_or("-")
    ));
    let seal = format!("X-Replica-Seal: {}.{id}\r\n", server.id);
    server.active.fetch_add(1, Ordering::Relaxed);
    let kept = if server.events == 0 {
        std::thread::sleep(server.work);
        if server.started.elapsed() < server.failing_for && draw(&id) % 100 < server.failing {
            server.active.fetch_sub(1, Ordering::Relaxed);
            server.record.line(&format!("{} fails {id} with 503 after it has run", server.id));
            return output.write_all(whole(503, &format!("{ids}{seal}"), "").as_bytes()).is_ok();
        }
        let body = format!("done {id}");
        output.write_all(whole(200, &format!("{ids}{seal}"), &body).as_bytes()).is_ok()
    } else {
        stream_events(head, output, server, &format!("{ids}{seal}"))
    };
    server.active.fetch_sub(1, Ordering::Relaxed);
    kept
}

fn stream_events(head: &Head, output: &mut TcpStream, server: &Server, headers: &str) -> bool {
    let next = head.get("last-event-id").and_then(|v| v.parse::<u32>().ok()).map_or(0, |n| n + 1);
    let framing = if server.unframed { "Connection: close\r\n" } else { "Transfer-Encoding: chunked\r\n" };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}{framing}\r\n");
    if output.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in next..server.events {
        std::thread::sleep(server.gap);
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let text = if server.unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
        if output.write_all(text.as_bytes()).is_err() {
            return false;
        }
    }
    !server.unframed && output.write_all(b"0\r\n\r\n").is_ok()
}

/// Number that depends on a text alone.
fn draw(text: &str) -> u64 {
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    hash >> 20
}
