//! Entry VMs after the store has been silent: what they sent to it is never answered.

use quetzaltiller::control::{Record, Store as _, Subject};
use quetzaltiller::fleet::Upstream;
use rstest::rstest;
use standin::site::{Site, ZONES, configuration};
use std::time::Duration;
use tokio::time::sleep;

/// Time after an outage of the store in which it has to be followed again, as in the settings.
const RECOVERY: Duration = Duration::from_secs(3);
/// Time in which a change has to be followed (users' settings).
const MAX_LAG: Duration = Duration::from_secs(2);

/// Subject of a quarantine record.
const PART: Subject = Subject::Part(0xbad);

/// What changes in the store.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// A configuration with a higher number.
    Configuration,
    /// An upstream that leaves.
    Departure,
    /// An upstream that is removed without having been listed as leaving.
    Removal,
    /// A quarantine record.
    Quarantine,
}

impl Change {
    async fn write(self, site: &Site) {
        let desk = site.store.listed().into_iter().find(|known| known.id == "desk-b").unwrap();
        match self {
            Self::Configuration => site.store.configure(configuration(2)),
            Self::Departure => site.store.list(Upstream { leaving: true, ..desk }),
            Self::Removal => site.store.remove("desk-b"),
            Self::Quarantine => {
                let record = Record::default();
                site.store.write_quarantine(PART, None, &record).await.unwrap();
            }
        }
    }

    /// Names of the entry VMs that have not followed the change.
    async fn missed_by(self, site: &Site) -> Vec<String> {
        let mut missed = Vec::new();
        for entry in &site.entries {
            let dump = entry.dump().await;
            let desk = dump.upstreams.get("desk-b");
            let followed = match self {
                Self::Configuration => dump.number == 2,
                Self::Departure => desk.is_some_and(|state| state.is_leaving()),
                Self::Removal => desk.is_none(),
                Self::Quarantine => dump.quarantine.records.contains_key(&PART.to_string()),
            };
            if !followed {
                missed.push(dump.name);
            }
        }
        missed
    }
}

/// Starts `vms` entry VMs, a multiple of three.
async fn start(vms: usize) -> Site {
    let mut site = Site::start(2).await;
    for (number, zone) in ZONES.iter().cycle().take(vms - ZONES.len()).enumerate() {
        site.join_as(&format!("entry-{zone}-{number}"), zone);
    }
    sleep(Duration::from_secs(4)).await;
    site
}

/// Changes an upstream's entry, which begins all watches of the upstreams anew.
fn touch(site: &Site) {
    let engine = site.store.listed().into_iter().find(|known| known.id == "engine-c-1").unwrap();
    site.store.list(Upstream { slots: engine.slots - 1, ..engine });
}

/// The store is silent for a while and changes once it is stable again. Guards against a watch that
/// the store received during its silence, and that hides the change until its time limit.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_change_after_a_silence_of_the_store_is_followed_in_time(
    #[values(Change::Configuration, Change::Departure, Change::Removal, Change::Quarantine)]
    change: Change,
    #[values(300, 1_000, 2_000, 4_500)] silence_ms: u64,
    #[values(None, Some(100), Some(1_000))] touched_ms_before: Option<u64>,
    #[values(3, 27)] vms: usize,
) {
    let site = start(vms).await;

    if let Some(before) = touched_ms_before {
        touch(&site);
        sleep(Duration::from_millis(before)).await;
    }
    site.store.set_silent(true);
    sleep(Duration::from_millis(silence_ms)).await;
    site.store.set_silent(false);
    sleep(RECOVERY).await;
    change.write(&site).await;
    sleep(MAX_LAG).await;

    let missed = change.missed_by(&site).await;
    assert!(missed.is_empty(), "{missed:?}");
}

/// The store is silent for a while to one entry VM, which others outrun. Guards against a watch of
/// that one VM that hides changes until its time limit.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_silence_towards_one_entry_vm_hides_no_change_from_it(
    #[values(Change::Configuration, Change::Departure, Change::Removal)] change: Change,
    #[values(1_000, 4_500)] silence_ms: u64,
    #[values(3, 27)] vms: usize,
) {
    let site = start(vms).await;
    let client = &site.clients["entry-a"];

    touch(&site);
    sleep(Duration::from_millis(100)).await;
    client.set_link_silent(true);
    sleep(Duration::from_millis(silence_ms)).await;
    client.set_link_silent(false);
    sleep(RECOVERY).await;
    change.write(&site).await;
    sleep(MAX_LAG).await;

    let missed = change.missed_by(&site).await;
    assert!(missed.is_empty(), "{missed:?}");
}

/// The store is quiet. Guards against watches that are all as short as those of the upstreams at the
/// entry VMs that watch for others.
#[rstest]
#[case::few(3, 3)]
#[case::many(27, 6)]
#[tokio::test(start_paused = true)]
async fn only_the_upstreams_are_watched_with_short_waits_and_only_for_others(
    #[case] vms: usize,
    #[case] watching: usize,
) {
    let site = start(vms).await;
    sleep(Duration::from_secs(30)).await;

    let before = site.store.calls();
    sleep(Duration::from_secs(60)).await;
    let calls = (site.store.calls() - before) as usize;

    // Short waits are 1.5 s, long ones 20 s; each other watch is sent along with one more.
    let expected = watching * (40 + 3 * 2 * 2) + (vms - watching) * 3 * 3;
    assert!(calls <= expected, "{calls} calls, {expected} expected");
}
