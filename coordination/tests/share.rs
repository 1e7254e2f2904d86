//! Several processes share a limit while heartbeats are delayed and members fail and recover.

use coordination::share::{Shares, Usage};
use rstest::rstest;
use std::collections::VecDeque;

const LIMIT: u32 = 40;
const STEPS: u64 = 20_000;
/// Steps between two heartbeats of a process.
const PERIOD: u64 = 20;
/// Steps that a heartbeat takes to arrive.
const DELAY: u64 = 5;
/// Steps for which an acquired unit is held.
const HOLD: u64 = 60;

/// Small repeatable random number generator; the quality of its distribution doesn't matter here.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

struct Process {
    name: String,
    shares: Shares,
    alive: bool,
    held: VecDeque<u64>,
    inbox: VecDeque<(u64, String, Usage)>,
}

fn processes(count: usize) -> Vec<Process> {
    let names: Vec<_> = (0..count).map(|index| format!("vm-{index}")).collect();
    let process = |name: &String| {
        let others: Vec<_> = names.iter().filter(|other| *other != name).cloned().collect();
        let mut shares = Shares::default();
        shares.set_members(&others, &others);
        let name = name.clone();
        Process { name, shares, alive: true, held: VecDeque::new(), inbox: VecDeque::new() }
    };
    names.iter().map(process).collect()
}

/// Runs the simulation; returns the largest sum of units held and the mean of the sums.
fn run(members: usize, seed: u64, skewed: bool) -> (u32, f64) {
    let mut random = Random(seed);
    let mut all = processes(members);
    let (mut max_sum, mut total) = (0, 0u64);
    for now in 0..STEPS {
        for index in 0..members {
            let demand = if skewed && index == 0 { 4 } else { random.below(3) };
            let process = &mut all[index];
            while process.inbox.front().is_some_and(|(at, ..)| *at <= now) {
                let (_, from, usage) = process.inbox.pop_front().unwrap();
                process.shares.record_usage(&from, usage);
            }
            while process.held.front().is_some_and(|until| *until <= now) {
                process.held.pop_front();
                process.shares.release("account");
            }
            for _ in 0..demand {
                if process.alive && process.shares.may_acquire("account", LIMIT) {
                    process.shares.acquire("account");
                    process.held.push_back(now + HOLD);
                }
            }
            if (now + index as u64 * 3).is_multiple_of(PERIOD) {
                send_heartbeat(&mut all, index, now);
            }
        }
        if random.below(900) == 0 {
            let index = random.below(members as u64) as usize;
            all[index].alive = !all[index].alive;
        }
        let sum: u32 = all.iter().map(|process| process.held.len() as u32).sum();
        max_sum = max_sum.max(sum);
        total += u64::from(sum);
    }
    (max_sum, total as f64 / STEPS as f64)
}

/// Sends a heartbeat of one process if it is alive, and updates the others' lists of members. A
/// dead process stays known to them.
fn send_heartbeat(all: &mut [Process], index: usize, now: u64) {
    let known: Vec<_> = all.iter().map(|p| p.name.clone()).collect();
    let alive: Vec<_> = all.iter().filter(|p| p.alive).map(|p| p.name.clone()).collect();
    let (name, usage) = (all[index].name.clone(), all[index].shares.local_usage().clone());
    let sender_alive = all[index].alive;
    for other in all.iter_mut().filter(|other| other.name != name) {
        let without_self = |names: &[String]| -> Vec<String> {
            names.iter().filter(|name| **name != other.name).cloned().collect()
        };
        let (known, alive) = (without_self(&known), without_self(&alive));
        other.shares.set_members(&known, &alive);
        if sender_alive {
            other.inbox.push_back((now + DELAY, name.clone(), usage.clone()));
        }
    }
}

#[rstest]
fn sum_of_usage_stays_within_limit_plus_slack(#[values(2, 4, 8)] members: usize) {
    for seed in 1..=20 {
        let (max_sum, _) = run(members, seed, seed % 2 == 0);

        let max_allowed = LIMIT + Shares::slack(LIMIT, members as u32);
        assert!(max_sum <= max_allowed, "seed {seed}: {max_sum} over {max_allowed}");
    }
}

#[test]
fn single_user_gets_nearly_the_whole_limit() {
    let mut shares = Shares::default();
    let others = ["b".to_owned(), "c".to_owned(), "d".to_owned()];
    shares.set_members(&others, &others);

    for _ in 0..100 {
        if shares.may_acquire("account", LIMIT) {
            shares.acquire("account");
        }
        others.iter().for_each(|other| shares.record_usage(other, Usage::new()));
    }

    assert!(shares.local_usage()["account"] >= LIMIT * 9 / 10);
}
