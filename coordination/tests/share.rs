//! Several processes share a limit while news is late and members die and come back.

use coordination::share::{Shares, Usage};
use rstest::rstest;
use std::collections::VecDeque;

const LIMIT: u32 = 40;
const STEPS: u64 = 20_000;
/// Steps between heartbeats, and their age on arrival.
const PERIOD: u64 = 20;
const DELAY: u64 = 5;
const HOLD: u64 = 60;

/// A small repeatable generator, as no distribution matters here.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % sides
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

/// Runs and returns the largest sum in use and the mean of the sums.
fn run(members: usize, seed: u64, skewed: bool) -> (u32, f64) {
    let mut dice = Dice(seed);
    let mut all = processes(members);
    let (mut most, mut sums) = (0, 0u64);
    for now in 0..STEPS {
        for index in 0..members {
            let asks = if skewed && index == 0 { 4 } else { dice.roll(3) };
            let process = &mut all[index];
            while process.inbox.front().is_some_and(|(at, ..)| *at <= now) {
                let (_, from, usage) = process.inbox.pop_front().unwrap();
                process.shares.record_usage(&from, usage);
            }
            while process.held.front().is_some_and(|until| *until <= now) {
                process.held.pop_front();
                process.shares.release("account");
            }
            for _ in 0..asks {
                if process.alive && process.shares.may_acquire("account", LIMIT) {
                    process.shares.acquire("account");
                    process.held.push_back(now + HOLD);
                }
            }
            if (now + index as u64 * 3).is_multiple_of(PERIOD) {
                beat(&mut all, index, now);
            }
        }
        if dice.roll(900) == 0 {
            let index = dice.roll(members as u64) as usize;
            all[index].alive = !all[index].alive;
        }
        let sum: u32 = all.iter().map(|process| process.held.len() as u32).sum();
        most = most.max(sum);
        sums += u64::from(sum);
    }
    (most, sums as f64 / STEPS as f64)
}

/// Sends a heartbeat; a silent member is missed by the others but not forgotten.
fn beat(all: &mut [Process], index: usize, now: u64) {
    let known: Vec<_> = all.iter().map(|p| p.name.clone()).collect();
    let alive: Vec<_> = all.iter().filter(|p| p.alive).map(|p| p.name.clone()).collect();
    let (name, usage) = (all[index].name.clone(), all[index].shares.local_usage().clone());
    let sends = all[index].alive;
    for other in all.iter_mut().filter(|other| other.name != name) {
        let without_self = |names: &[String]| -> Vec<String> {
            names.iter().filter(|name| **name != other.name).cloned().collect()
        };
        let (known, alive) = (without_self(&known), without_self(&alive));
        other.shares.set_members(&known, &alive);
        if sends {
            other.inbox.push_back((now + DELAY, name.clone(), usage.clone()));
        }
    }
}

#[rstest]
fn the_sum_stays_within_the_limit_and_its_slack(#[values(2, 4, 8)] members: usize) {
    for seed in 1..=20 {
        let (most, _) = run(members, seed, seed % 2 == 0);

        let allowed = LIMIT + Shares::slack(LIMIT, members as u32);
        assert!(most <= allowed, "seed {seed}: {most} over {allowed}");
    }
}

#[test]
fn a_lone_user_gets_nearly_the_whole_limit() {
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
