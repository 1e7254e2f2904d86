//! Stand-in of the platform's store: objects, watches, expiry of registrations.

use crate::common::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Silence after which a registration of a server is removed: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(3_600);

struct Change {
    revision: u64,
    kind: String,
    object: String,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Object and specification by kind and name.
    objects: BTreeMap<(String, String), (String, String)>,
    written: BTreeMap<String, Instant>,
    changes: Vec<Change>,
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if kind == "servers" {
            self.written.insert(name.to_owned(), Instant::now());
        }
        if let Some((object, known)) = self.objects.get(&key) {
            if known == spec {
                return object.clone();
            }
        }
        self.revision += 1;
        let object = object(name, self.revision, spec);
        self.objects.insert(key, (object.clone(), spec.to_owned()));
        self.record(kind, &object, false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some((object, _)) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.record(kind, &object, true);
        }
    }

    fn record(&mut self, kind: &str, object: &str, deleted: bool) {
        let change =
            Change { revision: self.revision, kind: kind.into(), object: object.into(), deleted };
        self.changes.push(change);
    }

    fn events(&self, kind: &str, since: u64) -> Vec<String> {
        let newer = self.changes.iter().filter(|c| c.kind == kind && c.revision > since);
        newer.map(|c| format!("{{\"object\":{},\"deleted\":{}}}", c.object, c.deleted)).collect()
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":0,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{{}}}}"
    )
}

type Shared = Arc<(Mutex<State>, Condvar)>;

pub fn run() {
    let listener = TcpListener::bind(option("listen").expect("--listen")).expect("listen");
    let shared: Shared = Arc::default();
    shared.0.lock().unwrap().revision = 7;
    let expiring = shared.clone();
    std::thread::spawn(move || loop {
        std::thread::sleep(Duration::from_millis(50));
        let mut state = expiring.0.lock().unwrap();
        let expired: Vec<_> = state
            .written
            .iter()
            .filter(|(_, at)| at.elapsed() > EXPIRY)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            state.written.remove(&name);
            state.remove("servers", &name);
            expiring.1.notify_all();
        }
    });
    for stream in listener.incoming().flatten() {
        let shared = shared.clone();
        std::thread::spawn(move || serve(stream, &shared));
    }
}

fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(mut output) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let (body, complete) = read_body(&mut reader, &head, false);
        if !complete {
            return;
        }
        let (status, answer) = handle(&head, &String::from_utf8_lossy(&body), shared);
        let text = format!(
            "HTTP/1.1 {status} S\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{answer}",
            answer.len()
        );
        if output.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn handle(head: &Head, body: &str, shared: &Shared) -> (u16, String) {
    let mut words = head.line.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let Some(path) = path.strip_prefix("/-/objects/") else { return (404, "{}".into()) };
    let (kind, name) = path.split_once('/').unwrap_or((path, ""));
    let number = |key: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(k, _)| *k == key).and_then(|(_, v)| v.parse::<u64>().ok())
    };
    let (lock, changed) = &**shared;
    let mut state = lock.lock().unwrap();
    match method {
        "GET" if name.is_empty() => match number("watch") {
            None => {
                let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
                let items: Vec<_> = of_kind.map(|(_, (object, _))| object.clone()).collect();
                let (items, revision) = (items.join(","), state.revision);
                (200, format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"))
            }
            Some(since) => {
                let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                loop {
                    let events = state.events(kind, since);
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
        },
        "GET" => match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((object, _)) => (200, object.clone()),
            None => (404, "{}".into()),
        },
        "POST" | "PUT" => {
            let meta = member(body, "meta").unwrap_or("{}");
            let named = text_member(meta, "name").unwrap_or_default();
            let name = if name.is_empty() { named } else { name.to_owned() };
            let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
            if let (Some((object, _)), "POST") = (&known, method) {
                return (409, object.clone());
            }
            let expected = member(meta, "revision").and_then(|text| text.parse::<u64>().ok());
            if let (Some(expected), Some((object, _))) = (expected, &known) {
                let held = member(object, "meta").and_then(|meta| member(meta, "revision"));
                if held.and_then(|text| text.parse().ok()) != Some(expected) {
                    return (409, object.clone());
                }
            }
            let spec = member(body, "spec").unwrap_or("{}").to_owned();
            let object = state.write(kind, &name, &spec);
            changed.notify_all();
            (200, object)
        }
        "DELETE" => {
            state.remove(kind, name);
            changed.notify_all();
            (200, "{}".into())
        }
        _ => (405, "{}".into()),
    }
}
