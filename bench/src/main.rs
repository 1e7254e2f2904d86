//! `qt-bench`: runs loads with faults and reports the figures as JSON.

use argh::FromArgs;
use bench::deployment::Deployment;
use bench::faults::Kind;
use bench::overload::{self, LOADS};
use bench::report::Report;
use bench::run::{Options, run};
use bench::{cost, hedge, realtime, soak, sweep};
use quetzaltiller::logs;
use std::error::Error;
use std::io::IsTerminal as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;
use tokio::runtime::Runtime;

/// Measures quetzaltiller.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Cost(CostArgs),
    Hedge(HedgeArgs),
    Overload(OverloadArgs),
    Run(RunArgs),
    Soak(SoakArgs),
    Sweep(SweepArgs),
}

/// Cost of the router itself, over sockets.
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
struct CostArgs {
    /// streams open at once
    #[argh(option, default = "400")]
    streams: usize,
    /// file to write the figures to
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Lookups with a silent and a slow replica, with and without hedging.
#[derive(FromArgs)]
#[argh(subcommand, name = "hedge")]
struct HedgeArgs {
    /// foundation or cooperative
    #[argh(option)]
    deployment: Deployment,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
    /// file to write the figures to
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Load from half to three times the capacity, with one account far above its share.
#[derive(FromArgs)]
#[argh(subcommand, name = "overload")]
struct OverloadArgs {
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
    /// file to write the figures to
    #[argh(option)]
    json: Option<PathBuf>,
}

/// One run and its baselines.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunArgs {
    /// foundation or cooperative
    #[argh(option)]
    deployment: Deployment,
    /// seed of load and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// kind of a fault to inject once; may be given several times (default: engine_killed,
    /// engine_paused, silent_connection, router_killed)
    #[argh(option)]
    fault: Vec<Kind>,
    /// file to write the figures to
    #[argh(option)]
    json: Option<PathBuf>,
    /// leave the baselines out
    #[argh(switch)]
    no_baseline: bool,
    /// run over sockets on loopback, in real time, without baselines
    #[argh(switch)]
    real_time: bool,
    /// drafts begun in a second
    #[argh(option, default = "4.0")]
    drafts_per_s: f64,
}

/// The curve of waiting against engine work over the weight.
#[derive(FromArgs)]
#[argh(subcommand, name = "sweep")]
struct SweepArgs {
    /// seeds pooled at each weight
    #[argh(option, default = "8")]
    seeds: u64,
    /// runs at once
    #[argh(option, default = "4")]
    jobs: usize,
    /// file to write the figures to
    #[argh(option)]
    json: Option<PathBuf>,
    /// file to draw to
    #[argh(option)]
    svg: Option<PathBuf>,
}

/// Many seeds of single faults and of pairs; counts violations.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakArgs {
    /// first seed
    #[argh(option, default = "1")]
    from: u64,
    /// last seed
    #[argh(option, default = "12")]
    to: u64,
    /// pairs of faults instead of single ones
    #[argh(switch)]
    pairs: bool,
    /// runs at once
    #[argh(option, default = "4")]
    jobs: usize,
    /// file to write the pooled figures to
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Faults of `run` if none are given.
const DEFAULT_FAULTS: [Kind; 4] =
    [Kind::EngineKilled, Kind::EnginePaused, Kind::SilentConnection, Kind::RouterKilled];

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    logs::stop();
    match args.command {
        Command::Cost(args) => cost(&args),
        Command::Hedge(args) => {
            let figures = hedge::measure(args.deployment, args.seed);
            let json = serde_json::to_string_pretty(&figures).unwrap_or_default();
            print(args.json.as_deref(), &json).unwrap_or(ExitCode::SUCCESS)
        }
        Command::Overload(args) => {
            let points: Vec<_> =
                LOADS.iter().map(|load| overload::measure(*load, args.seed)).collect();
            let json = serde_json::to_string_pretty(&points).unwrap_or_default();
            print(args.json.as_deref(), &json).unwrap_or(ExitCode::SUCCESS)
        }
        Command::Run(args) => run_one(&args),
        Command::Soak(args) => soak(&args),
        Command::Sweep(args) => sweep(&args),
    }
}

fn run_one(args: &RunArgs) -> ExitCode {
    let kinds = if args.fault.is_empty() { DEFAULT_FAULTS.to_vec() } else { args.fault.clone() };
    let mut options = Options::new(args.deployment, args.seed, &kinds);
    options.baselines = !args.no_baseline;
    if std::io::stderr().is_terminal() {
        options.progress = |phase| eprintln!("running {phase}");
    }
    options.plan.drafts_per_s = args.drafts_per_s;
    let started_at = Instant::now();
    let report = match args.real_time {
        false => run(&options),
        true => match run_in_real_time(&mut options, args.fault.is_empty()) {
            Ok(report) => report,
            Err(error) => return fail(error.as_ref()),
        },
    };
    eprintln!(
        "ran {:.0} virtual seconds in {:.1} s",
        report.duration_s,
        started_at.elapsed().as_secs_f64()
    );
    let json = serde_json::to_string_pretty(&report).unwrap_or_default();
    if let Some(code) = print(args.json.as_deref(), &json) {
        return code;
    }
    verdict(report.violations.total())
}

fn soak(args: &SoakArgs) -> ExitCode {
    let kinds = if args.pairs { soak::FaultSelection::Pairs } else { soak::FaultSelection::Single };
    let summaries = soak::run_all(kinds, args.from..=args.to, args.jobs, &print_row);
    let json = serde_json::to_string_pretty(&summaries).unwrap_or_default();
    if let Some(code) = print(args.json.as_deref(), &json) {
        return code;
    }
    verdict(summaries.iter().map(|summary| summary.violations.total()).sum())
}

fn sweep(args: &SweepArgs) -> ExitCode {
    let curves =
        Deployment::ALL.map(|deployment| sweep::measure(deployment, args.seeds, args.jobs));
    let json = serde_json::to_string_pretty(&curves).unwrap_or_default();
    if let Some(code) = print(args.json.as_deref(), &json) {
        return code;
    }
    match args.svg.as_deref().map(|path| sweep::draw(&curves, path)) {
        Some(Err(error)) => fail(error.as_ref()),
        Some(Ok(())) | None => ExitCode::SUCCESS,
    }
}

fn print_row(report: &Report, kinds: &[Kind]) {
    println!(
        "{:?} seed {} {:?}: violations {} unfinished {} resume max {:.0} ms p99 {:.0} floor {:.0} \
         extra {:.4} resume {:.4} floor {:.4}",
        report.deployment,
        report.seed,
        kinds,
        report.violations.total(),
        report.unfinished,
        report.resume_latency_ms.max,
        report.resume_latency_ms.p99,
        report.resume_floor_ms,
        report.extra_work_ratio,
        report.resume_work_ratio,
        report.extra_work_floor_ratio,
    );
    if report.violations.total() > 0 {
        println!("  {:?}", report.violations);
    }
}

fn run_in_real_time(options: &mut Options, default: bool) -> Result<Report, Box<dyn Error>> {
    if default {
        options.kinds = vec![Kind::EngineKilled, Kind::EnginePaused, Kind::SilentConnection];
    }
    eprintln!("running twice in real time, about {} s each", 2 * options.plan.duration.as_secs());
    Runtime::new()?.block_on(realtime::run(options))
}

fn cost(args: &CostArgs) -> ExitCode {
    let measured = Runtime::new()
        .map_err(Into::into)
        .and_then(|runtime| runtime.block_on(cost::measure(args.streams)));
    match measured {
        Ok(cost) => {
            let json = serde_json::to_string_pretty(&cost).unwrap_or_default();
            print(args.json.as_deref(), &json).unwrap_or(ExitCode::SUCCESS)
        }
        Err(error) => fail(error.as_ref()),
    }
}

fn fail(error: &dyn Error) -> ExitCode {
    eprintln!("qt-bench: {error}");
    ExitCode::FAILURE
}

/// Prints the figures, or writes them to `path`; returns an exit code only if the write failed.
fn print(path: Option<&Path>, json: &str) -> Option<ExitCode> {
    let Some(path) = path else {
        println!("{json}");
        return None;
    };
    std::fs::write(path, json).err().map(|error| fail(&error))
}

fn verdict(violations: u64) -> ExitCode {
    if violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
