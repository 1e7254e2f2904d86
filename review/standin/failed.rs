//! A replica of the desk fails part of its orders with 503 after they have run, and doesn't state that
//! they have not run. No client may be told by a 503 that its order has not run.

use crate::common::*;
use crate::site::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Replicas of the desk, of which one fails requests: a share of 0.143.
const DESKS: usize = 7;

pub fn run() {
    let mut site = Site::start();
    site.server("draft-0", "drafts", free_address(), &["--events", "20"]);
    let failing = ["--failing", "45", "--failing-ms", "9500"];
    site.server("desk-0", "desk", free_address(), if trouble() { &failing } else { &[] });
    for number in 1..DESKS {
        site.server(&format!("desk-{number}"), "desk", free_address(), &[]);
    }
    std::thread::sleep(Duration::from_millis(700));
    let store = site.store;
    site.entries(&[store; 4]);
    std::thread::sleep(2 * SECOND);
    let addresses: Vec<_> = site.entries.iter().map(|entry| entry.callers).collect();
    let start = Instant::now();
    let mut clients = Vec::new();
    for number in 0..250_u64 {
        let (record, address) = (site.record.clone(), addresses[number as usize % addresses.len()]);
        clients.push(std::thread::spawn(move || {
            at(start, number * 25);
            // A client repeats an order once, and only after a promise that it has not run.
            let status = order(&record, address, number, 1);
            if matches!(status, 408 | 421 | 429 | 503) {
                order(&record, address, number, 2);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let record = std::fs::read_to_string(&site.record_path).unwrap_or_default();
    let mut broken = Vec::new();
    for line in record.lines().filter(|line| line.contains("promises that")) {
        let word = line.split(' ').find(|word| word.starts_with("order-")).unwrap_or_default();
        let id = word.trim_end_matches(',');
        if record.lines().any(|run| run.contains(&format!("run {id} "))) {
            broken.push(format!("REFUSED: {line}, but it ran"));
        }
    }
    verdict(site, &broken)
}

fn order(record: &Record, to: SocketAddr, number: u64, attempt: u32) -> u16 {
    let id = format!("order-{number}-attempt-{attempt}");
    record.line(&format!("client sends {id} /order/a"));
    let headers = format!("X-Attempt-Id: {id}\r\nX-Deadline-Ms: 2500\r\n");
    let answer = call(to, "POST", "/order/a", &headers, &format!("{{\"order\":{number}}}"), 10 * SECOND);
    let Ok((head, ..)) = answer else {
        record.line(&format!("client gets no answer to {id}"));
        return 0;
    };
    let status = head.status();
    let promise = if matches!(status, 408 | 421 | 429 | 503) { ", which promises that it has not run" } else { "" };
    record.line(&format!("client gets {status} for {id}{promise}"));
    status
}
