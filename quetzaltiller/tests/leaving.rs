//! Requests that an entry VM gets while it leaves, up to the end of its process: each gets an
//! answer or a refusal, and a refusal that says "not run" is true.

use quetzaltiller::entry::{Entry, Tunables};
use quetzaltiller::proxy::{Reply, Request};
use quetzaltiller::refusal::{Code, Ran};
use rstest::rstest;
use standin::fleet::Fault;
use standin::site::{Site, configuration, draft, request};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// Time from the signal until the process is killed, as in the stand-in's settings.
const GRACE: Duration = Duration::from_secs(8);
/// Time between two requests.
const GAP: Duration = Duration::from_millis(250);
/// Timeout that is longer than the grace period.
const LONG: Duration = Duration::from_secs(25);
/// Fault of a replica that takes 1.1 s, and of one that runs requests and never answers.
const SLOW: Fault = Fault::Slow(37);
const SILENT: Fault = Fault::Slow(1_000_000);

/// What a caller got before the process ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Got {
    Answer(u16),
    Refusal(Code, Ran),
    /// The stream has begun.
    Stream,
    Nothing,
}

const OK: Got = Got::Answer(200);
const IN_DOUBT: Got = Got::Refusal(Code::OutcomeUnknown, Ran::Unknown);
const LEAVING: Got = Got::Refusal(Code::Leaving, Ran::No);

/// Request that arrived some time after the signal.
#[derive(Debug)]
struct Asked {
    id: String,
    after: Duration,
    got: Got,
}

async fn ask(entry: Arc<Entry>, request: Request) -> Got {
    match entry.proxy().handle(request).await {
        Reply::Answered(answer) => Got::Answer(answer.status.as_u16()),
        Reply::Refused(refusal) => Got::Refusal(refusal.code, refusal.ran),
        Reply::Streaming(mut stream) => {
            tokio::spawn(async move { while stream.events.recv().await.is_some() {} });
            Got::Stream
        }
    }
}

fn of_path(id: &str, path: &str) -> Request {
    if path == "/draft/1" { draft(id) } else { request(id, path) }
}

/// What the caller has got by now.
async fn got(task: JoinHandle<Got>) -> Got {
    if task.is_finished() { task.await.unwrap() } else { Got::Nothing }
}

/// Starts a deployment in which requests for `path` have the timeout `timeout` and others a long
/// one, with the faults of its engines and of its replicas.
async fn start(
    (path, timeout): (&str, Duration),
    engines: Option<Fault>,
    replicas: Option<Fault>,
) -> Site {
    let site = Site::start(2).await;
    let mut content = configuration(2);
    for route in &mut content.routes {
        let is_path = path.starts_with(&route.path_prefix);
        let timeout = if is_path { timeout } else { LONG };
        Arc::make_mut(route).timeout_ms = timeout.as_millis() as u64;
    }
    site.store.configure(content);
    sleep(Duration::from_secs(1)).await;
    for upstream in site.fleet.listing() {
        let fault = if upstream.service == "desk" { replicas } else { engines };
        site.fleet.change(&upstream.id, |node| node.fault = fault);
    }
    site
}

/// Asks one entry VM each `GAP` from its signal on until its process ends; `open` is a request from
/// before the signal. Returns what it got and the others.
async fn leave_while_asked(site: &Site, open: &str, path: &str) -> (Got, Vec<Asked>) {
    let entry = site.entries[0].clone();
    let open = tokio::spawn(ask(entry.clone(), of_path("open", open)));
    sleep(Duration::from_millis(100)).await;
    let (signal, leaving) = (Instant::now(), entry.clone());
    let mut leaving = tokio::spawn(async move { leaving.leave().await });
    let mut tasks = Vec::new();
    for n in 0.. {
        tokio::select! {
            biased;
            ended = &mut leaving => {
                ended.unwrap();
                break;
            }
            () = sleep_until(signal + GAP * n) => {
                let request = of_path(&format!("asked-{n}"), path);
                tasks.push((GAP * n, request.id.clone(), tokio::spawn(ask(entry.clone(), request))));
            }
        }
    }
    let ended = signal.elapsed();
    assert!(ended < GRACE, "the process is killed after {ended:?}");
    let open = got(open).await;
    let mut asked = Vec::new();
    for (after, id, task) in tasks {
        asked.push(Asked { id, after, got: got(task).await });
    }
    entry.stop();
    (open, asked)
}

/// Guards against requests that were passed on and are open without an answer when the process
/// ends.
#[rstest]
#[case::order("/draft/1", "/order/1", None)]
#[case::slow_order("/draft/1", "/order/1", Some(SLOW))]
#[case::silent_order("/draft/1", "/order/1", Some(SILENT))]
#[case::lookup("/draft/1", "/status/1", None)]
#[case::slow_lookup("/draft/1", "/status/1", Some(SLOW))]
#[case::silent_lookup("/draft/1", "/status/1", Some(SILENT))]
#[case::draft("/order/1", "/draft/1", None)]
#[case::slow_draft("/order/1", "/draft/1", Some(Fault::Slow(4)))]
#[case::silent_draft("/order/1", "/draft/1", Some(Fault::LoseAnswer))]
#[case::draft_that_does_not_run("/order/1", "/draft/1", Some(Fault::Hang))]
#[tokio::test(start_paused = true)]
async fn a_request_that_comes_late_in_the_grace_gets_an_answer_or_a_refusal(
    #[case] open: &str,
    #[case] path: &str,
    #[case] fault: Option<Fault>,
    #[values(1_200, 2_500, 25_000)] timeout_ms: u64,
) {
    let timeout = Duration::from_millis(timeout_ms);
    let is_draft = path == "/draft/1";
    let engines = if is_draft { fault } else { Some(Fault::LoseAnswer) };
    let replicas = if is_draft { Some(SILENT) } else { fault };
    let site = start((path, timeout), engines, replicas).await;

    let (open, asked) = leave_while_asked(&site, open, path).await;

    let last = asked.last().expect("requests came");
    assert!(last.after + GAP * 2 > GRACE, "the process ended after {:?}", last.after);
    let runs = site.fleet.counts().runs;
    let silent: Vec<_> = asked.iter().filter(|asked| asked.got == Got::Nothing).collect();
    assert!(silent.is_empty(), "no answer: {silent:?}");
    assert_eq!(open, IN_DOUBT);
    for asked in &asked {
        let run = runs.get(&asked.id).copied().unwrap_or_default();
        let not_run = matches!(asked.got, Got::Refusal(_, Ran::No));
        assert!(!not_run || run == 0, "{asked:?} ran {run} times");
        assert!(path != "/order/1" || run <= 1, "{asked:?} ran {run} times");
    }
}

#[rstest]
#[case::order("/order/1")]
#[case::lookup("/status/1")]
#[tokio::test(start_paused = true)]
async fn a_leaving_vm_serves_what_can_end_before_its_process(#[case] path: &str) {
    let timeout = Duration::from_millis(1_200);
    let site = start((path, timeout), Some(Fault::LoseAnswer), None).await;

    let (_, asked) = leave_while_asked(&site, "/draft/1", path).await;

    let (early, late): (Vec<_>, Vec<_>) =
        asked.iter().partition(|asked| asked.after + timeout + GAP < GRACE);
    assert!(early.iter().all(|asked| asked.got == OK), "{early:?}");
    let last = late.last().expect("the process is still open");
    assert_eq!(last.got, LEAVING);
}

/// Guards against orders that are left in doubt before their caller's deadline; lookups may be
/// repeated.
#[rstest]
#[case::order("/order/1", LEAVING)]
#[case::lookup("/status/1", OK)]
#[tokio::test(start_paused = true)]
async fn a_leaving_vm_takes_no_order_that_may_outlast_its_process(
    #[case] path: &str,
    #[case] expected: Got,
) {
    let site = start((path, LONG), Some(Fault::LoseAnswer), None).await;

    let (_, asked) = leave_while_asked(&site, "/draft/1", path).await;

    let announced: Vec<_> = asked.iter().filter(|asked| asked.after <= GRACE / 4).collect();
    assert!(announced.iter().all(|asked| asked.got == expected), "{announced:?}");
}

/// The grace period may be shorter than the time for which a VM usually announces that it leaves.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_short_grace_period_ends_before_the_kill(#[values(500, 1_000, 2_000, 2_500)] ms: u64) {
    let site = start(("/order/1", LONG), None, Some(SILENT)).await;
    let entry = site.entries[0].clone();
    let grace = Duration::from_millis(ms);
    entry.configure(Tunables { grace, entries_lifetime: Duration::from_secs(5) });
    let open = tokio::spawn(ask(entry.clone(), request("open", "/order/1")));
    sleep(Duration::from_millis(10)).await;

    let signal = Instant::now();
    entry.leave().await;

    assert!(signal.elapsed() < grace, "ended after {:?} of {grace:?}", signal.elapsed());
    assert_eq!(got(open).await, IN_DOUBT);
}

#[tokio::test(start_paused = true)]
async fn a_request_after_the_last_open_one_is_refused() {
    let site = Site::start(2).await;
    let entry = site.entries[0].clone();

    entry.leave().await;
    let got = ask(entry.clone(), request("late", "/order/1")).await;

    assert_eq!(got, LEAVING);
    assert!(!site.fleet.counts().runs.contains_key("late"));
}
