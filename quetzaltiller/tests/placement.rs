//! The choice of upstreams, without I/O: loads and losses that it answers.

use quetzaltiller::fleet::{Change, Directory};
use quetzaltiller::placement::{Choice, Demand, Pick, Run, Table};
use quetzaltiller::routes;
use standin::site::{ZONES, configuration, engine};
use std::sync::Arc;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);
const TOKENS: u32 = 9_000;

/// Table of the entry VM of zone a, with as many engines in each of three zones.
fn table(engines: usize) -> Table {
    let mut table = Table::new("entry-a", "a");
    table.configure(Arc::new(routes::Table::from(configuration(1))));
    let mut directory = Directory::default();
    let listed = ZONES.iter().enumerate().flat_map(|(z, zone)| {
        (0..engines).map(move |n| (format!("engine-{zone}-{n}"), zone, z * 50 + n))
    });
    let changes =
        listed.map(|(id, zone, number)| Change::Set(engine(&id, zone, number as u8))).collect();
    directory.apply(1, changes);
    table.set_upstreams(&directory);
    table
}

fn demand(affinity: u64) -> Demand {
    let run = Run {
        prompt_tokens: 8_000,
        footprint: TOKENS,
        affinity,
        wants_backup: true,
        ..Run::default()
    };
    Demand { service: "drafts".to_owned(), run: Some(run), ..Demand::default() }
}

fn pick(table: &Table, now: Duration, demand: &Demand) -> Pick {
    match table.choose(now, demand) {
        Choice::Found(pick) => pick,
        other => panic!("nothing found: {other:?}"),
    }
}

/// Places a run and notes it as begun.
fn place(table: &mut Table, now: Duration, affinity: u64) -> Pick {
    let demand = demand(affinity);
    let pick = pick(table, now, &demand);
    table.begin(now, &pick, demand.run.as_ref());
    pick
}

/// Load: the other zones hold twice their usual copies after a zone was lost.
#[test]
fn copies_leave_the_zone_of_their_run_also_where_others_are_crowded() {
    let mut table = table(3);
    let lost: Vec<_> =
        table.states().keys().filter(|id| id.starts_with("engine-b")).cloned().collect();
    lost.iter().for_each(|id| assert!(table.state_mut(id).unwrap().lose(NOW)));

    let picks: Vec<_> = (0..20).map(|n| place(&mut table, NOW, n)).collect();

    let zones = picks.iter().map(|pick| {
        (pick.upstream.zone.clone(), pick.backup.as_ref().map(|backup| backup.zone.clone()))
    });
    for (zone, copy) in zones {
        assert!(copy.as_ref().is_some_and(|copy| *copy != zone), "{zone} and {copy:?}");
    }
}

#[test]
fn no_copy_goes_to_an_address_whose_process_was_lost_and_not_seen_since() {
    let mut table = table(1);
    assert!(table.state_mut("engine-b-0").unwrap().lose(NOW));
    let later = NOW + Duration::from_secs(60);

    let copies: Vec<_> = (0..20).map(|n| pick(&table, later, &demand(n)).backup).collect();

    assert!(copies.iter().flatten().all(|copy| copy.id != "engine-b-0"), "{copies:?}");
    assert!(copies.iter().flatten().count() > 0);
}
