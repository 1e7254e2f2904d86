//! One run: starts a deployment, loads it, injects faults and checks what was recorded.

use crate::callers::{Caller, Context};
use crate::checker::{self, Evidence, Violation};
use crate::deployment::{Deployment, Programs};
use crate::injector::{Injector, account_key};
use crate::plan::{Plan, Size};
use crate::record::{Attempt, Calm, Outcome};
use platform_standin::{operator, upstream};
use quetzaltiller::evidence::{Line, read};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// Longest time for the store to start and accept the first configuration.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time after all faults for their consequences to end, before the calm part begins.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Number of entry VMs that restart one after the other in the calm part.
const ROLLING_RESTARTS: usize = 2;
/// Longest time for the last requests of each caller to end.
const LAST_REQUEST_LIMIT: Duration = Duration::from_secs(16);
/// Time for engines to notice that callers have gone, before runs without callers are counted.
const ORPHAN_GRACE: Duration = Duration::from_secs(3);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of processes and callers.
    pub size: Size,
    /// Length of the part in which faults begin.
    pub length: Duration,
    /// Parent folder of the logs and settings, with one folder for each seed; that of a run without
    /// a violation is removed unless `keep`.
    pub folder: PathBuf,
    /// Keep the folders of all runs.
    pub keep: bool,
}

/// Result of a run.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Result {
    /// Plan of the run.
    pub plan: Plan,
    /// Number of attempts of callers.
    pub attempts: usize,
    /// Number of complete answers.
    pub whole: usize,
    /// Number of runs that upstreams began.
    pub runs: usize,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Folder of the logs and settings; removed if the run was not kept.
    pub folder: PathBuf,
    /// Log lines of entry VMs.
    #[serde(skip)]
    pub lines: Vec<Line>,
}

/// Runs a seed and checks it; fails if the deployment can't be started or its logs can't be read.
pub async fn play(seed: u64, options: &Options) -> io::Result<Result> {
    let folder = options.folder.join(format!("seed-{seed}"));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let plan = Plan::new(seed, options.size, options.length);
    let evidence = run_plan(&plan, &folder).await?;
    let violations = checker::check(&evidence);
    if violations.is_empty() && !options.keep {
        std::fs::remove_dir_all(&folder)?;
    } else {
        let plan = serde_json::to_string_pretty(&plan)?;
        std::fs::write(folder.join("plan.json"), plan)?;
        let attempts = serde_json::to_string_pretty(&evidence.attempts)?;
        std::fs::write(folder.join("attempts.json"), attempts)?;
    }
    let success = |attempt: &&Attempt| matches!(attempt.outcome, Outcome::Success { .. });
    Ok(Result {
        plan,
        attempts: evidence.attempts.len(),
        whole: evidence.attempts.iter().filter(success).count(),
        runs: evidence.upstreams.iter().filter(|line| line.event == "run_begun").count(),
        violations,
        folder,
        lines: evidence.entries,
    })
}

/// Writes the first configuration once the store accepts it; fails if it takes too long to start.
pub async fn configure(store: SocketAddr) -> io::Result<()> {
    let configure = async {
        while operator::configure(store, 1, &[&account_key(1)]).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    Ok(timeout(START_LIMIT, configure).await?)
}

/// Runs a plan and returns what was recorded.
async fn run_plan(plan: &Plan, folder: &Path) -> io::Result<Evidence> {
    let programs = Programs::find()?;
    let deployment =
        Deployment::start(&programs, folder, plan.size, plan.seed, Default::default())?;
    let layout = deployment.layout;
    configure(layout.store()).await?;
    sleep(Duration::from_secs(1)).await;
    let injector = Injector::new(deployment);
    let (stop, stopped) = watch::channel(false);
    let (sender, mut received) = mpsc::unbounded_channel();
    let context = Context {
        layout,
        entries: plan.size.entries,
        seed: plan.seed,
        began: injector.began(),
        configured: injector.configured(),
        stopped,
        attempts: sender,
    };
    let callers: Vec<_> = (0..plan.size.callers)
        .map(|number| tokio::spawn(Caller::new(context.clone(), number).run()))
        .collect();
    drop(context);
    injector.play(plan).await;
    sleep(SETTLE_TIME).await;
    let version = injector.configured().borrow().version;
    let calm = Calm { from: injector.began().elapsed(), version };
    for entry in 0..plan.size.entries.min(ROLLING_RESTARTS) {
        injector.end_entry(entry).await;
        sleep(Duration::from_secs(1)).await;
    }
    stop.send_replace(true);
    for caller in callers {
        let _ = timeout(LAST_REQUEST_LIMIT, caller).await;
    }
    sleep(ORPHAN_GRACE).await;
    let mut attempts = Vec::new();
    while let Ok(attempt) = received.try_recv() {
        attempts.push(attempt);
    }
    stop_and_read_logs(&injector, plan.size, attempts, calm).await
}

/// Stops all processes and reads their logs.
async fn stop_and_read_logs(
    injector: &Injector,
    size: Size,
    attempts: Vec<Attempt>,
    calm: Calm,
) -> io::Result<Evidence> {
    let (running, ended) = inspect_processes(injector, size).await;
    let restarts = injector.restarts();
    let mut deployment = injector.deployment().await;
    let layout = deployment.layout;
    let restarts = restarts.into_iter().map(|(entry, at)| (layout.entry(entry), at)).collect();
    let log = |process: &crate::process::Process| process.log().to_owned();
    let upstreams: Vec<_> = deployment.upstreams.iter().map(|u| log(&u.process)).collect();
    let entries: Vec<_> = deployment.entries.iter().map(|e| log(&e.process)).collect();
    deployment.upstreams.clear();
    deployment.entries.clear();
    deployment.store.kill();
    let lines = |files: &[PathBuf]| {
        read(files).map_err(|(name, error)| io::Error::other(format!("{name}: {error}")))
    };
    Ok(Evidence {
        attempts,
        upstreams: lines(&upstreams)?,
        entries: lines(&entries)?,
        calm: Some(calm),
        restarts,
        running,
        ended,
    })
}

/// Returns the runs that engines still have and the processes that exited without being stopped.
async fn inspect_processes(
    injector: &Injector,
    size: Size,
) -> (BTreeMap<String, u64>, Vec<String>) {
    let mut deployment = injector.deployment().await;
    let layout = deployment.layout;
    let mut running = BTreeMap::new();
    let mut ended = Vec::new();
    for number in 0..size.engines {
        if let Some(runs) = upstream::running(layout.upstream(number)).await {
            running.insert(format!("u{number}"), runs);
        }
    }
    for (number, upstream) in deployment.upstreams.iter_mut().enumerate() {
        if !upstream.process.is_running() {
            ended.push(format!("u{number}"));
        }
    }
    for (number, entry) in deployment.entries.iter_mut().enumerate() {
        if !entry.process.is_running() {
            ended.push(format!("entry-{number}"));
        }
    }
    (running, ended)
}
