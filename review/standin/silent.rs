//! The channels of all entry VMs to the store go silent for good, while new ones work. A config that
//! is written after that has to be in force in time.

use crate::common::*;
use crate::site::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Bounds of the sheet.
const TOUCH: Duration = Duration::from_millis(3_000);
const CONFIG: Duration = Duration::from_millis(2_000);

pub fn run() {
    let mut site = Site::start();
    site.server("draft-0", "drafts", free_address(), &["--events", "20"]);
    for number in 0..3 {
        site.server(&format!("desk-{number}"), "desk", free_address(), &[]);
    }
    std::thread::sleep(Duration::from_millis(700));
    let silenced = Arc::new(AtomicBool::new(false));
    let proxies: Vec<_> = (0..4).map(|_| proxy(site.store, silenced.clone())).collect();
    site.entries(&proxies);
    let store = site.store;
    // Version 4 has the route /before/; the entry VMs' watches begin anew with it.
    std::thread::sleep(SECOND);
    let before = format!(",{}", route("before", "safe", "desk", 2, 1_200));
    if configure(store, 4, &before).is_err() {
        unable("the config was not written");
    }
    let has_before = |entry: &Entry| ask(&site.record, entry.callers, "before", 0) == 200;
    if !wait_until(5 * SECOND, || site.entries.iter().all(has_before)) {
        unable("the config did not come into force");
    }
    if trouble() {
        site.record.line("all open channels to the store go silent");
        silenced.store(true, Ordering::Relaxed);
    }
    // The machines are in touch again, and the store is sound all the while.
    std::thread::sleep(TOUCH + SECOND);
    let after = format!(",{}", route("after", "safe", "desk", 2, 1_200));
    if configure(store, 7, &after).is_err() {
        unable("the config was not written");
    }
    let acknowledged = Instant::now();
    site.record.line("version 7 is acknowledged: /before/ is removed, /after/ is added");
    sleep_until(acknowledged + CONFIG + Duration::from_millis(100));
    let mut broken = Vec::new();
    for round in 1..=30 {
        for entry in &site.entries {
            let (removed, added) =
                (ask(&site.record, entry.callers, "before", round), ask(&site.record, entry.callers, "after", round));
            let late = acknowledged.elapsed().as_millis();
            if removed == 200 || added == 404 {
                broken.push(format!(
                    "CONFIG: {late} ms after its acknowledgement, version 7 is not in force at {}: /before/ {removed}, /after/ {added}",
                    entry.callers
                ));
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    verdict(site, &broken)
}

fn ask(record: &Record, to: SocketAddr, route: &str, round: u32) -> u16 {
    let id = format!("{route}-{round}-{}", to.ip());
    record.line(&format!("client sends {id} /{route}/a"));
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 2500\r\n");
    let answer = call(to, "GET", &format!("/{route}/a"), &headers, "", 5 * SECOND);
    let status = answer.map_or(0, |(head, ..)| head.status());
    record.line(&format!("client gets {status} for {id}"));
    status
}

/// Starts a proxy before `target`. Connections that are open when `silenced` is set carry nothing
/// from then on, and stay open; later ones work.
fn proxy(target: SocketAddr, silenced: Arc<AtomicBool>) -> SocketAddr {
    let address = free_address();
    let listener = TcpListener::bind(address).expect("listen");
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let is_old = !silenced.load(Ordering::Relaxed);
            for (from, to) in [(&near, &far), (&far, &near)] {
                let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                let silenced = silenced.clone();
                std::thread::spawn(move || copy(from, to, || is_old && silenced.load(Ordering::Relaxed)));
            }
        }
    });
    address
}

fn copy(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let mut bytes = [0; 16_384];
    loop {
        let read = from.read(&mut bytes);
        if is_silent() {
            // The channel stays open without a sign of life.
            std::thread::sleep(Duration::from_secs(600));
        }
        match read {
            Ok(length) if length > 0 && to.write_all(&bytes[..length]).is_ok() => {}
            _ => {
                let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                return;
            }
        }
    }
}
