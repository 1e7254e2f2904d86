//! Polls engines for their load and their cache events, and passes both on to the choice of
//! upstreams.

use crate::catalog::Catalog;
use crate::dispatch::Dispatch;
use crate::engine::Client;
use crate::objects::Upstream;
use crate::prelude::*;
use crate::scope::Scope;
use std::collections::BTreeSet;
use tokio::time::timeout;

/// Dependencies of the polling tasks.
pub struct Dependencies {
    /// Client for engines.
    pub engines: Arc<dyn Client>,
    /// Configuration, which lists the engines.
    pub catalog: Catalog,
    /// Receives load reports, cache events and configurations.
    pub dispatch: Dispatch,
    /// Interval between polls of one engine, and the timeout of each call.
    pub period: Duration,
}

/// Starts polling in `scope`; also passes each configuration on to the choice of upstreams.
pub fn start(scope: &Scope, dependencies: Dependencies) {
    scope.clone().spawn(poll_engines(scope.clone(), dependencies));
}

async fn poll_engines(scope: Scope, dependencies: Dependencies) {
    let mut changes = dependencies.catalog.changes();
    let mut polls = scope.child();
    loop {
        let set = changes.borrow_and_update().set.clone();
        dependencies.dispatch.configure(set.clone());
        polls.stop();
        polls = scope.child();
        let upstreams: BTreeSet<_> = set
            .upstreams()
            .filter(|upstream| is_engine(&set, upstream))
            .map(|upstream| (&upstream.name, &upstream.address))
            .collect();
        for (name, address) in upstreams {
            let upstream = (name.clone(), address.clone());
            polls.spawn(poll(
                dependencies.engines.clone(),
                dependencies.dispatch.clone(),
                upstream,
                dependencies.period,
            ));
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn poll(
    engines: Arc<dyn Client>,
    dispatch: Dispatch,
    (name, address): (String, String),
    period: Duration,
) {
    let mut interval = tokio::time::interval(period);
    let mut last_sequence = 0;
    loop {
        interval.tick().await;
        let report = timeout(period, engines.report(&address)).await;
        dispatch.record_report(name.clone(), report.ok().and_then(Result::ok));
        if let Ok(Ok(events)) = timeout(period, engines.cache_events(&address, last_sequence)).await
        {
            last_sequence = events.last().map_or(last_sequence, |event| event.sequence);
            let blocks: Vec<_> = events.into_iter().map(|event| event.block).collect();
            if !blocks.is_empty() {
                dispatch.record_cached(name.clone(), blocks);
            }
        }
    }
}

fn is_engine(set: &Set, upstream: &Upstream) -> bool {
    set.pool(&upstream.pool).is_some_and(|pool| pool.model.is_some())
}
