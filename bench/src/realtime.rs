//! A run over real sockets: the same load and checker, with faults of engines.

use crate::checker::{Evidence, Taken};
use crate::faults::{Injected, Kind, Planned, note_loss, silence_hits};
use crate::load;
use crate::report::Report;
use crate::run::{COUNTED, Options, Seen, report};
use crate::sockets::System;
use standin::engine::Engine;
use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

const ENTRY_VMS: usize = 4;
const PAUSE: Duration = Duration::from_millis(1_500);

/// Runs without and with faults over sockets; faults other than those of one engine are refused.
pub async fn run(options: &Options) -> Result<Report, Box<dyn Error>> {
    let faults = crate::faults::plan(&options.kinds, options.plan.duration, options.seed);
    if let Some(fault) = faults.iter().find(|fault| !is_possible(fault.kind)) {
        return Err(format!("{:?} needs virtual time", fault.kind).into());
    }
    let quiet = observe(options, Vec::new()).await?;
    let seen = observe(options, faults).await?;
    Ok(report(options, &seen, &quiet))
}

fn is_possible(kind: Kind) -> bool {
    matches!(kind, Kind::EngineKilled | Kind::EnginePaused | Kind::SilentConnection)
}

async fn observe(options: &Options, planned: Vec<Planned>) -> Result<Seen, Box<dyn Error>> {
    let system = Arc::new(System::start(options.deployment, ENTRY_VMS, &|_| {}).await?);
    let start = Instant::now();
    let injecting = tokio::spawn(inject(system.clone(), planned));
    let records = load::offer(&system, &options.plan, options.seed).await;
    let injected = injecting.await?;
    let engines = engines(&system);
    let taken = engines.iter().flat_map(|(name, engine)| {
        let taken = engine.submitted().into_iter();
        taken.map(|submitted| Taken { address: name.clone(), submitted })
    });
    let work = || engines.values().map(Engine::work);
    let sum = |counter| system.routers.iter().map(|r| r.metrics().value(counter)).sum();
    let seen = Seen {
        evidence: Evidence {
            records,
            runs: system.service.runs(),
            taken: taken.collect(),
            ..Evidence::default()
        },
        injected,
        work_tokens: work().map(|work| work.prefilled + work.decoded).sum(),
        resumed_tokens: work().map(|work| work.resumed).sum(),
        counters: COUNTED.iter().map(|counter| (counter.name(), sum(*counter))).collect(),
        peer_bytes: 0,
        in_force: Vec::new(),
        duration: start.elapsed(),
    };
    system.stop();
    Ok(seen)
}

async fn inject(system: Arc<System>, planned: Vec<Planned>) -> Vec<Injected> {
    let start = Instant::now();
    let mut injected = Vec::new();
    for fault in planned {
        sleep_until(start + fault.at).await;
        injected.push(strike(&system, fault.kind));
    }
    injected
}

fn strike(system: &Arc<System>, kind: Kind) -> Injected {
    let engines = engines(system);
    let alive = engines.iter().filter(|(name, _)| !system.network.is_dead(name));
    let busiest = alive.max_by_key(|(_, engine)| engine.running()).map(|(name, _)| name.clone());
    let mut injected = Injected::new(kind);
    let Some(name) = busiest else {
        return injected;
    };
    if kind == Kind::EngineKilled {
        note_loss(&engines, &system.network, std::slice::from_ref(&name), &mut injected);
        system.engines[&name].kill();
        return injected;
    }
    injected.hits.extend(silence_hits(&engines[&name]));
    if kind == Kind::SilentConnection {
        engines[&name].silence_connections();
        return injected;
    }
    let network = system.network.clone();
    network.set_frozen(&name, true);
    tokio::spawn(async move {
        sleep(PAUSE).await;
        network.set_frozen(&name, false);
    });
    injected
}

fn engines(system: &System) -> BTreeMap<String, Engine> {
    let engines = system.engines.iter();
    engines.map(|(name, process)| (name.clone(), process.engine.clone())).collect()
}
