//! One run: a deployment, its load, its faults, and what came of it.

use crate::callers::{Caller, Context};
use crate::checker::{self, Evidence, Violation};
use crate::deployment::{Deployment, Programs};
use crate::injector::{Injector, key};
use crate::plan::{Plan, Size};
use crate::record::{Attempt, Calm, Outcome};
use platform_standin::{operator, upstream};
use quetzaltiller::evidence::{Line, read};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

/// Time in which processes start and a first configuration is in force.
const START: Duration = Duration::from_secs(20);
/// Time after all faults in which what they began comes to an end.
const SETTLE: Duration = Duration::from_secs(4);
/// Entry VMs that end one after the other in the calm part.
const ROLLED: usize = 2;
/// Time in which the last requests end.
const LAST: Duration = Duration::from_secs(16);
/// Time in which engines notice that callers have gone.
const ORPHAN: Duration = Duration::from_secs(3);

/// How a run goes.
#[derive(Clone, Debug)]
pub struct Options {
    /// Sizes.
    pub size: Size,
    /// Time in which faults begin.
    pub length: Duration,
    /// Where logs and settings go; removed after a run without a violation, unless kept.
    pub folder: PathBuf,
    /// Keep the folder.
    pub keep: bool,
}

/// What came of a run.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Result {
    /// Plan.
    pub plan: Plan,
    /// Attempts of callers.
    pub attempts: usize,
    /// Whole answers.
    pub whole: usize,
    /// Runs at upstreams.
    pub runs: usize,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Logs and settings, where they were kept.
    pub folder: PathBuf,
    /// Lines of entry VMs.
    #[serde(skip)]
    pub lines: Vec<Line>,
}

/// Plays a seed.
pub async fn play(seed: u64, options: &Options) -> io::Result<Result> {
    let folder = options.folder.join(format!("seed-{seed}"));
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    std::fs::create_dir_all(&folder)?;
    let plan = Plan::new(seed, options.size, options.length);
    let evidence = collect(&plan, &folder).await?;
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

async fn collect(plan: &Plan, folder: &Path) -> io::Result<Evidence> {
    let programs = Programs::find()?;
    let deployment = Deployment::start(&programs, folder, plan.size, plan.seed).await?;
    let layout = deployment.layout;
    let configure = async {
        while operator::configure(layout.store(), 1, &[&key(1)]).await.is_err() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(START, configure).await?;
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
    sleep(SETTLE).await;
    let version = injector.configured().borrow().version;
    let calm = Calm { from: injector.began().elapsed(), version };
    for entry in 0..plan.size.entries.min(ROLLED) {
        injector.end_entry(entry).await;
        sleep(Duration::from_secs(1)).await;
    }
    stop.send_replace(true);
    for caller in callers {
        let _ = timeout(LAST, caller).await;
    }
    sleep(ORPHAN).await;
    let mut attempts = Vec::new();
    while let Ok(attempt) = received.try_recv() {
        attempts.push(attempt);
    }
    gather(&injector, plan.size, attempts, calm).await
}

/// Stops what still runs and reads its logs.
async fn gather(
    injector: &Injector,
    size: Size,
    attempts: Vec<Attempt>,
    calm: Calm,
) -> io::Result<Evidence> {
    let (running, ended) = look(injector, size).await;
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

/// Runs that engines still have, and processes that do not run although they should.
async fn look(injector: &Injector, size: Size) -> (BTreeMap<String, u64>, Vec<String>) {
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
