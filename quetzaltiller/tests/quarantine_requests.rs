//! Complete entry VMs over stand-ins whose upstreams crash on one request that comes again.

use bytes::Bytes;
use quetzaltiller::entry::Entry;
use quetzaltiller::proxy::{Part, Reply, Request};
use quetzaltiller::refusal::{Code, Ran, Refusal};
use rstest::rstest;
use standin::site::{self, Site, ZONES, draft, generate};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Time between two requests.
const GAP: Duration = Duration::from_millis(125);
/// Number of requests in which one is the deadly one.
const DEADLY_EVERY: usize = 6;
/// Crashes after which the number of retries is limited.
const CRASHES: usize = 3;
/// Time after the last of these crashes from which retries count.
const TOUCH: Duration = Duration::from_secs(3);
/// Retries that may reach upstreams from then on.
const ALLOWED: usize = 3;
/// Time in which all entry VMs learn of a third crash.
const SPREAD: Duration = Duration::from_secs(1);
/// Lookup that many callers send alike.
const POPULAR: &str = "/status/popular";

/// Kind of the deadly request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Draft,
    Lookup,
    Order,
}

/// What became of a request.
#[derive(Debug)]
enum Seen {
    Served,
    Failed,
    Refused(Refusal),
}

/// A sound request and when it was sent.
struct Sound {
    sent_at: Instant,
    seen: JoinHandle<Seen>,
}

/// The request that crashes upstreams, as it comes for the time `number`.
fn deadly(kind: Kind, number: usize) -> Request {
    let (path, id) = match kind {
        Kind::Draft => ("/draft/deadly", format!("draft-{number}")),
        Kind::Lookup => ("/status/deadly", format!("lookup-{number}")),
        Kind::Order => ("/order/deadly", format!("order-{number}")),
    };
    let prompt = (kind == Kind::Draft).then(|| draft("deadly").prompt).flatten();
    Request { prompt, body: Bytes::from_static(b"deadly"), ..site::request(&id, path) }
}

/// A sound request: one of many orders or drafts, or a lookup that is sent again and again.
fn sound(number: usize) -> Request {
    let id = format!("sound-{number}");
    let body = Bytes::from(id.clone());
    match number % 3 {
        0 => Request { body, ..site::request(&id, "/order/1") },
        1 => Request { body, ..draft(&id) },
        _ => site::request(&id, POPULAR),
    }
}

/// Sends a request and awaits its end.
async fn send(entry: Arc<Entry>, request: Request) -> Seen {
    if request.prompt.is_some() {
        let seen = generate(entry, request).await;
        let is_whole = seen.is_whole();
        return match seen.refused {
            Some(refusal) => Seen::Refused(refusal),
            None if is_whole => Seen::Served,
            None => Seen::Failed,
        };
    }
    match entry.proxy().handle(request).await {
        Reply::Refused(refusal) => Seen::Refused(refusal),
        Reply::Answered(answer) if answer.status.is_success() => Seen::Served,
        Reply::Answered(_) | Reply::Streaming(_) => Seen::Failed,
    }
}

/// Sends requests to the entry VMs in turn, some of them deadly; returns the sound ones.
async fn play(site: &Site, kinds: &[Kind], numbers: Range<usize>) -> Vec<Sound> {
    let mut sounds = Vec::new();
    for number in numbers {
        // The deadly one comes at all entry VMs.
        let entry = site.entries[(number / DEADLY_EVERY + number) % site.entries.len()].clone();
        if number.is_multiple_of(DEADLY_EVERY) {
            let kind = kinds[number / DEADLY_EVERY % kinds.len()];
            tokio::spawn(send(entry, deadly(kind, number)));
        } else {
            let seen = tokio::spawn(send(entry, sound(number)));
            sounds.push(Sound { sent_at: Instant::now(), seen });
        }
        sleep(GAP).await;
    }
    sounds
}

/// Number of deadly requests that reached upstreams later than [`TOUCH`] after the third crash and
/// after `calm_from`.
fn late_arrivals(site: &Site, calm_from: Instant) -> usize {
    let crashes = site.fleet.poisoned_crashes();
    let third = *crashes.get(CRASHES - 1).expect("at least three crashes");
    let limit = third.max(calm_from) + TOUCH;
    site.fleet.poisoned_arrivals().iter().filter(|at| **at > limit).count()
}

/// Number of sound requests sent after `from`, and of those not served.
async fn unserved(sounds: Vec<Sound>, from: Instant) -> (usize, usize) {
    let (mut sent, mut unserved) = (0, 0);
    for Sound { sent_at, seen } in sounds {
        let seen = seen.await.expect("a request's task ends");
        if sent_at > from {
            sent += 1;
            unserved += usize::from(!matches!(seen, Seen::Served));
        }
    }
    (sent, unserved)
}

/// Asserts that few deadly requests reached upstreams and that sound ones were served; both from
/// some time after the third crash and after `calm_from`.
async fn assert_contained(site: &Site, sounds: Vec<Sound>, calm_from: Instant) {
    let late = late_arrivals(site, calm_from);
    let crashes = site.fleet.poisoned_crashes();
    let from = crashes[CRASHES - 1].max(calm_from) + 4 * TOUCH;
    let (sent, unserved) = unserved(sounds, from).await;
    assert!(late <= ALLOWED, "{late} requests reached upstreams late, {} crashes", crashes.len());
    assert!(sent >= 20 && unserved == 0, "{unserved} of {sent} sound requests unserved");
}

async fn condemned(entry: &Entry) -> Vec<String> {
    entry.dump().await.quarantine.condemned
}

async fn start(kinds: &[Kind]) -> Site {
    let site = Site::start(6).await;
    kinds.iter().for_each(|kind| site.poison_request(&deadly(*kind, 0)));
    site
}

#[rstest]
#[case::draft(Kind::Draft)]
#[case::lookup(Kind::Lookup)]
#[case::order(Kind::Order)]
#[tokio::test(start_paused = true)]
async fn a_request_that_crashed_three_upstreams_crashes_few_more(#[case] kind: Kind) {
    let site = start(&[kind]).await;
    let began = Instant::now();

    let sounds = play(&site, &[kind], 0..300).await;

    assert_contained(&site, sounds, began).await;
}

/// Prompts take a second to prefill, so more drafts are under way when the first ones crash engines.
#[tokio::test(start_paused = true)]
async fn drafts_that_wait_crash_no_engine_once_their_request_is_condemned() {
    let site = start(&[Kind::Draft]).await;

    for number in 0..20 {
        let entry = site.entries[number % site.entries.len()].clone();
        tokio::spawn(send(entry, deadly(Kind::Draft, number)));
        sleep(GAP).await;
    }
    sleep(4 * TOUCH).await;

    let crashes = site.fleet.poisoned_crashes();
    let late = crashes.iter().filter(|at| **at > crashes[CRASHES - 1] + SPREAD).count();
    assert_eq!(late, 0, "of {} crashes", crashes.len());
}

/// Other prompts may share the first part of the deadly one, which no sound run has settled yet.
#[tokio::test(start_paused = true)]
async fn a_part_that_a_deadly_request_brings_is_not_condemned_for_others() {
    let first = Part { id: 0xf1, tokens: 200 };
    let with_first = |request: Request| {
        let prompt = request.prompt.map(|mut prompt| {
            prompt.parts[0] = first;
            prompt
        });
        Request { prompt, ..request }
    };
    let site = start(&[Kind::Draft]).await;
    for number in 0..20 {
        let entry = site.entries[number % site.entries.len()].clone();
        tokio::spawn(send(entry, with_first(deadly(Kind::Draft, number))));
        sleep(GAP).await;
    }
    sleep(4 * TOUCH).await;

    for (number, entry) in site.entries.iter().enumerate() {
        let seen = send(entry.clone(), with_first(sound(3 * number + 1))).await;

        assert!(matches!(seen, Seen::Served), "{seen:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn each_of_two_deadly_requests_is_found() {
    let kinds = [Kind::Order, Kind::Lookup];
    let site = start(&kinds).await;

    play(&site, &kinds, 0..300).await;

    assert_eq!(condemned(&site.entries[0]).await.len(), 2);
    let crashes = site.fleet.poisoned_crashes().len();
    assert!(crashes <= 2 * (CRASHES + ALLOWED), "{crashes} crashes");
}

#[rstest]
#[case::draft(Kind::Draft)]
#[case::lookup(Kind::Lookup)]
#[case::order(Kind::Order)]
#[tokio::test(start_paused = true)]
async fn a_quarantined_request_is_refused_as_not_run(#[case] kind: Kind) {
    let site = start(&[kind]).await;
    play(&site, &[kind], 0..120).await;
    let before = site.fleet.poisoned_arrivals().len();

    let seen = send(site.entries[0].clone(), deadly(kind, 1_000)).await;

    let Seen::Refused(refusal) = seen else {
        panic!("{seen:?}");
    };
    assert_eq!((refusal.code, refusal.ran), (Code::Quarantined, Ran::No));
    assert!(refusal.retry_after_ms >= 60_000);
    assert_eq!(site.fleet.poisoned_arrivals().len(), before);
}

/// An order that reached a replica may have run.
#[tokio::test(start_paused = true)]
async fn only_an_order_that_reached_no_replica_is_refused_as_not_run() {
    let site = start(&[Kind::Order]).await;

    let (mut not_run, mut unknown) = (0, 0);
    for number in 0..40 {
        let before = site.fleet.poisoned_arrivals().len();
        let entry = site.entries[number % site.entries.len()].clone();
        let seen = send(entry, deadly(Kind::Order, number)).await;
        let has_arrived = site.fleet.poisoned_arrivals().len() > before;
        match seen {
            Seen::Refused(refusal) if refusal.ran == Ran::No => {
                not_run += 1;
                assert!(!has_arrived, "order {number} was refused as not run");
            }
            _ => unknown += usize::from(has_arrived),
        }
        sleep(4 * GAP).await;
    }

    assert!(not_run > 0 && unknown >= CRASHES, "{not_run} not run, {unknown} unknown");
}

#[rstest]
#[case::draft(Kind::Draft)]
#[case::lookup(Kind::Lookup)]
#[case::order(Kind::Order)]
#[tokio::test(start_paused = true)]
async fn a_quarantine_of_a_request_outlives_all_entry_vms(#[case] kind: Kind) {
    let mut site = start(&[kind]).await;
    let began = Instant::now();

    play(&site, &[kind], 0..150).await;
    ZONES.into_iter().for_each(|zone| site.lose_entry(zone));
    ZONES.into_iter().for_each(|zone| drop(site.join(zone, 2)));
    let sounds = play(&site, &[kind], 150..300).await;

    assert_contained(&site, sounds, began).await;
}

#[tokio::test(start_paused = true)]
async fn a_quarantine_of_a_request_needs_no_link_between_entry_vms() {
    let site = start(&[Kind::Order]).await;
    let began = Instant::now();
    ZONES.into_iter().for_each(|zone| site.hub.set_cut(&format!("entry-{zone}"), true));

    let sounds = play(&site, &[Kind::Order], 0..300).await;

    assert_contained(&site, sounds, began).await;
}

#[rstest]
#[case::lookup(Kind::Lookup)]
#[case::order(Kind::Order)]
#[tokio::test(start_paused = true)]
async fn a_quarantine_of_a_request_spreads_once_the_store_is_back(#[case] kind: Kind) {
    let site = start(&[kind]).await;
    site.store.set_away(true);

    play(&site, &[kind], 0..100).await;
    site.store.set_away(false);
    let back = Instant::now();
    let sounds = play(&site, &[kind], 100..400).await;

    assert_contained(&site, sounds, back).await;
    for entry in &site.entries {
        assert_eq!(condemned(entry).await.len(), 1);
    }
}

/// Many entry VMs, at each of which the request comes once in a while.
#[rstest]
#[case::lookup(Kind::Lookup)]
#[case::order(Kind::Order)]
#[tokio::test(start_paused = true)]
async fn a_request_that_comes_at_many_entry_vms_crashes_few_more(#[case] kind: Kind) {
    let mut site = start(&[kind]).await;
    for number in 0..24 {
        site.join_as(&format!("entry-more-{number}"), ZONES[number % ZONES.len()]);
    }
    sleep(TOUCH).await;
    let began = Instant::now();

    let sounds = play(&site, &[kind], 0..300).await;

    assert_contained(&site, sounds, began).await;
}

/// Replicas that end of another cause while sound requests run there.
#[tokio::test(start_paused = true)]
async fn other_crashes_quarantine_no_sound_request() {
    let site = Site::start(6).await;
    let mut sounds = Vec::new();

    for turn in 0..8 {
        for id in site.fleet.of_zone(ZONES[turn % 3]).into_iter().filter(|id| id.contains("desk")) {
            site.crash(&id);
        }
        for number in 0..40 {
            let entry = site.entries[number % site.entries.len()].clone();
            let seen =
                tokio::spawn(send(entry, site::request(&format!("{turn}-{number}"), POPULAR)));
            sounds.push(Sound { sent_at: Instant::now(), seen });
            sleep(GAP / 5).await;
        }
    }

    let (sent, unserved) = unserved(sounds, Instant::now() - 10 * TOUCH).await;
    assert!(sent > 100 && unserved == 0, "{unserved} of {sent} sound requests unserved");
    for entry in &site.entries {
        assert!(condemned(entry).await.is_empty());
    }
}

/// All replicas lose their power while alike requests run at each.
#[rstest]
#[case::lookups(POPULAR)]
#[case::orders("/order/popular")]
#[tokio::test(start_paused = true)]
async fn the_loss_of_all_replicas_quarantines_no_popular_request(#[case] path: &str) {
    let site = Site::start(6).await;
    let mut sounds = Vec::new();

    for turn in 0..3 {
        for number in 0..400 {
            let entry = site.entries[number % site.entries.len()].clone();
            let request = site::request(&format!("{turn}-{number}"), path);
            sounds
                .push(Sound { sent_at: Instant::now(), seen: tokio::spawn(send(entry, request)) });
            sleep(GAP / 25).await;
        }
        for zone in ZONES {
            let desks = site.fleet.of_zone(zone).into_iter().filter(|id| id.contains("desk"));
            desks.for_each(|id| site.crash(&id));
        }
        sleep(2 * TOUCH).await;
    }
    let last = Instant::now();
    for number in 0..20 {
        let entry = site.entries[number % site.entries.len()].clone();
        let request = site::request(&format!("last-{number}"), path);
        sounds.push(Sound { sent_at: Instant::now(), seen: tokio::spawn(send(entry, request)) });
        sleep(GAP).await;
    }

    let (sent, unserved) = unserved(sounds, last - GAP).await;
    assert!(sent >= 20 && unserved == 0, "{unserved} of {sent} sound requests unserved");
    for entry in &site.entries {
        assert!(condemned(entry).await.is_empty());
    }
}

#[tokio::test(start_paused = true)]
async fn a_quarantine_of_a_request_that_an_operator_lifts_ends_everywhere() {
    let site = start(&[Kind::Order]).await;
    play(&site, &[Kind::Order], 0..120).await;
    let record = site.store.stored_quarantines().into_iter().find(|q| q.subject.is_request());

    site.store.remove_quarantine(record.expect("a record").subject);
    sleep(TOUCH).await;

    for entry in &site.entries {
        assert!(condemned(entry).await.is_empty());
    }
}
