//! Engines that one part of a prompt crashes, seen by many VMs.

mod fleet;

use fleet::{Cause, Outcome, Plan, Shape, Trouble, play};

#[test]
#[ignore]
fn survey() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(10);
    use Trouble::*;
    for vms in [4, 27, 118] {
        for trouble in [Calm, Starting, Replaced, Frozen, Cut, StoreDown, Killed, Restored, Lossy, Delayed] {
            for rate in [0.5, 20.0] {
                for shape in [Shape::Known, Shape::Fresh, Shape::KnownVaried, Shape::FreshVaried, Shape::First] {
                    let plan = |seed| Plan { vms, seed, trouble, bad_rate: rate, shape, cause: Cause::None };
                    let all: Vec<Outcome> = (0..seeds).map(|s| play(plan(s))).collect();
                    let late = all.iter().map(Outcome::late).max().unwrap();
                    let over = all.iter().filter(|o| o.late() > 3).count();
                    let crashes = all.iter().map(|o| o.crashes.len()).max().unwrap();
                    let lates: usize = all.iter().map(|o| o.sound_late().0).sum();
                    let refs: usize = all.iter().map(|o| o.sound_late().1).sum();
                    let refall: usize = all.iter().map(|o| o.refused.len()).sum();
                    let calls = all.iter().map(|o| o.calls).max().unwrap();
                    let conf = all.iter().map(|o| o.conflicts).max().unwrap();
                    let bytes = all.iter().map(|o| o.store_bytes).max().unwrap();
                    let recs = all.iter().map(|o| o.store_records).max().unwrap();
                    let flag = if over > 0 || refs > 0 { "<<<" } else { "" };
                    println!("{vms:4} {trouble:?} {rate} {shape:?}: late max {late} over {over}; crashes max {crashes}; sound {lates} refused {refs} (whole {refall}); calls {calls} conf {conf} recs {recs} bytes {bytes} {flag}");
                }
            }
        }
    }
}

#[test]
#[ignore]
fn survey_causes() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(10);
    for vms in [4, 27, 118] {
        for cause in [Cause::Rack, Cause::Zones, Cause::Release, Cause::Overload] {
            for trouble in [Trouble::Calm, Trouble::Killed, Trouble::Replaced] {
                let plan = |seed| Plan { vms, seed, trouble, bad_rate: 0.0, shape: Shape::Fresh, cause };
                let all: Vec<Outcome> = (0..seeds).map(|s| play(plan(s))).collect();
                let refall: usize = all.iter().map(|o| o.refused.len()).sum();
                let hit = all.iter().filter(|o| !o.refused.is_empty()).count();
                let sound: usize = all.iter().map(|o| o.sound.len()).sum();
                let calls = all.iter().map(|o| o.calls).max().unwrap();
                let recs = all.iter().map(|o| o.store_records).max().unwrap();
                println!("{vms:4} {cause:?} {trouble:?}: refused {refall} of {sound}, seeds hit {hit}; calls {calls} recs {recs}");
            }
        }
    }
}
