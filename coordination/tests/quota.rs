//! Many members press on one limited server while they start, leave, freeze and are cut off from
//! each other.

use coordination::quota::{Quota, rate};
use coordination::rendezvous::rank;
use rstest::rstest;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_S: usize = 50;
/// Window of the users' rule, in steps.
const WINDOW: usize = 4 * STEPS_PER_S;
/// Steps after the start of each trouble and after its end in which views may differ.
const SETTLING: usize = 3 * STEPS_PER_S;

/// Trouble between two times, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Calm,
    /// Members form this many groups that don't hear each other.
    Split(usize),
    /// Every member hears only itself.
    Scattered,
    /// This fraction of the members is gone for good and is silent.
    Lost(f64),
    /// This fraction of the members stands still and goes on afterwards.
    Frozen(f64),
    /// This fraction of the members starts one after the other.
    Starting(f64),
    /// Members are absent in turn, each for a second.
    Restarting,
}

const FROM_S: usize = 10;
const TO_S: usize = 25;
const END_S: usize = 40;

struct Member {
    name: String,
    quota: Quota,
}

fn members(count: usize) -> Vec<Member> {
    let names = (0..count).map(|n| format!("vm-{n}"));
    names.map(|name| Member { name, quota: Quota::new(Duration::ZERO, 0.0) }).collect()
}

fn is_in_trouble(step: usize) -> bool {
    (FROM_S * STEPS_PER_S..TO_S * STEPS_PER_S).contains(&step)
}

/// Whether a member runs in a step.
fn runs(index: usize, count: usize, step: usize, trouble: Trouble) -> bool {
    let part = |fraction: f64| index < (fraction * count as f64) as usize;
    let second = step / STEPS_PER_S;
    match trouble {
        Trouble::Lost(fraction) => second < FROM_S || !part(fraction),
        Trouble::Frozen(fraction) => !is_in_trouble(step) || !part(fraction),
        Trouble::Starting(fraction) => !part(fraction) || step > FROM_S * STEPS_PER_S + index,
        Trouble::Restarting => !is_in_trouble(step) || second % count != index,
        Trouble::Calm | Trouble::Split(_) | Trouble::Scattered => true,
    }
}

fn hears(own: usize, other: usize, step: usize, trouble: Trouble) -> bool {
    match trouble {
        _ if own == other => true,
        Trouble::Split(groups) if is_in_trouble(step) => own % groups == other % groups,
        Trouble::Scattered if is_in_trouble(step) => false,
        _ => true,
    }
}

/// Number of requests that the server got in each step. Every member sends as soon as it may. A
/// member hears of the others' state a second late.
fn play(count: usize, limit: f64, trouble: Trouble) -> Vec<u32> {
    let mut all = members(count);
    let names: Vec<_> = all.iter().map(|member| member.name.clone()).collect();
    let mut arrivals = Vec::new();
    for step in 0..END_S * STEPS_PER_S {
        let now = STEP * step as u32;
        let heard_at = step.saturating_sub(STEPS_PER_S);
        let refresh = step % 10 == 0;
        let known: Vec<_> = (0..count)
            .filter(|other| {
                let starts = matches!(trouble, Trouble::Starting(_));
                !starts || runs(*other, count, heard_at, trouble)
            })
            .collect();
        let mut sent = 0;
        for own in (0..count).filter(|own| runs(*own, count, step, trouble)) {
            if refresh {
                let ranked: Vec<_> = known.iter().map(|n| names[*n].as_str()).collect();
                let mut ranked = rank(ranked, "server");
                if !ranked.contains(&names[own].as_str()) {
                    ranked = rank(ranked.into_iter().chain([names[own].as_str()]), "server");
                }
                let is_alive = |name: &str| {
                    let other = names.iter().position(|known| known == name).unwrap();
                    other == own
                        || runs(other, count, heard_at, trouble) && hears(own, other, step, trouble)
                };
                let part = rate(&names[own], &ranked, count, is_alive, limit);
                all[own].quota.set_rate(now, part);
            }
            if all[own].quota.may_send(now) {
                all[own].quota.withdraw(now);
                sent += 1;
            }
        }
        arrivals.push(sent);
    }
    arrivals
}

#[rstest]
fn all_members_together_keep_the_limit(
    #[values(4, 27, 118)] count: usize,
    #[values(0.4, 4.5, 30.0, 250.0)] limit: f64,
    #[values(
        Trouble::Calm,
        Trouble::Split(2),
        Trouble::Split(3),
        Trouble::Scattered,
        Trouble::Lost(0.3),
        Trouble::Lost(0.9),
        Trouble::Frozen(0.5),
        Trouble::Starting(0.5),
        Trouble::Restarting
    )]
    trouble: Trouble,
) {
    let arrivals = play(count, limit, trouble);

    // The users' rule: one and a half times the limit, and 5 requests.
    let allowed = limit * 4.0 * 1.5 + 5.0;
    let windows = arrivals.windows(WINDOW).map(|window| window.iter().sum::<u32>());
    let most = windows.max().unwrap();
    assert!(f64::from(most) <= allowed, "{most} in 4 s, {allowed} allowed");
}

#[rstest]
fn a_limited_server_is_not_starved(
    #[values(4, 27, 118)] count: usize,
    #[values(0.4, 4.5, 30.0)] limit: f64,
    #[values(
        Trouble::Calm,
        Trouble::Split(2),
        Trouble::Lost(0.3),
        Trouble::Lost(0.7),
        Trouble::Frozen(0.5),
        Trouble::Starting(0.5)
    )]
    trouble: Trouble,
) {
    let arrivals = play(count, limit, trouble);

    let from = FROM_S * STEPS_PER_S + SETTLING;
    let seconds = (END_S - FROM_S) as f64 - 3.0;
    let got = f64::from(arrivals[from..].iter().sum::<u32>());
    assert!(got + 1.0 >= 0.07 * limit * seconds, "{got} in {seconds} s");
}

/// Callers that are refused one after the other would come back together and find one place.
#[test]
fn refused_callers_are_told_to_return_one_after_the_other() {
    let now = Duration::from_secs(10);
    let mut quota = Quota::new(now, 2.0);

    let offers: Vec<_> = (0..4).map(|_| quota.offer(now).unwrap().as_millis()).collect();

    assert_eq!(offers, [500, 1_000, 1_500, 2_000]);
}
