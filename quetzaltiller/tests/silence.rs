//! Generations while sound engines fall silent for a second and go on, or while none is open for a
//! moment.

use quetzaltiller::proxy::Request;
use rstest::rstest;
use standin::fleet::Fault;
use standin::site::{Seen, Site, ZONES, configuration, draft, generate};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Length of one silence.
const SILENCE: Duration = Duration::from_millis(1_000);

/// Starts `count` drafts at the entry VMs in turn.
async fn start_drafts(site: &Site, count: usize) -> Vec<JoinHandle<Seen>> {
    let mut drafts = Vec::new();
    for n in 0..count {
        drafts.push(start(site, n, draft(&format!("draft-{n}"))));
        sleep(Duration::from_millis(200)).await;
    }
    drafts
}

fn start(site: &Site, n: usize, request: Request) -> JoinHandle<Seen> {
    let entry = site.entries[n % site.entries.len()].clone();
    tokio::spawn(generate(entry, request))
}

async fn await_drafts(drafts: Vec<JoinHandle<Seen>>) -> Vec<Seen> {
    let mut seen = Vec::new();
    for draft in drafts {
        seen.push(draft.await.expect("a draft's task ends"));
    }
    seen
}

/// Makes all engines fall silent at once.
fn silence_engines(site: &Site, accepts: bool) {
    for engine in ZONES.iter().flat_map(|zone| site.fleet.of_zone(zone)) {
        if engine.starts_with("engine") {
            site.fleet.fall_silent(&engine, SILENCE, accepts);
        }
    }
}

/// Drafts whose caller got neither a whole answer nor a refusal.
fn cut(seen: &[Seen]) -> Vec<&Seen> {
    seen.iter().filter(|seen| !seen.is_whole() && seen.refused.is_none()).collect()
}

#[rstest]
#[case::accepting(true, false)]
#[case::deaf(false, false)]
#[case::accepting_beside_changes_of_the_configuration(true, true)]
#[case::deaf_beside_changes_of_the_configuration(false, true)]
#[tokio::test(start_paused = true)]
async fn engines_that_fall_silent_and_go_on_end_no_draft(
    #[case] accepts: bool,
    #[case] changes: bool,
) {
    let site = Site::start(6).await;

    let drafts = start_drafts(&site, 12).await;
    for number in 2..8 {
        silence_engines(&site, accepts);
        sleep(SILENCE / 2).await;
        if changes {
            site.store.configure(configuration(number));
        }
        sleep(SILENCE).await;
    }
    let seen = await_drafts(drafts).await;

    let cut = cut(&seen);
    assert!(cut.is_empty(), "{} of {}: {cut:?}", cut.len(), seen.len());
}

/// Guards against attempts that are used up by engines which accept a connection and then turn the
/// run away.
#[tokio::test(start_paused = true)]
async fn engines_that_turn_a_begun_draft_away_end_no_draft() {
    let site = Site::start(4).await;

    let drafts = start_drafts(&site, 3).await;
    sleep(Duration::from_millis(1_500)).await;
    let places: Vec<_> =
        (0..3).filter_map(|n| site.fleet.place_of(&format!("draft-{n}"))).collect();
    let engines = ZONES.iter().flat_map(|zone| site.fleet.of_zone(zone));
    for engine in engines.filter(|id| id.starts_with("engine") && !places.contains(id)) {
        site.fleet.change(&engine, |node| node.fault = Some(Fault::Shed));
    }
    places.iter().for_each(|engine| site.fleet.crash(engine, false));
    sleep(Duration::from_millis(1_500)).await;
    for engine in ZONES.iter().flat_map(|zone| site.fleet.of_zone(zone)) {
        site.fleet.change(&engine, |node| node.fault = None);
    }
    let seen = await_drafts(drafts).await;

    let cut = cut(&seen);
    assert!(cut.is_empty(), "{} of {}: {cut:?}", cut.len(), seen.len());
}

#[tokio::test(start_paused = true)]
async fn a_begun_draft_outlives_a_moment_without_engines() {
    let site = Site::start(2).await;

    let drafts = start_drafts(&site, 3).await;
    sleep(Duration::from_millis(2_000)).await;
    ZONES.iter().for_each(|zone| site.lose_zone(zone, false));
    let seen = await_drafts(drafts).await;

    let cut = cut(&seen);
    assert!(cut.is_empty(), "{} of {}: {cut:?}", cut.len(), seen.len());
}
