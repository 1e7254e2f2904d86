//! Cost of the router, measured over sockets: the same engines are called directly and through a
//! router.

use crate::deployment::{Deployment, key};
use crate::report::Times;
use crate::sockets::System;
use futures::StreamExt as _;
use quetzaltiller::adapters::HttpEngine;
use quetzaltiller::caller::{Caller, Http};
use quetzaltiller::engine::{Body, Client as _, Submission};
use quetzaltiller::generation::Request;
use serde::Serialize;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time that a caller waits for a generation.
const PATIENCE: Duration = Duration::from_secs(120);
/// Sequential streams for the time to the first token and between tokens.
const SAMPLES: usize = 20;
/// Tokens of each sequential stream.
const SAMPLE_TOKENS: u32 = 100;
/// Tokens of each concurrent stream.
const STREAM_TOKENS: u32 = 400;
/// Time of one decode step of an engine.
const STEP: Duration = Duration::from_millis(5);
/// Page size of the kernel, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;
/// Clock ticks per second, the unit of `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Measurements of one path to the engines.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PathFigures {
    /// Time to the first token.
    pub first_token_ms: Times,
    /// Mean time between the tokens of a stream.
    pub token_gap_ms: Times,
    /// CPU time per token of the whole process, including engine and caller.
    pub cpu_us_per_token: f64,
    /// Resident memory per open stream of the whole process, including engine and caller.
    pub bytes_per_stream: f64,
}

/// Cost of the router: the difference between the two paths.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Cost {
    /// Calls to the engines directly.
    pub direct: PathFigures,
    /// Calls through a router that replicates its journal to a keeper.
    pub routed: PathFigures,
    /// Added time to the first token, median.
    pub added_first_token_ms: f64,
    /// Added time per token: median over streams of the mean time between tokens.
    pub added_per_token_us: f64,
    /// Tokens per second that one core can carry, for router and keeper together.
    pub tokens_per_s_per_core: f64,
    /// Upper bound on the memory of router and keeper per open stream; includes engine and caller.
    pub max_bytes_per_stream: f64,
    /// Number of concurrent streams.
    pub streams: usize,
}

/// Measures both paths with `streams` concurrent streams.
pub async fn measure(streams: usize) -> Result<Cost, Box<dyn Error>> {
    let system = System::start(Deployment::Foundation, 2, &|settings| {
        settings.step = STEP;
        settings.step_per_stream = Duration::ZERO;
        settings.max_batch = usize::MAX;
    });
    let system = Arc::new(system.await?);
    // The routed path is measured first: freed memory is not returned to the kernel, so memory left
    // over from the direct path would hide the memory of the routed one.
    let routed = measure_path(&system, Path::Routed, streams).await?;
    let direct = measure_path(&system, Path::Direct, streams).await?;
    system.stop();
    let added_s = (routed.cpu_us_per_token - direct.cpu_us_per_token) / 1e6;
    let added_ms = routed.first_token_ms.p50 - direct.first_token_ms.p50;
    Ok(Cost {
        direct,
        routed,
        added_first_token_ms: added_ms,
        added_per_token_us: (routed.token_gap_ms.p50 - direct.token_gap_ms.p50) * 1e3,
        tokens_per_s_per_core: 1.0 / added_s,
        max_bytes_per_stream: routed.bytes_per_stream,
        streams,
    })
}

#[derive(Clone, Copy)]
enum Path {
    Direct,
    Routed,
}

async fn measure_path(
    system: &Arc<System>,
    path: Path,
    streams: usize,
) -> Result<PathFigures, Box<dyn Error>> {
    let (mut first_token_times, mut gaps) = (Vec::new(), Vec::new());
    for index in 0..SAMPLES {
        let arrivals = stream(system.clone(), path, index, SAMPLE_TOKENS).await;
        let (first, last) = (arrivals[0], arrivals[arrivals.len() - 1]);
        first_token_times.push(first.0);
        gaps.push((last.0 - first.0) / (last.1 - first.1).max(1) as u32);
    }
    let (cpu_before, memory_before) = (cpu_s()?, memory_bytes()?);
    let mut tasks = JoinSet::new();
    for index in 0..streams {
        tasks.spawn(stream(system.clone(), path, index, STREAM_TOKENS));
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let memory = memory_bytes()?.saturating_sub(memory_before);
    let arrivals_by_stream = tasks.join_all().await;
    let tokens: usize =
        arrivals_by_stream.iter().filter_map(|arrivals| arrivals.last()).map(|last| last.1).sum();
    Ok(PathFigures {
        first_token_ms: Times::new(first_token_times),
        token_gap_ms: Times::new(gaps),
        cpu_us_per_token: (cpu_s()? - cpu_before) * 1e6 / tokens as f64,
        bytes_per_stream: memory as f64 / streams as f64,
    })
}

/// Runs one stream; returns each arrival time with the number of tokens received by then.
async fn stream(
    system: Arc<System>,
    path: Path,
    index: usize,
    max_tokens: u32,
) -> Vec<(Duration, usize)> {
    let prompt = format!("Wristbands for festival {index}");
    let request = Request { model: "drafts".into(), prompt, max_tokens, ..Request::default() };
    match path {
        Path::Direct => direct(&system, index, &request).await,
        Path::Routed => {
            let key = key("roskilde-crew");
            let caller = Caller::new(Arc::new(Http::new(&key)), vec![system.entries[0].clone()]);
            let completion = caller.generate(&request, PATIENCE, &mut |_| {}).await;
            completion.expect("no fault is injected").arrivals
        }
    }
}

async fn direct(system: &System, index: usize, request: &Request) -> Vec<(Duration, usize)> {
    let engines: Vec<_> = system.engines.values().collect();
    let address = &engines[index % engines.len()].address;
    let started_at = Instant::now();
    let submission = Submission {
        generation: format!("{index:032x}{}", started_at.elapsed().as_nanos()),
        attempt: 1,
        model: request.model.clone(),
        version: "2026.1".into(),
        adapter: None,
        prompt: request.prompt.clone(),
        emitted: Vec::new(),
        max_tokens: request.max_tokens,
        sampling: request.sampling.clone(),
        priority: 1,
    };
    let mut chunks =
        HttpEngine.submit(address, &submission).await.expect("the engine accepts the submission");
    let mut arrivals = Vec::new();
    let mut token_count = 0;
    while let Some(Ok(chunk)) = chunks.next().await {
        if let Body::Tokens { tokens, .. } = chunk.body {
            token_count += tokens.len();
            arrivals.push((started_at.elapsed(), token_count));
        }
    }
    arrivals
}

/// CPU time of this process, user and system, in seconds.
fn cpu_s() -> Result<f64, Box<dyn Error>> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    Ok((ticks(11).ok_or("no user time")? + ticks(12).ok_or("no system time")?) / TICKS_PER_S)
}

/// Resident memory of this process.
fn memory_bytes() -> Result<u64, Box<dyn Error>> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm.split_whitespace().nth(1).ok_or("no resident size")?.parse()?;
    Ok(pages * PAGE_BYTES)
}
