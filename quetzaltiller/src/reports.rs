//! Asks engines for their load and for what they cached.

use crate::catalog::Catalog;
use crate::dispatch::Dispatch;
use crate::engine::Client;
use crate::objects::Upstream;
use crate::prelude::*;
use crate::scope::Scope;
use std::collections::BTreeSet;
use tokio::time::timeout;

/// What the reports need.
pub struct Dependencies {
    /// Engines.
    pub engines: Arc<dyn Client>,
    /// Which engines there are.
    pub catalog: Catalog,
    /// Told the load.
    pub dispatch: Dispatch,
    /// Pause between reports of one engine.
    pub period: Duration,
}

/// Starts asking, in `scope`; also passes each configuration on to the choice of upstreams.
pub fn start(scope: &Scope, parts: Dependencies) {
    scope.clone().spawn(follow(scope.clone(), parts));
}

async fn follow(scope: Scope, parts: Dependencies) {
    let mut changes = parts.catalog.changes();
    let mut asked = scope.child();
    loop {
        let set = changes.borrow_and_update().set.clone();
        parts.dispatch.configure(set.clone());
        asked.stop();
        asked = scope.child();
        let upstreams: BTreeSet<_> = set
            .upstreams()
            .filter(|upstream| is_engine(&set, upstream))
            .map(|upstream| (&upstream.name, &upstream.address))
            .collect();
        for (name, address) in upstreams {
            let upstream = (name.clone(), address.clone());
            asked.spawn(ask(parts.engines.clone(), parts.dispatch.clone(), upstream, parts.period));
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

async fn ask(
    engines: Arc<dyn Client>,
    dispatch: Dispatch,
    (name, address): (String, String),
    period: Duration,
) {
    let mut interval = tokio::time::interval(period);
    let mut seen = 0;
    loop {
        interval.tick().await;
        let report = timeout(period, engines.report(&address)).await;
        dispatch.record_report(name.clone(), report.ok().and_then(Result::ok));
        if let Ok(Ok(events)) = timeout(period, engines.cache_events(&address, seen)).await {
            seen = events.last().map_or(seen, |event| event.sequence);
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
