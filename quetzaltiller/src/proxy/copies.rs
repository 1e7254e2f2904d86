//! Copies of a run's memory at other engines: what they are called there, orders to make them and to free
//! those that nobody will go on from.

use super::Context;
use crate::fleet::Upstream;
use crate::metrics::Counter;
use crate::placement::{self, Demand};
use crate::prelude::*;
use crate::upstream::{self, Client};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// Limit of a copy of a run's memory, which takes 10 ms and waits for others on the links.
const COPY_LIMIT: Duration = Duration::from_millis(1_000);
/// Limit of an order to free a copy: a round trip many times over. Engines forget copies by themselves.
const RELEASE_LIMIT: Duration = Duration::from_millis(200);
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

impl Held {
    /// A copy that was ordered.
    fn ordered((place, copy): (placement::Copy, upstream::Copy)) -> Self {
        Self { place: Some(place), copy }
    }

    /// Address of the engine that holds it. One that backs a run up names the copy itself.
    fn holder(&self) -> SocketAddr {
        self.place.as_ref().map_or(self.copy.origin, |place| place.upstream.address)
    }

    /// Frees the copy at its engine, then the place held for it.
    async fn release(self, client: Arc<dyn Client>) {
        client.drop_copy(self.holder(), &self.copy, RELEASE_LIMIT).await;
    }
}

/// What became of an order to copy the run at an engine.
pub struct Ordered {
    /// Engine that runs it.
    pub of: String,
    made: Option<(placement::Copy, upstream::Copy)>,
}

impl Ordered {
    /// Frees what was made for a run that has ended meanwhile.
    pub fn discard(self, context: &Context) {
        if let Some(made) = self.made {
            context.scope.spawn(Held::ordered(made).release(context.client.clone()));
        }
    }
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

    /// Takes the copy that an engine holds, to go on from: that can be done once.
    pub fn spend(&mut self, holder: &str) -> Option<upstream::Copy> {
        self.held.remove(holder).map(|held| held.copy)
    }

    /// Frees the copies at engines that are not `needed`.
    pub fn keep(&mut self, context: &Context, needed: impl Fn(&str) -> bool) {
        let needless: Vec<_> = self.held.keys().filter(|holder| !needed(holder)).cloned().collect();
        for held in needless.iter().filter_map(|holder| self.held.remove(holder)) {
            context.scope.spawn(held.release(context.client.clone()));
        }
    }

    /// Frees what is left when the generation has ended. Engines free what they copy by themselves where a
    /// run came to its end.
    pub fn end(&mut self, context: &Context, whole: bool) {
        if whole {
            self.held.retain(|_, held| held.place.is_some());
        }
        self.keep(context, |_| false);
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
            let ordered = Ordered { of: primary.id.clone(), made };
            // Nobody listens once the generation has ended.
            if let Err(unheard) = orders.send(ordered)
                && let Some(made) = unheard.0.made
            {
                Held::ordered(made).release(client).await;
            }
        });
    }

    /// Takes the result of an order; returns the holder, if the copy was made.
    pub fn take(&mut self, context: &Context, ordered: Ordered) -> Option<String> {
        let (place, copy) = ordered.made?;
        let holder = place.upstream.id.clone();
        context.metrics.count(Counter::RunCopied);
        info!("run_copied", kv: { request = self.request, of = ordered.of, holder });
        self.renew_at = Some(context.clock.now() + period(&place));
        self.held.insert(holder.clone(), Held::ordered((place, copy)));
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
    place.ttl.mul_f64(RENEWAL_SHARE).max(MIN_PERIOD)
}
