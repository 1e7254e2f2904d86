//! Model replicas whose answers end with their channel; one is killed in the middle of its streams.

use crate::common::*;
use crate::site::*;
use std::time::{Duration, Instant};

const EVENTS: u32 = 100;
/// Model replicas, of which one crashes: a share of 0.167.
const REPLICAS: usize = 6;

pub fn run() {
    let mut site = Site::start();
    let engine = ["--events", "100", "--gap-ms", "50", "--unframed", "1"];
    let crashing = site.server("draft-0", "drafts", free_address(), &engine);
    for number in 1..REPLICAS {
        site.server(&format!("draft-{number}"), "drafts", free_address(), &engine);
    }
    site.server("desk-1", "desk", free_address(), &[]);
    std::thread::sleep(Duration::from_millis(700));
    let store = site.store;
    site.entries(&[store; 4]);
    std::thread::sleep(2 * SECOND);
    let addresses: Vec<_> = site.entries.iter().map(|entry| entry.callers).collect();
    let start = Instant::now();
    let mut clients = Vec::new();
    for number in 0..72_u64 {
        let (record, address) = (site.record.clone(), addresses[number as usize % addresses.len()]);
        clients.push(std::thread::spawn(move || {
            at(start, number * 30);
            (number, draft(&record, address, &format!("draft-request-{number}")))
        }));
    }
    at(start, 2_500);
    if trouble() {
        site.record.line("draft-0 crashes");
        site.processes.kill(crashing);
    }
    let mut broken = Vec::new();
    for client in clients {
        let Ok((number, Some(draft))) = client.join() else { continue };
        let whole = draft.events.iter().copied().eq(0..EVENTS);
        if draft.status == 200 && draft.complete && !whole {
            broken.push(format!(
                "ORDER: draft-request-{number} ended as complete after {} of {EVENTS} events",
                draft.events.len()
            ));
        }
    }
    verdict(site, &broken)
}
