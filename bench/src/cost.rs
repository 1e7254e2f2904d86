//! Cost of the router itself, over sockets: the same engine directly and through a router.

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

const PATIENCE: Duration = Duration::from_secs(120);
const SAMPLES: usize = 20;
const SAMPLE_TOKENS: u32 = 100;
const STREAM_TOKENS: u32 = 400;
const STEP: Duration = Duration::from_millis(5);
/// Memory and time are asked of the kernel in these units.
const PAGE_BYTES: u64 = 4_096;
const TICKS_PER_S: f64 = 100.0;

/// Figures of one way to reach the engine.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Way {
    /// Time to the first token.
    pub first_token_ms: Times,
    /// Time between tokens.
    pub token_gap_ms: Times,
    /// Processor time of the whole process for each token, engine and caller included.
    pub cpu_us_per_token: f64,
    /// Memory of the whole process for each open stream.
    pub bytes_per_stream: f64,
}

/// Cost of the router: the difference of the two ways.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Cost {
    /// The engine directly.
    pub direct: Way,
    /// Through a router that journals to a keeper.
    pub routed: Way,
    /// Added time to the first token, median.
    pub added_first_token_ms: f64,
    /// Added time for each token, mean over whole streams.
    pub added_per_token_us: f64,
    /// Tokens that one core carries, router and keeper together.
    pub tokens_per_s_per_core: f64,
    /// Most memory for each open stream: router and keeper, with engine and caller included.
    pub max_bytes_per_stream: f64,
    /// Streams open at once.
    pub streams: usize,
}

/// Measures both ways with `streams` at once.
pub async fn measure(streams: usize) -> Result<Cost, Box<dyn Error>> {
    let system = System::start(Deployment::Foundation, 2, &|settings| {
        settings.step = STEP;
        settings.step_per_stream = Duration::ZERO;
        settings.max_batch = usize::MAX;
    });
    let system = Arc::new(system.await?);
    // The routed way comes first: freed memory is not given back and would hide its share.
    let routed = measure_way(&system, Path::Routed, streams).await?;
    let direct = measure_way(&system, Path::Direct, streams).await?;
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

async fn measure_way(
    system: &Arc<System>,
    path: Path,
    streams: usize,
) -> Result<Way, Box<dyn Error>> {
    let (mut firsts, mut gaps) = (Vec::new(), Vec::new());
    for index in 0..SAMPLES {
        let arrivals = stream(system.clone(), path, index, SAMPLE_TOKENS).await;
        let (first, last) = (arrivals[0], arrivals[arrivals.len() - 1]);
        firsts.push(first.0);
        gaps.push((last.0 - first.0) / (last.1 - first.1).max(1) as u32);
    }
    let (cpu_before, memory_before) = (cpu_s()?, memory_bytes()?);
    let mut tasks = JoinSet::new();
    for index in 0..streams {
        tasks.spawn(stream(system.clone(), path, index, STREAM_TOKENS));
    }
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let memory = memory_bytes()?.saturating_sub(memory_before);
    let ended = tasks.join_all().await;
    let tokens: usize =
        ended.iter().filter_map(|arrivals| arrivals.last()).map(|last| last.1).sum();
    Ok(Way {
        first_token_ms: Times::new(firsts),
        token_gap_ms: Times::new(gaps),
        cpu_us_per_token: (cpu_s()? - cpu_before) * 1e6 / tokens as f64,
        bytes_per_stream: memory as f64 / streams as f64,
    })
}

/// Runs one stream; returns the times of arrival with the number of tokens held.
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
            let whole = caller.generate(&request, PATIENCE, &mut |_| {}).await;
            whole.expect("nothing fails here").arrivals
        }
    }
}

async fn direct(system: &System, index: usize, request: &Request) -> Vec<(Duration, usize)> {
    let engines: Vec<_> = system.engines.values().collect();
    let address = &engines[index % engines.len()].address;
    let began = Instant::now();
    let submission = Submission {
        generation: format!("{index:032x}{}", began.elapsed().as_nanos()),
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
    let mut chunks = HttpEngine.submit(address, &submission).await.expect("the engine serves");
    let mut arrivals = Vec::new();
    let mut held = 0;
    while let Some(Ok(chunk)) = chunks.next().await {
        if let Body::Tokens { tokens, .. } = chunk.body {
            held += tokens.len();
            arrivals.push((began.elapsed(), held));
        }
    }
    arrivals
}

/// Processor time of this process.
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
