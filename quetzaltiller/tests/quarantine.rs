//! Complete entry VMs over stand-ins whose engines crash on one part of prompts.

use bytes::Bytes;
use quetzaltiller::clock::Clock;
use quetzaltiller::control::Subject;
use quetzaltiller::entry::Entry;
use quetzaltiller::follower::Watches;
use quetzaltiller::metrics::{Counter, Metrics};
use quetzaltiller::proxy::{Part, Prompt, Request};
use quetzaltiller::quarantine::{self, Quarantine};
use quetzaltiller::refusal::{Code, Ran};
use quetzaltiller::scope::Scope;
use rstest::rstest;
use standin::control::ControlStore;
use standin::site::{Seen, Site, ZONES, draft, generate};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Part that crashes engines.
const BAD: u64 = 0xbad;
/// First part that sound requests share with most of the others.
const SHARED: u64 = 1;
/// First part that no sound request has.
const OTHER: u64 = 2;
/// Time between two requests.
const GAP: Duration = Duration::from_millis(125);
/// Number of requests in which one has the part that crashes engines.
const BAD_EVERY: usize = 3;
/// Crashes after which the number of requests with the part is limited.
const CRASHES: usize = 5;
/// Time after the last of these crashes from which requests count.
const TOUCH: Duration = Duration::from_secs(3);
/// Requests with the part that may reach engines from then on.
const ALLOWED: usize = 3;

/// Writes that bring one record back to a store that lost it.
const MAX_REWRITES: u64 = 10;

/// A sound request and when it was sent.
struct Sound {
    sent_at: Instant,
    seen: JoinHandle<Seen>,
}

/// Request whose prompt has the given parts before its own.
fn request(id: &str, parts: &[u64]) -> Request {
    let own = draft(id).prompt.map_or(0, |prompt| prompt.own_part());
    let shared = parts.iter().map(|part| Part { id: *part, tokens: 200 });
    let parts: Vec<_> = shared.chain([Part { id: own, tokens: 1_000 }]).collect();
    let tokens = parts.iter().map(|part| part.tokens).sum();
    let prompt = Prompt { model: "m".to_owned(), tokens, max_output: 900, parts };
    Request { prompt: Some(prompt), ..draft(id) }
}

/// The same request with the path and the body of all others.
fn without_body(request: Request) -> Request {
    Request { path: "/draft/1".to_owned(), body: Bytes::new(), ..request }
}

fn bad_request(number: usize) -> Request {
    let first = if number.is_multiple_of(2) { SHARED } else { OTHER };
    request(&format!("bad-{number}"), &[first, BAD])
}

/// Sends `count` requests to the entry VMs in turn, some of them with the bad part; returns the
/// sound ones.
async fn send(site: &Site, numbers: std::ops::Range<usize>) -> Vec<Sound> {
    let mut sound = Vec::new();
    for number in numbers {
        // Requests of each kind come at all entry VMs.
        let entry = site.entries[(number / BAD_EVERY + number) % site.entries.len()].clone();
        if number.is_multiple_of(BAD_EVERY) {
            tokio::spawn(generate(entry, bad_request(number)));
        } else {
            let request = request(&format!("sound-{number}"), &[SHARED, 100 + number as u64 % 4]);
            let seen = tokio::spawn(generate(entry, request));
            sound.push(Sound { sent_at: Instant::now(), seen });
        }
        sleep(GAP).await;
    }
    sound
}

/// Number of requests with the bad part that reached engines later than [`TOUCH`] after the fifth
/// crash and after `calm_from`.
fn late_arrivals(site: &Site, calm_from: Instant) -> usize {
    let crashes = site.fleet.poisoned_crashes();
    let fifth = *crashes.get(CRASHES - 1).expect("at least five crashes");
    let limit = fifth.max(calm_from) + TOUCH;
    site.fleet.poisoned_arrivals().iter().filter(|at| **at > limit).count()
}

/// Number of sound requests sent after `from`, and of those that got no whole answer.
async fn unserved(sound: Vec<Sound>, from: Instant) -> (usize, usize) {
    let (mut sent, mut unserved) = (0, 0);
    for Sound { sent_at, seen } in sound {
        let seen = seen.await.expect("a request's task ends");
        if sent_at > from {
            sent += 1;
            unserved += usize::from(!seen.is_whole());
        }
    }
    (sent, unserved)
}

fn fifth_crash(site: &Site) -> Instant {
    site.fleet.poisoned_crashes()[CRASHES - 1]
}

/// Asserts that few requests with the bad part reached engines and that sound ones were served;
/// both from some time after the fifth crash and after `calm_from`.
async fn assert_contained(site: &Site, sound: Vec<Sound>, calm_from: Instant) {
    let late = late_arrivals(site, calm_from);
    let from = fifth_crash(site).max(calm_from) + 2 * TOUCH;
    let (sent, unserved) = unserved(sound, from).await;
    let crashes = site.fleet.poisoned_crashes().len();
    assert!(late <= ALLOWED, "{late} requests reached engines late, {crashes} crashes");
    assert!(sent >= 20 && unserved == 0, "{unserved} of {sent} sound requests unserved");
}

async fn condemned(entry: &Entry) -> Vec<String> {
    entry.dump().await.quarantine.condemned
}

#[tokio::test(start_paused = true)]
async fn a_part_that_crashed_five_engines_crashes_few_more() {
    let site = Site::start(6).await;
    let began = Instant::now();
    site.poison(BAD);

    let sound = send(&site, 0..240).await;

    assert_contained(&site, sound, began).await;
}

#[tokio::test(start_paused = true)]
async fn a_first_part_that_crashes_engines_is_found_as_well() {
    let site = Site::start(6).await;
    let began = Instant::now();
    site.poison(OTHER);

    let sound = send(&site, 0..240).await;

    assert_contained(&site, sound, began).await;
    assert_eq!(condemned(&site.entries[0]).await, [format!("{OTHER:x}")]);
}

/// Guards against requests that differ in their prompts alone being taken for one that comes again.
#[tokio::test(start_paused = true)]
async fn a_part_is_found_where_only_the_prompts_differ() {
    let site = Site::start(6).await;
    site.poison(BAD);

    for number in 0..24 {
        let entry = site.entries[number % site.entries.len()].clone();
        tokio::spawn(generate(entry, without_body(bad_request(number))));
        sleep(GAP * 4).await;
    }
    let sound = without_body(request("sound", &[SHARED]));
    let seen = generate(site.entries[0].clone(), sound).await;

    let part = Subject::Part(BAD).to_string();
    assert!(condemned(&site.entries[0]).await.contains(&part));
    assert!(seen.is_whole());
}

#[tokio::test(start_paused = true)]
async fn a_quarantined_request_is_refused_as_not_run() {
    let site = Site::start(6).await;
    site.poison(BAD);
    send(&site, 0..80).await;

    let seen = generate(site.entries[0].clone(), bad_request(1_000)).await;

    let refused = seen.refused.expect("a refusal");
    assert_eq!((refused.code, refused.ran), (Code::Quarantined, Ran::No));
    assert_eq!(refused.code.status(), 503);
    assert!(refused.retry_after_ms >= 60_000);
    assert!(site.entries[0].metrics().value(Counter::QuarantineRefused) > 0);
}

#[tokio::test(start_paused = true)]
async fn a_quarantine_outlives_all_entry_vms() {
    let mut site = Site::start(6).await;
    let began = Instant::now();
    site.poison(BAD);

    let mut sound = send(&site, 0..120).await;
    ZONES.into_iter().for_each(|zone| site.lose_entry(zone));
    sound.clear();
    ZONES.into_iter().for_each(|zone| drop(site.join(zone, 2)));
    sound.extend(send(&site, 120..240).await);

    assert_contained(&site, sound, began).await;
}

#[tokio::test(start_paused = true)]
async fn an_entry_vm_that_joins_late_keeps_the_quarantine() {
    let mut site = Site::start(6).await;
    let began = Instant::now();
    site.poison(BAD);

    let mut sound = send(&site, 0..120).await;
    let late_entry = site.join("d", 1);
    sound.extend(send(&site, 120..240).await);

    assert_eq!(condemned(&late_entry).await, [format!("{BAD:x}")]);
    assert_contained(&site, sound, began).await;
}

#[tokio::test(start_paused = true)]
async fn a_quarantine_needs_no_link_between_entry_vms() {
    let site = Site::start(6).await;
    let began = Instant::now();
    ZONES.into_iter().for_each(|zone| site.hub.set_cut(&format!("entry-{zone}"), true));
    site.poison(BAD);

    let sound = send(&site, 0..240).await;

    assert_contained(&site, sound, began).await;
}

#[tokio::test(start_paused = true)]
async fn a_quarantine_spreads_once_the_store_is_back() {
    let site = Site::start(6).await;
    site.poison(BAD);
    site.store.set_away(true);

    let mut sound = send(&site, 0..64).await;
    site.store.set_away(false);
    let back = Instant::now();
    sound.extend(send(&site, 64..240).await);

    assert_contained(&site, sound, back).await;
    for entry in &site.entries {
        assert_eq!(condemned(entry).await, [format!("{BAD:x}")]);
    }
}

#[tokio::test(start_paused = true)]
async fn a_quarantine_that_an_operator_lifts_ends_everywhere() {
    let site = Site::start(6).await;
    site.poison(BAD);
    send(&site, 0..80).await;

    site.store.remove_quarantine(Subject::Part(BAD));
    sleep(TOUCH).await;

    // Requests that crashed several engines themselves stay condemned.
    for entry in &site.entries {
        assert!(condemned(entry).await.iter().all(|subject| subject.starts_with("request-")));
        assert!(!entry.dump().await.quarantine.records.contains_key(&format!("{BAD:x}")));
    }
}

/// A request that reached an engine may have run.
#[tokio::test(start_paused = true)]
async fn only_a_request_that_reached_no_engine_is_refused_as_not_run() {
    let site = Site::start(6).await;
    site.poison(BAD);

    let mut answers = Vec::new();
    for number in 0..40 {
        let request = bad_request(number);
        let entry = site.entries[number % site.entries.len()].clone();
        answers.push((request.id.clone(), tokio::spawn(generate(entry, request))));
        sleep(GAP).await;
    }

    let (mut not_run, mut unknown) = (0, 0);
    let runs = |id: &str| site.fleet.counts().runs.get(id).copied().unwrap_or_default();
    for (id, seen) in answers {
        let refused = seen.await.unwrap().refused.expect("a refusal");
        match refused.ran {
            Ran::No => {
                not_run += 1;
                assert_eq!(runs(&id), 0, "{id} was refused as not run");
            }
            _ => unknown += 1,
        }
    }
    assert!(not_run > 0 && unknown > 0, "{not_run} refused as not run, {unknown} as unknown");
}

#[tokio::test(start_paused = true)]
async fn a_broken_connection_to_a_live_engine_is_no_evidence() {
    let site = Site::start(6).await;

    for number in 0..40 {
        let request = request(&format!("sound-{number}"), &[SHARED, BAD]);
        let id = request.id.clone();
        let seen = tokio::spawn(generate(site.entries[number % 3].clone(), request));
        sleep(Duration::from_millis(220)).await;
        site.fleet.reset(&id);
        sleep(GAP).await;
        assert_eq!(site.fleet.counts().runs.get(&id), Some(&2), "its run broke early");
        drop(seen);
    }

    for entry in &site.entries {
        assert!(entry.dump().await.quarantine.records.is_empty());
    }
}

/// The shared parts were there at each crash.
#[tokio::test(start_paused = true)]
async fn lost_zones_quarantine_no_part_of_sound_requests() {
    let site = Site::start(6).await;
    let began = Instant::now();

    let mut sound = Vec::new();
    for (turn, zone) in ZONES.into_iter().enumerate() {
        site.lose_zone(zone, false);
        sound.extend(send(&site, turn * 64..(turn + 1) * 64).await);
    }

    let (sent, unserved) = unserved(sound, began - GAP).await;
    assert!(sent > 100 && unserved == 0, "{unserved} of {sent} sound requests unserved");
    for entry in &site.entries {
        assert!(condemned(entry).await.is_empty());
        assert_eq!(entry.metrics().value(Counter::QuarantineRefused), 0);
    }
}

fn start_quarantines(store: &ControlStore, count: usize) -> Vec<Quarantine> {
    start_scopes(store, count).into_iter().map(|(_, quarantine)| quarantine).collect()
}

fn start_scopes(store: &ControlStore, count: usize) -> Vec<(Scope, Quarantine)> {
    let start = |number: usize| {
        let scope = Scope::default();
        let (clock, metrics) = (Clock::default(), Arc::new(Metrics::new(None)));
        let store = Arc::new(store.clone());
        let (name, watches) = (format!("entry-{number}"), Watches::alone());
        let dependencies = quarantine::Dependencies { name, clock, store, metrics, watches };
        let quarantine = Quarantine::start(&scope, dependencies);
        (scope, quarantine)
    };
    (0..count).map(start).collect()
}

/// Records that engines crashed under the bad part, spread over the entry VMs and over time.
async fn crash_engines(quarantines: &[Quarantine]) {
    for number in 0..2 * CRASHES {
        let quarantine = &quarantines[number % quarantines.len()];
        quarantine.record_crash(vec![Subject::Part(BAD)], format!("engine-{number}/1"), true);
        sleep(TOUCH).await;
    }
}

#[rstest]
#[case::few(4)]
#[case::many(118)]
#[tokio::test(start_paused = true)]
async fn a_store_without_the_records_gets_them_back_without_a_storm(#[case] count: usize) {
    let store = ControlStore::default();
    let quarantines = start_quarantines(&store, count);
    crash_engines(&quarantines).await;
    let before = (store.quarantine_writes(), store.calls());

    store.set_away(true);
    store.forget_quarantines();
    sleep(TOUCH).await;
    store.set_away(false);
    sleep(Duration::from_secs(30)).await;

    let writes = store.quarantine_writes() - before.0;
    let calls = store.calls() - before.1;
    eprintln!("MEASURE {count}: {writes} writes, {calls} calls in 30 s; before {before:?}");
    assert_eq!(store.stored_quarantines().len(), 1);
    assert!(writes <= MAX_REWRITES, "{writes} writes of {calls} calls");
    assert!(calls <= 16 * count as u64, "{calls} calls");
    assert!(quarantines.iter().all(|quarantine| quarantine.refused(&[Subject::Part(BAD)]) == Some(Subject::Part(BAD))));
}

#[rstest]
#[case::few(4)]
#[case::many(118)]
#[tokio::test(start_paused = true)]
async fn a_crash_that_all_entry_vms_see_is_written_few_times_by_each(#[case] count: usize) {
    let store = ControlStore::default();
    let quarantines = start_quarantines(&store, count);
    sleep(TOUCH).await;
    let before = store.quarantine_writes();

    for number in 0..CRASHES {
        for quarantine in &quarantines {
            quarantine.record_crash(vec![Subject::Part(BAD)], format!("engine-{number}/1"), true);
        }
        sleep(TOUCH).await;
    }

    let writes = store.quarantine_writes() - before;
    assert!(writes <= (2 * count * CRASHES) as u64, "{writes} writes");
    assert!(quarantines.iter().all(|quarantine| quarantine.refused(&[Subject::Part(BAD)]) == Some(Subject::Part(BAD))));
}

#[rstest]
#[case::few(4)]
#[case::many(118)]
#[tokio::test(start_paused = true)]
async fn without_news_each_entry_vm_calls_the_store_three_times_a_minute(#[case] count: usize) {
    let store = ControlStore::default();
    let _quarantines = start_quarantines(&store, count);
    sleep(TOUCH).await;
    let before = store.calls();

    sleep(Duration::from_secs(600)).await;

    let calls = store.calls() - before;
    assert!(calls <= 30 * count as u64, "{calls} calls in ten minutes");
}

#[tokio::test(start_paused = true)]
async fn an_entry_vm_that_was_suspended_learns_of_the_quarantine_at_once() {
    let store = ControlStore::default();
    let entries = start_scopes(&store, 3);
    let (scope, suspended) = &entries[0];
    sleep(TOUCH).await;

    scope.set_frozen(true);
    let awake: Vec<_> = entries[1..].iter().map(|(_, quarantine)| quarantine.clone()).collect();
    crash_engines(&awake).await;
    let before = suspended.refused(&[Subject::Part(BAD)]);
    scope.set_frozen(false);
    sleep(TOUCH / 3).await;

    assert_eq!(before, None);
    assert_eq!(suspended.refused(&[Subject::Part(BAD)]), Some(Subject::Part(BAD)));
}

/// The record of a condemned part lasts for an hour.
#[rstest]
#[case::few(4)]
#[case::many(118)]
#[tokio::test(start_paused = true)]
async fn an_expired_record_is_deleted_by_few_entry_vms(#[case] count: usize) {
    let store = ControlStore::default();
    let quarantines = start_quarantines(&store, count);
    crash_engines(&quarantines).await;
    let before = store.quarantine_writes();

    sleep(Duration::from_secs(3_500)).await;
    let held = store.stored_quarantines().len();
    sleep(Duration::from_secs(300)).await;

    let writes = store.quarantine_writes() - before;
    assert_eq!((held, store.stored_quarantines().len()), (1, 0));
    assert!(writes <= MAX_REWRITES, "{writes} writes");
    assert!(
        quarantines.iter().all(|quarantine| quarantine.refused(&[Subject::Part(BAD)]).is_none())
    );
}
