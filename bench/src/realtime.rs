//! A run over real sockets with the same load and checker, limited to faults of single engines.

use crate::checker::{EngineStream, Evidence};
use crate::faults::{InjectedFault, Kind, PlannedFault, record_loss, silenced_streams};
use crate::load;
use crate::report::Report;
use crate::run::{Options, REPORTED_COUNTERS, RunOutcome, report};
use crate::sockets::System;
use standin::engine::Engine;
use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Number of entry VMs.
const ENTRY_VMS: usize = 4;
/// Length of an engine pause.
const ENGINE_PAUSE: Duration = Duration::from_millis(1_500);

/// Runs without and with faults over sockets. Returns an error if a fault is not supported in real
/// time.
pub async fn run(options: &Options) -> Result<Report, Box<dyn Error>> {
    let faults = crate::faults::plan(&options.kinds, options.plan.duration, options.seed);
    if let Some(fault) = faults.iter().find(|fault| !is_supported(fault.kind)) {
        return Err(format!("{:?} needs virtual time", fault.kind).into());
    }
    let fault_free = run_once(options, Vec::new()).await?;
    let outcome = run_once(options, faults).await?;
    Ok(report(options, &outcome, &fault_free))
}

fn is_supported(kind: Kind) -> bool {
    matches!(kind, Kind::EngineKilled | Kind::EnginePaused | Kind::SilentConnection)
}

async fn run_once(
    options: &Options,
    planned: Vec<PlannedFault>,
) -> Result<RunOutcome, Box<dyn Error>> {
    let system = Arc::new(System::start(options.deployment, ENTRY_VMS, &|_| {}).await?);
    let start = Instant::now();
    let injection = tokio::spawn(inject(system.clone(), planned));
    let records = load::run_load(&system, &options.plan, options.seed).await;
    let injected = injection.await?;
    let engines = engines(&system);
    let engine_streams = engines.iter().flat_map(|(name, engine)| {
        let submitted = engine.submitted().into_iter();
        submitted.map(|submitted| EngineStream { address: name.clone(), submitted })
    });
    let work = || engines.values().map(Engine::work);
    let sum = |counter| system.routers.iter().map(|r| r.metrics().value(counter)).sum();
    let outcome = RunOutcome {
        evidence: Evidence {
            records,
            runs: system.service.runs(),
            engine_streams: engine_streams.collect(),
            ..Evidence::default()
        },
        injected,
        work_tokens: work().map(|work| work.prefilled + work.decoded).sum(),
        resumed_tokens: work().map(|work| work.resumed).sum(),
        counters: REPORTED_COUNTERS.iter().map(|counter| (counter.name(), sum(*counter))).collect(),
        peer_bytes: 0,
        in_force: Vec::new(),
        duration: start.elapsed(),
    };
    system.stop();
    Ok(outcome)
}

async fn inject(system: Arc<System>, planned: Vec<PlannedFault>) -> Vec<InjectedFault> {
    let start = Instant::now();
    let mut injected = Vec::new();
    for fault in planned {
        sleep_until(start + fault.at).await;
        injected.push(inject_fault(&system, fault.kind));
    }
    injected
}

fn inject_fault(system: &Arc<System>, kind: Kind) -> InjectedFault {
    let engines = engines(system);
    let alive = engines.iter().filter(|(name, _)| !system.network.is_dead(name));
    let busiest = alive.max_by_key(|(_, engine)| engine.running()).map(|(name, _)| name.clone());
    let mut injected = InjectedFault::new(kind);
    let Some(name) = busiest else {
        return injected;
    };
    if kind == Kind::EngineKilled {
        record_loss(&engines, &system.network, std::slice::from_ref(&name), &mut injected);
        system.engines[&name].kill();
        return injected;
    }
    injected.affected.extend(silenced_streams(&engines[&name]));
    if kind == Kind::SilentConnection {
        engines[&name].silence_connections();
        return injected;
    }
    let network = system.network.clone();
    network.set_frozen(&name, true);
    tokio::spawn(async move {
        sleep(ENGINE_PAUSE).await;
        network.set_frozen(&name, false);
    });
    injected
}

fn engines(system: &System) -> BTreeMap<String, Engine> {
    let engines = system.engines.iter();
    engines.map(|(name, process)| (name.clone(), process.engine.clone())).collect()
}
