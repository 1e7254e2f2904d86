//! Daemon that runs the steward of an entry VM.

use argh::FromArgs;
use async_trait::async_trait;
use quetzaltiller::adapters::HttpStore;
use quetzaltiller::config;
use quetzaltiller::metrics::Metrics;
use quetzaltiller::operators::{Health, Process};
use quetzaltiller::scope::Scope;
use quetzaltiller::steward::Steward;
use quetzaltiller::{daemon, logs, operators};
use serde_json::{Value, json};
use spdlog::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::sync::Notify;

/// Maximum number of operators' connections at once.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// Accepts operators' configuration.
#[derive(FromArgs)]
struct Args {
    /// settings, a JSON file
    #[argh(option)]
    config: PathBuf,
    /// only check the settings
    #[argh(switch)]
    check: bool,
}

struct Daemon {
    name: String,
    metrics: Arc<Metrics>,
    leave: Notify,
}

#[async_trait]
impl Process for Daemon {
    async fn dump(&self) -> Value {
        json!({ "name": self.name, "counters": self.metrics.snapshot() })
    }

    fn metrics(&self) -> String {
        self.metrics.text()
    }

    fn health(&self) -> Health {
        Health::Ready
    }

    fn leave(&self) {
        self.leave.notify_one();
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let config = match config::StewardConfig::open(&args.config) {
        Ok(config) => config,
        Err(faults) => return daemon::report_faults(&faults),
    };
    if args.check {
        println!("{}: no faults", args.config.display());
        return ExitCode::SUCCESS;
    }
    daemon::exit("qt-steward", run(config))
}

#[tokio::main]
async fn run(mut config: config::StewardConfig) -> Result<(), Box<dyn std::error::Error>> {
    let terminated = daemon::terminated()?;
    let scope = Scope::default();
    let log_buffer = logs::start(&scope, false)?;
    let operator_listener = daemon::listen(&mut config.operator_address).await?;
    info!("steward_started", kv: {
        name = config.name, operator_address = config.operator_address
    });
    let metrics = Arc::new(Metrics::new(config.metrics_address.as_deref()));
    let store = Arc::new(HttpStore::new(&config.platform_address));
    scope.spawn(Steward::new(store, metrics.clone()).run());
    let process = Arc::new(Daemon { name: config.name, metrics, leave: Notify::new() });
    let operator_process: Arc<dyn Process> = process.clone();
    daemon::serve_http(
        &scope,
        operator_listener,
        operators::routes(&operator_process),
        MAX_OPERATOR_CONNECTIONS,
    )?;
    tokio::select! {
        biased;
        () = terminated => {}
        () = process.leave.notified() => {}
    }
    logs::finish(&log_buffer).await;
    scope.stop();
    Ok(())
}
