//! Copies of a run's memory at other engines: what they are called there, and orders to make them.

use super::Context;
use crate::fleet::Upstream;
use crate::metrics::Counter;
use crate::placement::{self, Demand};
use crate::prelude::*;
use crate::upstream;
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Limit of a copy of a run's memory, which takes 10 ms and waits for others on the links.
const COPY_LIMIT: Duration = Duration::from_millis(1_000);
/// Share of the time after which engines forget a copy, in which it is brought up to date: the rest is
/// for one renewal that fails.
const RENEWAL_SHARE: f64 = 0.6;
/// Renewals are no more frequent than this, whatever the configuration says: each is a call and bytes.
const MIN_PERIOD: Duration = Duration::from_millis(500);

/// A copy, and the place held for it where it was ordered.
struct Held {
    place: Option<placement::Copy>,
    copy: upstream::Copy,
}

/// What became of an order to copy the run at an engine.
pub struct Ordered {
    /// Engine that runs it.
    pub of: String,
    made: Option<(placement::Copy, upstream::Copy)>,
}

/// Copies of one generation's runs.
pub struct Copies {
    request: String,
    held: BTreeMap<String, Held>,
    /// When the copy that was ordered has to be brought up to date.
    renew_at: Option<Duration>,
    orders: mpsc::UnboundedSender<Ordered>,
}

impl Copies {
    /// Copies of the runs of `request`; also where the results of orders come.
    pub fn new(request: &str) -> (Self, mpsc::UnboundedReceiver<Ordered>) {
        let (orders, results) = mpsc::unbounded_channel();
        let request = request.to_owned();
        (Self { request, held: BTreeMap::new(), renew_at: None, orders }, results)
    }

    /// Copy that an engine holds.
    pub fn at(&self, holder: &str) -> Option<&upstream::Copy> {
        self.held.get(holder).map(|held| &held.copy)
    }

    /// Notes that an engine gets copies as the run grows.
    pub fn back_up(&mut self, holder: &Upstream) {
        let copy = upstream::Copy { origin: holder.address, name: self.request.clone() };
        self.held.insert(holder.id.clone(), Held { place: None, copy });
    }

    /// Orders a copy of the run at `primary`, at an engine of the placer's choice.
    pub fn order(&self, context: &Context, demand: Demand, primary: Arc<Upstream>) {
        let (placer, client) = (context.placer.clone(), context.client.clone());
        let (request, orders) = (self.request.clone(), self.orders.clone());
        context.scope.spawn(async move {
            let made = match placer.place_copy(demand, primary.clone()).await {
                Some(place) => {
                    let (from, to) = (primary.address, place.upstream.address);
                    let copy = client.copy_run(from, &request, to, COPY_LIMIT).await;
                    copy.map(|copy| (place, copy))
                }
                None => None,
            };
            // Nobody listens once the generation has ended.
            let _ = orders.send(Ordered { of: primary.id.clone(), made });
        });
    }

    /// Takes the result of an order; returns the holder, if the copy was made.
    pub fn take(&mut self, context: &Context, ordered: Ordered) -> Option<String> {
        let (place, copy) = ordered.made?;
        let holder = place.upstream.id.clone();
        context.metrics.count(Counter::RunCopied);
        info!("run_copied", kv: { request = self.request, of = ordered.of, holder });
        self.renew_at = Some(context.clock.now() + period(&place));
        self.held.insert(holder.clone(), Held { place: Some(place), copy });
        Some(holder)
    }

    /// When the copy that was ordered has to be brought up to date.
    pub fn renew_at(&self) -> Option<Duration> {
        self.renew_at
    }

    /// Brings the copy of the run at `primary` up to date, if `holder` has one that was ordered: the
    /// engine does not by itself.
    pub fn renew(&mut self, context: &Context, primary: Option<&Upstream>, holder: Option<&str>) {
        self.renew_at = None;
        let held = holder.and_then(|id| self.held.get(id));
        let (Some(primary), Some(Held { place: Some(place), .. })) = (primary, held) else {
            return;
        };
        let (from, to) = (primary.address, place.upstream.address);
        let (client, request) = (context.client.clone(), self.request.clone());
        context.scope.spawn(async move {
            // The client logs what was not copied; the next renewal is a few seconds away.
            let _ = client.copy_run(from, &request, to, COPY_LIMIT).await;
        });
        self.renew_at = Some(context.clock.now() + period(place));
    }
}

/// Time between renewals of a copy.
fn period(place: &placement::Copy) -> Duration {
    place.term.mul_f64(RENEWAL_SHARE).max(MIN_PERIOD)
}
