//! Identification of the process that has the address of a lost upstream.
//!
//! A service starts a new process where one was lost. Until the address may be reused by another
//! service, a process that answers there belongs to the same service. After that, only an engine
//! can be recognised: by the models that it serves, and only if one service has all engines. The
//! lost process is known to have run when the last question was sent that it answered.

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
    /// The upstream itself answered a check that was sent at `asked_at`.
    SameProcess { asked_at: Duration },
    /// The upstream's service has started another process.
    Succeeded(Successor),
}

/// Search for the process that has the address of one lost upstream.
pub struct SuccessorProbe {
    /// Clock for `own_until`.
    pub clock: Clock,
    /// Client that probes the address.
    pub client: Arc<dyn Client>,
    /// Lost upstream.
    pub lost: Arc<Upstream>,
    /// Path of the health check of the upstream's service.
    pub path: String,
    /// Time until which the address can't belong to another service, on the clock that includes
    /// suspensions; none if the upstream's process has never been seen.
    pub own_until: Option<Duration>,
    /// Minimum time after the end of a process before another service may get its address.
    pub reuse_after: Duration,
    /// Whether the upstream's service is the only one with engines, so that any process that serves
    /// models belongs to it.
    pub only_engines: bool,
}

impl SuccessorProbe {
    /// Probes the address until a process answers, once after each pause. None if there is no
    /// answer, or if the process doesn't provably belong to the upstream's service.
    pub async fn run(self) -> Option<ProbeResult> {
        for pause in PROBE_PAUSES {
            tokio::time::sleep(pause).await;
            let asked_at = self.clock.uptime();
            let found = self.client.identify(self.lost.address, &self.path, PROBE_TIMEOUT).await;
            let Some(id) = found else {
                continue;
            };
            let in_time = self.own_until.is_some_and(|until| self.clock.uptime() < until);
            let succeeds =
                id != self.lost.id && (in_time || self.is_same_service_engine(asked_at).await);
            info!("upstream_rechecked", kv: {
                upstream = self.lost.id, found = id, succeeds, in_time
            });
            if id == self.lost.id {
                return Some(ProbeResult::SameProcess { asked_at });
            }
            let upstream = Upstream { id, incarnation: 0, ..(*self.lost).clone() };
            let successor = Successor { lost: self.lost.id.clone(), upstream };
            return succeeds.then_some(ProbeResult::Succeeded(successor));
        }
        None
    }

    /// Whether the process that was asked for its id at `asked_at` is an engine of the same service.
    /// A report that comes too late may be that of the address's next owner.
    async fn is_same_service_engine(&self, asked_at: Duration) -> bool {
        self.only_engines
            && serves_models(&*self.client, self.lost.address).await
            && self.clock.uptime() < asked_at + self.reuse_after
    }
}

async fn serves_models(client: &dyn Client, address: SocketAddr) -> bool {
    client.report(address, PROBE_TIMEOUT).await.is_some_and(|report| report.has_models)
}
