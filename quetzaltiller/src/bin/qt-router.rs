//! Daemon that runs the router of an entry VM.

use argh::FromArgs;
use async_trait::async_trait;
use quetzaltiller::adapters::{HttpEngine, HttpService, HttpStore, TcpPeer, serve_peers};
use quetzaltiller::config::Config;
use quetzaltiller::operators::{Health, Process};
use quetzaltiller::router::{Ports, Router};
use quetzaltiller::scope::Scope;
use quetzaltiller::{daemon, front, logs, operators};
use serde_json::Value;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum number of operators' connections at once.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// Longest wait for callers to receive the ends of their responses when the process ends.
const LAST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Routes callers' requests to engines and services.
#[derive(FromArgs)]
struct Args {
    /// settings, a JSON file
    #[argh(option)]
    config: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
    /// log debugging events too
    #[argh(switch)]
    verbose: bool,
}

struct Daemon {
    router: Arc<Router>,
    leave: Notify,
}

#[async_trait]
impl Process for Daemon {
    async fn dump(&self) -> Value {
        serde_json::to_value(self.router.dump().await).unwrap_or_default()
    }

    fn metrics(&self) -> String {
        self.router.metrics().text()
    }

    fn health(&self) -> Health {
        self.router.health()
    }

    fn leave(&self) {
        self.leave.notify_one();
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let config = match Config::open(&args.config) {
        Ok(config) => config,
        Err(faults) => return daemon::report_faults(&faults),
    };
    if args.check {
        println!("{}: no faults", args.config.display());
        return ExitCode::SUCCESS;
    }
    daemon::exit("qt-router", run(config, args.verbose))
}

#[tokio::main]
async fn run(mut config: Config, verbose: bool) -> Result<(), Box<dyn std::error::Error>> {
    let terminated = daemon::terminated()?;
    let scope = Scope::default();
    let log_buffer = logs::start(&scope, verbose)?;
    let caller_listener = daemon::listen(&mut config.caller_address).await?;
    let peer_listener = daemon::listen(&mut config.peer_address).await?;
    let operator_listener = daemon::listen(&mut config.operator_address).await?;
    let ports = Ports {
        store: Arc::new(HttpStore::new(&config.platform_address)),
        engines: Arc::new(HttpEngine),
        services: Arc::new(HttpService),
        link: Arc::new(TcpPeer::default()),
    };
    let max_connections = config.limits.max_connections;
    let router = Router::builder(config, ports).incarnation(daemon::incarnation()).start();
    let process = Arc::new(Daemon { router: router.clone(), leave: Notify::new() });
    let operator_process: Arc<dyn Process> = process.clone();
    serve_peers(&scope, peer_listener, router.clone());
    daemon::serve_http(
        &scope,
        operator_listener,
        operators::routes(&operator_process),
        MAX_OPERATOR_CONNECTIONS,
    )?;
    let callers = Scope::default();
    let server =
        daemon::serve_http(&callers, caller_listener, front::routes(&router), max_connections)?;
    tokio::select! {
        biased;
        () = terminated => {}
        () = process.leave.notified() => {}
    }
    router.drain().await;
    server.stop_graceful(LAST_RESPONSE_TIMEOUT);
    callers.join().await;
    router.stop();
    logs::finish(&log_buffer).await;
    scope.stop();
    Ok(())
}
