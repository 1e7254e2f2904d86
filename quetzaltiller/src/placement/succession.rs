//! Who has the address of a lost upstream.
//!
//! A service starts a new process where one was lost. Until an address may change hands, whoever has
//! it belongs to the same service; later only engines are told by what they serve, where one service
//! has all of them. Time in which this VM was suspended counts, though the steady clock leaves it out.

use crate::clock::Clock;
use crate::fleet::Upstream;
use crate::prelude::*;
use crate::upstream::Client;
use std::net::SocketAddr;

/// Pauses after a loss between questions; engines restart in 1 to 2 s.
const PAUSES: [Duration; 5] = [
    Duration::from_millis(500),
    Duration::from_millis(750),
    Duration::from_millis(300),
    Duration::from_millis(300),
    Duration::from_millis(1_500),
];
/// Limit of a question: a round trip between zones many times over.
const QUESTION_LIMIT: Duration = Duration::from_millis(80);

/// A lost upstream and the one that the same service has started at its address.
#[derive(Clone, Debug)]
pub struct Successor {
    /// Id of the lost one.
    pub lost: String,
    /// The new one.
    pub upstream: Upstream,
}

/// Answer to an inquiry.
#[derive(Clone, Debug)]
pub enum Finding {
    /// The upstream itself is there.
    Itself,
    /// Its service has started another process there.
    Succeeded(Successor),
}

/// Inquiry after one lost upstream.
pub struct Inquiry {
    /// Clock.
    pub clock: Clock,
    /// Access to upstreams.
    pub client: Arc<dyn Client>,
    /// The lost one.
    pub lost: Arc<Upstream>,
    /// Path of its service's health check.
    pub path: String,
    /// The address is its service's until then.
    pub own_until: Duration,
    /// Whether whatever serves models belongs to its service.
    pub only_engines: bool,
}

impl Inquiry {
    /// Asks until someone answers, a few times at most.
    pub async fn run(self) -> Option<Finding> {
        let suspended = self.clock.suspended();
        for pause in PAUSES {
            tokio::time::sleep(pause).await;
            let found = self.client.identify(self.lost.address, &self.path, QUESTION_LIMIT).await;
            let Some(id) = found else {
                continue;
            };
            let slept = self.clock.slept_since(suspended);
            let in_time = !slept && self.clock.now() < self.own_until;
            let succeeds = id != self.lost.id && (in_time || self.is_engine().await);
            info!("upstream_rechecked", kv: {
                upstream = self.lost.id, found = id, succeeds, in_time
            });
            if id == self.lost.id {
                return Some(Finding::Itself);
            }
            let upstream = Upstream { id, incarnation: 0, ..(*self.lost).clone() };
            let successor = Successor { lost: self.lost.id.clone(), upstream };
            return succeeds.then_some(Finding::Succeeded(successor));
        }
        None
    }

    async fn is_engine(&self) -> bool {
        self.only_engines && serves_models(&*self.client, self.lost.address).await
    }
}

async fn serves_models(client: &dyn Client, address: SocketAddr) -> bool {
    client.report(address, QUESTION_LIMIT).await.is_some_and(|report| report.has_models)
}
