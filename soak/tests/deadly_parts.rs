//! Real processes: engines that abort under one part of prompts, before or after the head of the
//! answer, and are started again.

use futures::StreamExt as _;
use hyper::Method;
use platform_standin::caller::{Attempt, Connection};
use platform_standin::operator::HOST;
use rstest::rstest;
use soak::deployment::{Deployment, Options, Programs};
use soak::injector::account_key;
use soak::plan::Size;
use soak::run;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Part that ends each engine that begins to answer it.
const DEADLY: u64 = 0xdead;
const SIZE: Size = Size { entries: 4, engines: 9, replicas: 1, callers: 0 };
/// Length of the load.
const LENGTH: Duration = Duration::from_secs(22);
/// Pause between two requests of one kind.
const DEADLY_PAUSE: Duration = Duration::from_millis(800);
const SOUND_PAUSE: Duration = Duration::from_millis(300);
/// Time after which an engine that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(2_500);
/// Crashes after which the number of further ones is limited.
const CRASHES: usize = 5;
/// Time after the last of these crashes from which further ones count.
const TOUCH: Duration = Duration::from_secs(4);
/// Further crashes from then on.
const ALLOWED: usize = 3;
const PATIENCE: Duration = Duration::from_secs(15);

async fn start(folder: &Path, options: Options) -> Deployment {
    std::fs::create_dir_all(folder).unwrap();
    let programs = Programs::find().unwrap();
    let deployment = Deployment::start(&programs, folder, SIZE, 1, options).unwrap();
    run::configure(deployment.layout.store()).await.expect("the store starts");
    sleep(Duration::from_secs(2)).await;
    deployment
}

/// Sends one prompt and reads its answer.
async fn send(entry: SocketAddr, id: String, own_part: u64, is_deadly: bool) -> bool {
    let Ok(mut connection) = Connection::open(entry).await else {
        return false;
    };
    let attempt = Attempt {
        id: &id,
        host: HOST,
        path: &format!("/draft/{own_part}"),
        key: &account_key(1),
        patience: PATIENCE,
        prompt: Some((800, own_part)),
        shared_part: is_deadly.then_some(DEADLY),
        last_event: None,
    };
    let answer = timeout(PATIENCE, connection.send(Method::POST, &attempt)).await;
    let Ok(Ok(answer)) = answer else {
        return false;
    };
    let mut events = answer.body.events();
    let read = async {
        let mut whole = answer.status == 200;
        while let Some(event) = events.next().await {
            whole &= event.is_ok();
        }
        whole
    };
    timeout(PATIENCE, read).await.unwrap_or(false)
}

/// Starts engines that have ended again; returns the times at which they ended.
async fn supervise(
    deployment: &mut Deployment,
    length: Duration,
    restart_delay: Duration,
) -> Vec<Instant> {
    let (mut crashes, began) = (Vec::new(), Instant::now());
    let mut restarts = [None; SIZE.engines];
    while began.elapsed() < length {
        for (number, restart_at) in restarts.iter_mut().enumerate() {
            let process = &mut deployment.upstreams[number].process;
            match *restart_at {
                None if !process.is_running() => {
                    crashes.push(Instant::now());
                    *restart_at = Some(Instant::now() + restart_delay);
                }
                Some(at) if Instant::now() >= at => {
                    deployment.start_upstream(number).unwrap();
                    *restart_at = None;
                }
                _ => {}
            }
        }
        sleep(Duration::from_millis(5)).await;
    }
    crashes
}

/// Guards against requests with a part that ends engines reaching engine after engine.
#[rstest]
#[case::after_the_head("answered", RESTART_DELAY, true)]
#[case::after_the_head_and_back_at_once("answered", Duration::ZERO, true)]
#[case::before_the_head("unanswered", RESTART_DELAY, true)]
#[case::before_the_head_and_back_at_once("unanswered", Duration::ZERO, true)]
#[case::after_the_head_behind_a_proxy("answered", RESTART_DELAY, false)]
#[tokio::test]
async fn a_part_that_ended_five_processes_ends_few_more(
    #[case] moment: &str,
    #[case] restart_delay: Duration,
    #[case] direct: bool,
) {
    let upstream_arguments = vec![format!("--deadly={DEADLY:x}"), format!("--crash={moment}")];
    let options = Options { direct, upstream_arguments };
    let (delay_ms, process) = (restart_delay.as_millis(), std::process::id());
    let name = format!("qt-deadly-{moment}-{delay_ms}-{direct}-{process}");
    let folder = std::env::temp_dir().join(name);
    let mut deployment = start(&folder, options).await;
    let entries: Vec<_> = (0..SIZE.entries).map(|n| deployment.layout.entry(n)).collect();
    let load = |pause: Duration, is_deadly: bool| {
        let entries = entries.clone();
        tokio::spawn(async move {
            let mut sent = Vec::new();
            for number in 0..(LENGTH.as_millis() / pause.as_millis()) as usize {
                let entry = entries[number % entries.len()];
                let id = format!("{}{number}", if is_deadly { "bad-" } else { "sound-" });
                let own_part = 1_000 + 2 * number as u64 + u64::from(is_deadly);
                let answer = tokio::spawn(send(entry, id, own_part, is_deadly));
                sent.push((Instant::now(), answer));
                sleep(pause).await;
            }
            sent
        })
    };
    let (deadly, sound) = (load(DEADLY_PAUSE, true), load(SOUND_PAUSE, false));

    let crashes = supervise(&mut deployment, LENGTH + Duration::from_secs(3), restart_delay).await;

    drop(deadly);
    let fifth = crashes.get(CRASHES - 1).copied();
    let late = crashes.iter().filter(|at| fifth.is_some_and(|fifth| **at > fifth + TOUCH)).count();
    let calm_from = crashes[crashes.len().min(CRASHES) - 1] + 2 * TOUCH;
    let (mut sent, mut served) = (0, 0);
    for (sent_at, answer) in sound.await.unwrap() {
        if sent_at > calm_from {
            sent += 1;
            served += usize::from(answer.await.unwrap());
        }
    }
    let began = crashes[0];
    let times: Vec<_> = crashes.iter().map(|at| (*at - began).as_millis()).collect();
    println!("crashes at {times:?} ms, {served} of {sent} sound requests served");
    assert!(late <= ALLOWED, "{late} late crashes of {}", crashes.len());
    assert!(sent >= 20 && 2 * served >= sent, "{served} of {sent} sound requests served");
    std::fs::remove_dir_all(&folder).unwrap();
}
