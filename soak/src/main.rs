//! Command line of the fault soak: plays a range of seeds and prints or writes the results.

use argh::FromArgs;
use quetzaltiller::daemon;
use soak::plan::Size;
use soak::report::Report;
use soak::run::{self, Options};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Runs the real programs as processes on loopback, harms them from outside and checks what callers
/// and upstreams see. Ends with status 1 where a promise was broken.
#[derive(FromArgs)]
struct Args {
    /// first seed
    #[argh(option, default = "1")]
    from: u64,
    /// last seed
    #[argh(option, default = "1")]
    to: u64,
    /// seconds in which faults begin
    #[argh(option, default = "12")]
    seconds: u64,
    /// entry VMs
    #[argh(option, default = "4")]
    entries: usize,
    /// engines
    #[argh(option, default = "9")]
    engines: usize,
    /// replicas of the plain service
    #[argh(option, default = "3")]
    replicas: usize,
    /// callers
    #[argh(option, default = "16")]
    callers: usize,
    /// folder for logs and settings
    #[argh(option, default = "std::env::temp_dir().join(\"qt-soak\")")]
    folder: PathBuf,
    /// keep logs and settings of runs without a violation too
    #[argh(switch)]
    keep: bool,
    /// write the results as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// draw how requests ended
    #[argh(option)]
    svg: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match soak(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("qt-soak: {error}");
            ExitCode::from(2)
        }
    }
}

#[tokio::main]
async fn soak(args: &Args) -> Result<bool, Box<dyn std::error::Error>> {
    let size = Size {
        entries: args.entries,
        engines: args.engines,
        replicas: args.replicas,
        callers: args.callers,
    };
    let options = Options {
        size,
        length: Duration::from_secs(args.seconds),
        folder: args.folder.clone(),
        keep: args.keep,
    };
    let terminated = daemon::terminated()?;
    tokio::pin!(terminated);
    let mut report = Report::default();
    for seed in args.from..=args.to {
        let result = tokio::select! {
            biased;
            result = run::play(seed, &options) => result?,
            () = &mut terminated => {
                return Err(format!("stopped in seed {seed}; its processes end").into());
            }
        };
        println!("{result}");
        report.results.push(result);
    }
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(path) = &args.svg {
        report.draw(path)?;
    }
    Ok(report.is_clean())
}
