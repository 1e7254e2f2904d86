//! An entry VM freezes; meanwhile a model replica crashes, and its address goes to a replica of
//! the desk. No draft may run there.

use crate::common::*;
use crate::site::*;
use std::time::{Duration, Instant};

/// Model replicas, of which one is lost: a share of 0.143.
const ENGINES: usize = 7;
const DESKS: usize = 3;

pub fn run() {
    let mut site = Site::start();
    let engine = ["--events", "140", "--gap-ms", "40"];
    let lost = free_address();
    let crashing = site.server("draft-0", "drafts", lost, &engine);
    for number in 1..ENGINES {
        site.server(&format!("draft-{number}"), "drafts", free_address(), &engine);
    }
    for number in 0..DESKS {
        site.server(&format!("desk-{number}"), "desk", free_address(), &[]);
    }
    std::thread::sleep(Duration::from_millis(700));
    let store = site.store;
    site.entries(&[store; 4]);
    std::thread::sleep(2 * SECOND);
    let (frozen, address) = (site.entries[0].process, site.entries[0].callers);

    // Drafts at the entry VM, from before the trouble until its end.
    let start = Instant::now();
    let mut clients = Vec::new();
    for number in 0..120_u64 {
        let record = site.record.clone();
        clients.push(std::thread::spawn(move || {
            at(start, number * 60);
            draft(&record, address, &format!("draft-request-{number}"));
        }));
    }
    at(start, 1_500);
    if trouble() {
        site.record.line("edge-0 freezes");
        signal(frozen, "STOP");
        at(start, 2_500);
        site.record.line("draft-0 crashes");
        site.processes.kill(crashing);
        let crashed = Instant::now();
        at(crashed, 1_700);
        site.record.line("edge-0 wakes");
        signal(frozen, "CONT");
        // The address may be assigned again 2 s after the replica's end.
        at(crashed, 2_050);
        site.record.line(&format!("desk-new starts at {lost}, the address of draft-0"));
        site.server("desk-new", "desk", lost, &["--first-beat-ms", "400"]);
    }
    for client in clients {
        let _ = client.join();
    }
    let record = std::fs::read_to_string(&site.record_path).unwrap_or_default();
    let is_foreign = |line: &&str| line.contains("/draft/") && line.contains("(desk)");
    let broken: Vec<_> = record.lines().filter(is_foreign).map(|line| format!("ROUTE: {line}")).collect();
    if !record.contains("by draft-0") {
        unable("no draft ran at draft-0 before the trouble");
    }
    verdict(site, &broken)
}
