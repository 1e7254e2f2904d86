//! Identification of the process that has the address of a lost upstream.
//!
//! A service starts a new process where one was lost. Until the address may be reused by another
//! service, a process that answers there belongs to the same service. After that, only an engine
//! can be recognised: by the models that it serves, and only if one service has all engines. Time
//! in which this VM was suspended counts as well, though the steady clock does not include it.

use crate::clock::Clock;
use crate::fleet::Upstream;
use crate::prelude::*;
use crate::upstream::Client;
use std::net::SocketAddr;

/// Pauses before each probe of a lost upstream's address; engines restart in 1 to 2 s.
const PROBE_PAUSES: [Duration; 5] = [
    Duration::from_millis(500),
    Duration::from_millis(750),
    Duration::from_millis(300),
    Duration::from_millis(300),
    Duration::from_millis(1_500),
];
/// Timeout of one probe: many times the round trip between zones.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// New upstream that the same service has started at the address of a lost one.
#[derive(Clone, Debug)]
pub struct Successor {
    /// Id of the lost upstream.
    pub lost: String,
    /// New upstream, with an unknown incarnation.
    pub upstream: Upstream,
}

/// Process that a probe has found at the address.
#[derive(Clone, Debug)]
pub enum ProbeResult {
    /// The upstream itself is still running.
    SameProcess,
    /// The upstream's service has started another process.
    Succeeded(Successor),
}

/// Search for the process that has the address of one lost upstream.
pub struct SuccessorProbe {
    /// Clock for `own_until`, and for suspensions of this VM.
    pub clock: Clock,
    /// Client that probes the address.
    pub client: Arc<dyn Client>,
    /// Lost upstream.
    pub lost: Arc<Upstream>,
    /// Path of the health check of the upstream's service.
    pub path: String,
    /// Time until which the address can't belong to another service.
    pub own_until: Duration,
    /// Whether the upstream's service is the only one with engines, so that any process that serves
    /// models belongs to it.
    pub only_engines: bool,
}

impl SuccessorProbe {
    /// Probes the address until a process answers, once after each pause. None if there is no
    /// answer, or if the process doesn't provably belong to the upstream's service.
    pub async fn run(self) -> Option<ProbeResult> {
        let suspended = self.clock.suspended();
        for pause in PROBE_PAUSES {
            tokio::time::sleep(pause).await;
            let found = self.client.identify(self.lost.address, &self.path, PROBE_TIMEOUT).await;
            let Some(id) = found else {
                continue;
            };
            let was_suspended = self.clock.slept_since(suspended);
            let in_time = !was_suspended && self.clock.now() < self.own_until;
            let succeeds = id != self.lost.id && (in_time || self.is_same_service_engine().await);
            info!("upstream_rechecked", kv: {
                upstream = self.lost.id, found = id, succeeds, in_time
            });
            if id == self.lost.id {
                return Some(ProbeResult::SameProcess);
            }
            let upstream = Upstream { id, incarnation: 0, ..(*self.lost).clone() };
            let successor = Successor { lost: self.lost.id.clone(), upstream };
            return succeeds.then_some(ProbeResult::Succeeded(successor));
        }
        None
    }

    async fn is_same_service_engine(&self) -> bool {
        self.only_engines && serves_models(&*self.client, self.lost.address).await
    }
}

async fn serves_models(client: &dyn Client, address: SocketAddr) -> bool {
    client.report(address, PROBE_TIMEOUT).await.is_some_and(|report| report.has_models)
}
