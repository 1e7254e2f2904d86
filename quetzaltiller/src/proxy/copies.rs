//! Copies of a run's memory at other engines.
//!
//! Some engines back a run up by themselves; other copies are requested here, and renewed as the
//! run grows. Copies that the generation can't resume from any more are released.

use super::Context;
use crate::fleet::Upstream;
use crate::metrics::Counter;
use crate::placement::{self, Demand};
use crate::prelude::*;
use crate::upstream::{self, Client};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Timeout of copying a run's memory. A copy takes 10 ms and may wait for others on the links.
const COPY_LIMIT: Duration = Duration::from_millis(1_000);
/// Timeout of releasing a copy: many times a round trip. Engines drop copies by themselves later.
const RELEASE_LIMIT: Duration = Duration::from_millis(200);
/// Interval between renewals as a share of the time after which engines drop a copy; the rest
/// leaves time for one renewal that fails.
const RENEWAL_SHARE: f64 = 0.6;
/// Minimum interval between renewals of a copy, whatever the configuration says: each costs a call
/// and its bytes on the link.
const MIN_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// A copy, and the place held for it if this entry VM requested the copy.
struct Held {
    place: Option<placement::Copy>,
    copy: upstream::Copy,
}

impl Held {
    /// A copy that was requested here.
    fn requested((place, copy): (placement::Copy, upstream::Copy)) -> Self {
        Self { place: Some(place), copy }
    }

    /// Address of the engine that holds the copy: the copy's origin, if the engine backs up the run
    /// by itself.
    fn holder(&self) -> SocketAddr {
        self.place.as_ref().map_or(self.copy.origin, |place| place.upstream.address)
    }

    /// Drops the copy at its engine, then releases the place held for it.
    async fn release(self, client: Arc<dyn Client>) {
        client.drop_copy(self.holder(), &self.copy, RELEASE_LIMIT).await;
    }
}

/// Result of a request to copy a run's memory.
pub struct CopyResult {
    /// Engine that ran the generation.
    pub primary: String,
    made: Option<(placement::Copy, upstream::Copy)>,
}

impl CopyResult {
    /// Releases a copy whose run has ended meanwhile.
    pub fn discard(self, context: &Context) {
        if let Some(made) = self.made {
            context.scope.spawn(Held::requested(made).release(context.client.clone()));
        }
    }
}

/// Copies of one generation's runs.
pub struct Copies {
    request: String,
    held: BTreeMap<String, Held>,
    /// Time at which the requested copy is to be renewed.
    renew_at: Option<Duration>,
    results: mpsc::UnboundedSender<CopyResult>,
}

impl Copies {
    /// Creates the set of copies of the runs of `request`, and the receiver of requested copies.
    pub fn new(request: &str) -> (Self, mpsc::UnboundedReceiver<CopyResult>) {
        let (results, received) = mpsc::unbounded_channel();
        let request = request.to_owned();
        (Self { request, held: BTreeMap::new(), renew_at: None, results }, received)
    }

    /// Removes and returns the copy at `holder` to resume from; a copy can be used once.
    pub fn take_for_restore(&mut self, holder: &str) -> Option<upstream::Copy> {
        self.held.remove(holder).map(|held| held.copy)
    }

    /// Releases the copies at engines that are not `needed`.
    pub fn retain(&mut self, context: &Context, needed: impl Fn(&str) -> bool) {
        let unneeded: Vec<_> = self.held.keys().filter(|holder| !needed(holder)).cloned().collect();
        for held in unneeded.iter().filter_map(|holder| self.held.remove(holder)) {
            context.scope.spawn(held.release(context.client.clone()));
        }
    }

    /// Releases all copies when the generation has ended. After a whole run, engines drop the
    /// copies that they made by themselves, so only requested ones are released.
    pub fn end(&mut self, context: &Context, whole: bool) {
        if whole {
            self.held.retain(|_, held| held.place.is_some());
        }
        self.retain(context, |_| false);
    }

    /// Adds the copy that the run's engine keeps at `holder` by itself.
    pub fn record_backup(&mut self, holder: &Upstream) {
        let copy = upstream::Copy { origin: holder.address, name: self.request.clone() };
        self.held.insert(holder.id.clone(), Held { place: None, copy });
    }

    /// Requests a copy of the run at `primary`, at an engine that the placer chooses.
    pub fn request(&self, context: &Context, demand: Demand, primary: Arc<Upstream>) {
        let (placer, client) = (context.placer.clone(), context.client.clone());
        let (request, results) = (self.request.clone(), self.results.clone());
        context.scope.spawn(async move {
            let made = match placer.place_copy(demand, primary.clone()).await {
                Some(place) => {
                    let (from, to) = (primary.address, place.upstream.address);
                    let copy = client.copy_run(from, &request, to, COPY_LIMIT).await;
                    copy.map(|copy| (place, copy))
                }
                None => None,
            };
            let result = CopyResult { primary: primary.id.clone(), made };
            // Sending fails once the generation has ended; the copy is released then.
            if let Err(undelivered) = results.send(result)
                && let Some(made) = undelivered.0.made
            {
                Held::requested(made).release(client).await;
            }
        });
    }

    /// Adds a requested copy and schedules its renewal; returns its holder, if the copy was made.
    pub fn accept(&mut self, context: &Context, result: CopyResult) -> Option<String> {
        let (place, copy) = result.made?;
        let holder = place.upstream.id.clone();
        context.metrics.count(Counter::RunCopied);
        info!("run_copied", kv: { request = self.request, of = result.primary, holder });
        self.renew_at = Some(context.clock.now() + renewal_interval(&place));
        self.held.insert(holder.clone(), Held::requested((place, copy)));
        Some(holder)
    }

    /// Time at which the requested copy is to be renewed.
    pub fn renew_at(&self) -> Option<Duration> {
        self.renew_at
    }

    /// Renews the copy at `holder` of the run at `primary`, if it was requested here: the engine
    /// does not renew such a copy by itself.
    pub fn renew(&mut self, context: &Context, primary: Option<&Upstream>, holder: Option<&str>) {
        self.renew_at = None;
        let held = holder.and_then(|id| self.held.get(id));
        let (Some(primary), Some(Held { place: Some(place), .. })) = (primary, held) else {
            return;
        };
        let (from, to) = (primary.address, place.upstream.address);
        let (client, request) = (context.client.clone(), self.request.clone());
        context.scope.spawn(async move {
            // The client logs a failure; the next renewal follows within seconds.
            let _ = client.copy_run(from, &request, to, COPY_LIMIT).await;
        });
        self.renew_at = Some(context.clock.now() + renewal_interval(place));
    }
}

/// Interval between renewals of a copy.
fn renewal_interval(place: &placement::Copy) -> Duration {
    place.ttl.mul_f64(RENEWAL_SHARE).max(MIN_RENEWAL_INTERVAL)
}
