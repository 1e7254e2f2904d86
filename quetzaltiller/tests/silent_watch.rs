//! Entry VMs whose connection with one watch of the store falls silent while the store answers all
//! other calls.

use quetzaltiller::control::{Record, Store as _, Subject};
use quetzaltiller::fleet::Upstream;
use rstest::rstest;
use standin::control::Kind;
use standin::site::{Site, ZONES, configuration};
use std::time::Duration;
use tokio::time::sleep;

/// Subject of a quarantine record.
const PART: Subject = Subject::Part(0xbad);
/// Time after a reset in which new connections are silent from their start.
const VANISHING: Duration = Duration::from_millis(500);

/// What the users state for a fleet: its size, the time after a trouble until all bounds hold again,
/// in which a record has to be known too, and the time in which a configuration is in force.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    vms: usize,
    recovery: Duration,
    max_lag: Duration,
}

const SMALL: Fleet =
    Fleet { vms: 3, recovery: Duration::from_secs(3), max_lag: Duration::from_secs(2) };
const LARGE: Fleet =
    Fleet { vms: 27, recovery: Duration::from_secs(4), max_lag: Duration::from_secs(3) };

/// What happens to the connections that carry the watches of one kind.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// They fall silent.
    Silence,
    /// They are reset, and those made shortly after are silent.
    Reset,
}

impl Trouble {
    fn strike(self, site: &Site, kind: Kind) {
        match self {
            Self::Silence => site.store.silence_watches(kind),
            Self::Reset => site.store.reset_watches(kind, VANISHING),
        }
    }
}

async fn start(fleet: Fleet) -> Site {
    let mut site = Site::start_with(2, fleet.recovery).await;
    for (number, zone) in ZONES.iter().cycle().take(fleet.vms - ZONES.len()).enumerate() {
        site.join_as(&format!("entry-{zone}-{number}"), zone);
    }
    sleep(Duration::from_secs(4)).await;
    site
}

async fn change(kind: Kind, site: &Site) {
    match kind {
        Kind::Configuration => site.store.configure(configuration(2)),
        Kind::Upstreams => {
            let desk = site.store.listed().into_iter().find(|known| known.id == "desk-b").unwrap();
            site.store.list(Upstream { leaving: true, ..desk });
        }
        Kind::Quarantine => {
            let record = Record::default();
            site.store.write_quarantine(PART, None, &record).await.unwrap();
        }
    }
}

/// Names of the entry VMs that have not followed the change.
async fn missed_by(kind: Kind, site: &Site) -> Vec<String> {
    let mut missed = Vec::new();
    for entry in &site.entries {
        let dump = entry.dump().await;
        let followed = match kind {
            Kind::Configuration => dump.number == 2,
            Kind::Upstreams => dump.upstreams.get("desk-b").is_some_and(|desk| desk.is_leaving()),
            Kind::Quarantine => dump.quarantine.records.contains_key(&PART.to_string()),
        };
        if !followed {
            missed.push(dump.name);
        }
    }
    missed
}

/// Guards against a watch whose silence only its own time limit ends.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_change_is_followed_in_time_although_only_its_watch_is_silent(
    #[values(Kind::Configuration, Kind::Upstreams, Kind::Quarantine)] kind: Kind,
    #[values(Trouble::Silence, Trouble::Reset)] trouble: Trouble,
    #[values(SMALL, LARGE)] fleet: Fleet,
    #[values(0, 700, 1_300, 9_000)] later_ms: u64,
) {
    let site = start(fleet).await;

    trouble.strike(&site, kind);
    sleep(fleet.recovery + Duration::from_millis(later_ms)).await;
    change(kind, &site).await;
    sleep(if kind == Kind::Quarantine { fleet.recovery } else { fleet.max_lag }).await;

    let missed = missed_by(kind, &site).await;
    assert!(missed.is_empty(), "{missed:?}");
}

/// Guards against calls for a change that its watch has told of.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_change_that_its_watch_tells_costs_one_call_of_each_entry_vm(
    #[values(Kind::Configuration, Kind::Quarantine)] kind: Kind,
    #[values(SMALL, LARGE)] fleet: Fleet,
) {
    let site = start(fleet).await;
    let calls = async || {
        let before = site.store.calls();
        sleep(Duration::from_secs(60)).await;
        site.store.calls() - before
    };

    let without_change = calls().await;
    change(kind, &site).await;
    let with_change = calls().await;

    // The change itself is a call too if it is a record's.
    let allowed = without_change + fleet.vms as u64 + 1;
    assert!(with_change <= allowed, "{with_change} calls, {allowed} allowed");
}

/// Guards against a call for each change of an object that no entry VM follows.
#[tokio::test(start_paused = true)]
async fn changes_of_other_objects_cost_a_bounded_number_of_calls() {
    let site = start(SMALL).await;
    let engine = site.store.listed().into_iter().find(|known| known.id == "engine-c-1").unwrap();
    let before = site.store.calls();

    for number in 0..600 {
        site.store.write_other();
        site.store.list(Upstream { slots: 60 + number % 2, ..engine.clone() });
        sleep(Duration::from_millis(100)).await;
    }

    // Five watches of the upstreams a second, and one reading and one watch of two further kinds.
    let allowed = 60 * (5 + 2 * 2) * SMALL.vms as u64;
    let calls = site.store.calls() - before;
    assert!(calls <= allowed, "{calls} calls, {allowed} allowed");
}
