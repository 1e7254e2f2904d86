//! Complete entry VMs over stand-ins whose engines crash on one part of prompts.

use quetzaltiller::proxy::{Part, Prompt, Request};
use standin::site::{Seen, Site, draft, generate};
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

#[tokio::test(start_paused = true)]
async fn a_part_that_crashed_five_engines_crashes_few_more() {
    let site = Site::start(6).await;
    let began = Instant::now();
    site.poison(BAD);

    let sound = send(&site, 0..240).await;
    let late = late_arrivals(&site, began);
    let (sent, unserved) = unserved(sound, fifth_crash(&site) + 2 * TOUCH).await;

    let crashes = site.fleet.poisoned_crashes().len();
    assert!(late <= ALLOWED, "{late} requests reached engines late, {crashes} crashes");
    assert!(sent >= 20 && unserved == 0, "{unserved} of {sent} sound requests unserved");
}
