//! Engines that one part of a prompt crashes, seen by many VMs.

mod fleet;

use fleet::{Cause, Outcome, Plan, Shape, Trouble, play};

fn arg(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or(default.into())
}

#[test]
#[ignore]
fn one() {
    use Trouble::*;
    let seeds: u64 = arg("SEEDS", "10").parse().unwrap();
    let from: u64 = arg("FROM", "0").parse().unwrap();
    for vms in arg("VMS", "4 27 118").split(' ').map(|v| v.parse().unwrap()) {
        for cause in [Cause::None, Cause::Rack, Cause::Zones, Cause::Release, Cause::Overload] {
            if !arg("CAUSE", "None").contains(&format!("{cause:?}")) {
                continue;
            }
            for trouble in
                [Calm, Starting, Replaced, Frozen, Cut, StoreDown, Killed, Restored, Lossy, Delayed]
            {
                if !arg("TROUBLE", "Calm").contains(&format!("{trouble:?}")) {
                    continue;
                }
                for bad_rate in arg("RATE", "0.5 20").split(' ').map(|v| v.parse().unwrap()) {
                    for shape in [
                        Shape::Known,
                        Shape::Fresh,
                        Shape::KnownVaried,
                        Shape::FreshVaried,
                        Shape::First,
                    ] {
                        if !arg("SHAPE", "Known Fresh KnownVaried FreshVaried First")
                            .split(' ')
                            .any(|s| s == format!("{shape:?}"))
                        {
                            continue;
                        }
                        let all: Vec<Outcome> = (from..from + seeds)
                            .map(|seed| play(Plan { vms, seed, trouble, bad_rate, shape, cause }))
                            .collect();
                        if std::env::var("LATE").is_ok() {
                            for (i, o) in all.iter().enumerate() {
                                if o.late() > 3 {
                                    let f = o.crashes[4];
                                    println!(
                                        "seed {i}: crashes {:?} sent late {:?}",
                                        o.crashes,
                                        o.bad_sent
                                            .iter()
                                            .filter(|s| **s > f + 3000)
                                            .collect::<Vec<_>>()
                                    );
                                }
                            }
                        }
                        let late = all.iter().map(Outcome::late).max().unwrap();
                        let over = all.iter().filter(|o| o.late() > 3).count();
                        let crashes = all.iter().map(|o| o.crashes.len()).max().unwrap();
                        let lates: usize = all.iter().map(|o| o.sound_late().0).sum();
                        let refs: usize = all.iter().map(|o| o.sound_late().1).sum();
                        let hit = all.iter().filter(|o| o.sound_late().1 > 0).count();
                        let refall: usize = all.iter().map(|o| o.refused.len()).sum();
                        let calls = all.iter().map(|o| o.calls).max().unwrap();
                        let conf = all.iter().map(|o| o.conflicts).max().unwrap();
                        let bytes = all.iter().map(|o| o.store_bytes).max().unwrap();
                        let recs = all.iter().map(|o| o.store_records).max().unwrap();
                        let flag = if over > 0 || refs > 0 { "<<<" } else { "" };
                        println!(
                            "{vms:4} {cause:?} {trouble:?} {bad_rate} {shape:?}: late max {late} over {over}; crashes max {crashes}; sound {lates} refused {refs} in {hit} (whole {refall}); calls {calls} conf {conf} recs {recs} bytes {bytes} {flag}"
                        );
                    }
                }
            }
        }
    }
}

#[test]
#[ignore]
fn causes() {
    let seeds: u64 = arg("SEEDS", "10").parse().unwrap();
    for vms in arg("VMS", "4 27 118").split(' ').map(|v| v.parse().unwrap()) {
        for cause in [Cause::Rack, Cause::Zones, Cause::Release, Cause::Overload] {
            for trouble in [Trouble::Calm, Trouble::Killed] {
                let all: Vec<Outcome> = (0..seeds)
                    .map(|seed| {
                        play(Plan { vms, seed, trouble, bad_rate: 0.0, shape: Shape::Fresh, cause })
                    })
                    .collect();
                let refall: usize = all.iter().map(|o| o.refused.len()).sum();
                let hit = all.iter().filter(|o| !o.refused.is_empty()).count();
                let sound: usize = all.iter().map(|o| o.sound.len()).sum();
                let calls = all.iter().map(|o| o.calls).max().unwrap();
                println!(
                    "{vms:4} {cause:?} {trouble:?}: refused {refall} of {sound}, seeds hit {hit}; calls {calls}"
                );
            }
        }
    }
}
