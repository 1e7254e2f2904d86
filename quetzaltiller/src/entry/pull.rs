//! What entry VMs fetch from each other when the store does not tell it.

use crate::fleet::Update;
use crate::follower::Follower;
use crate::peer::Link;
use crate::prelude::*;
use crate::wire;
use serde::Serialize;

/// A peer that has something newer is asked for it when the store has not told it in this time.
const PULL_DELAY: Duration = Duration::from_millis(250);

/// Fetches from a peer what the store has not told in time.
pub struct Pull {
    /// What this entry VM has.
    pub follower: Follower,
    /// Other entry VMs.
    pub link: Arc<dyn Link>,
    /// Heartbeat of one that has more.
    pub beat: wire::Heartbeat,
    /// Whether upstreams are fetched too.
    pub upstreams: bool,
}

impl Pull {
    /// Fetches once.
    pub async fn run(self) {
        tokio::time::sleep(PULL_DELAY).await;
        let address = &self.beat.peer_address;
        let number = self.follower.routes().number();
        if self.beat.number > number {
            let ask = wire::Ask::Pull(wire::Pull { number });
            if let Ok(wire::Reply::Accepted(accepted)) = self.link.call(address, ask).await
                && let Some(table) = parse(&accepted)
            {
                self.follower.update_routes(table);
            }
        }
        let revision = self.follower.revision();
        // A whole directory is long. While the store sends it, it would only crowd the peer's link.
        let listing = revision == 0 && !self.follower.is_store_unreachable();
        if self.upstreams && self.beat.revision > revision && !listing {
            let ask = wire::Ask::Upstreams(wire::Pull { number: revision });
            if let Ok(wire::Reply::Upstreams(accepted)) = self.link.call(address, ask).await
                && let Some(update) = parse::<Update>(&accepted)
            {
                self.follower.update_upstreams(update);
            }
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(accepted: &wire::Accepted) -> Option<T> {
    if accepted.json.is_empty() {
        return None;
    }
    serde_json::from_str(&accepted.json)
        .inspect_err(|reason| {
            warn!("peer_value_unreadable", kv: {
                number = accepted.number, reason:? = reason.to_string()
            });
        })
        .ok()
}

/// What a peer gets of a value numbered `number`, if there is one that is new to it.
pub fn offer(number: u64, newer: Option<&impl Serialize>) -> wire::Accepted {
    let unwritable = |reason: &serde_json::Error| {
        warn!("value_unwritable", kv: { number, reason:? = reason.to_string() });
    };
    let json = newer.and_then(|value| serde_json::to_string(value).inspect_err(unwritable).ok());
    wire::Accepted { number, json: json.unwrap_or_default() }
}
