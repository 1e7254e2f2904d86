//! Runs a stand-in of the platform, an engine or a service as a process.

use argh::FromArgs;
use quetzaltiller::scope::Scope;
use quetzaltiller::{daemon, logs};
use standin::engine::{Engine, Settings};
use standin::network::Network;
use standin::platform::Platform;
use standin::serve::{serve_engine, serve_platform, serve_service};
use standin::service::{self, Service};
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;

/// Stand-ins for what surrounds quetzaltiller.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    kind: Kind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Kind {
    Engine(EngineArgs),
    Platform(PlatformArgs),
    Service(ServiceArgs),
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// model to serve
    #[argh(option, default = "String::from(\"drafts\")")]
    model: String,
    /// version to serve
    #[argh(option, default = "String::from(\"1\")")]
    version: String,
    /// time of a step in milliseconds
    #[argh(option, default = "22")]
    step_ms: u64,
    /// ignore fencing numbers
    #[argh(switch)]
    ignore_fence: bool,
    /// seed of the sampling
    #[argh(option, default = "1")]
    seed: u64,
}

/// The platform's object API and list of VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// share of writes whose answer is lost
    #[argh(option, default = "0.0")]
    answer_lost: f64,
    /// age of the list of VMs in milliseconds
    #[argh(option, default = "0")]
    vm_lag_ms: u64,
    /// seed of the faults
    #[argh(option, default = "1")]
    seed: u64,
}

/// A replica of a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to listen on
    #[argh(option)]
    listen: String,
    /// do not run a key again
    #[argh(switch)]
    deduplicate: bool,
    /// share of orders whose answer is lost
    #[argh(option, default = "0.0")]
    answer_lost: f64,
    /// seed of the faults
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    daemon::exit("qt-standin", run(args.kind))
}

#[tokio::main]
async fn run(kind: Kind) -> Result<(), Box<dyn std::error::Error>> {
    let terminated = daemon::terminated()?;
    let (scope, network) = (Scope::default(), Network::new(Duration::ZERO));
    let log = logs::start(&scope, false)?;
    match kind {
        Kind::Engine(args) => {
            let listener = TcpListener::bind(&args.listen).await?;
            let settings = Settings {
                step: Duration::from_millis(args.step_ms),
                checks_fence: !args.ignore_fence,
                ..Settings::new(&args.listen, &args.model, &args.version)
            };
            let engine = Engine::start(settings, network.clone(), args.seed);
            serve_engine(&scope, listener, (&args.listen, engine), &network)?;
        }
        Kind::Platform(args) => {
            let listener = TcpListener::bind(&args.listen).await?;
            let platform = Platform::new(args.seed);
            platform.set_faults(|faults| {
                faults.answer_lost = args.answer_lost;
                faults.vm_lag = Duration::from_millis(args.vm_lag_ms);
            });
            serve_platform(&scope, listener, &platform)?;
        }
        Kind::Service(args) => {
            let listener = TcpListener::bind(&args.listen).await?;
            let settings = service::Settings {
                deduplicates: args.deduplicate,
                answer_lost: args.answer_lost,
                ..service::Settings::default()
            };
            let service = Service::new(settings, args.seed);
            serve_service(&scope, listener, (&args.listen, service), &network)?;
        }
    }
    terminated.await;
    logs::finish(&log).await;
    scope.stop();
    Ok(())
}
