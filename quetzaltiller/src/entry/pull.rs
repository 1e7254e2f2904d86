//! Pulls configurations and upstreams from a peer when the store does not deliver them in time.

use crate::fleet::Update;
use crate::follower::Follower;
use crate::peer::Link;
use crate::prelude::*;
use crate::wire;
use serde::Serialize;

/// Time that the store gets to deliver an update before it is pulled from a peer.
const PULL_DELAY: Duration = Duration::from_millis(250);

/// One pull from a peer of what the store has not delivered in time.
pub struct Pull {
    /// Follower that gets the updates.
    pub follower: Follower,
    /// Link to the other entry VMs.
    pub link: Arc<dyn Link>,
    /// Heartbeat of the peer that has newer data.
    pub beat: wire::Heartbeat,
    /// Whether upstreams are pulled too.
    pub upstreams: bool,
}

impl Pull {
    /// Waits for [`PULL_DELAY`], then pulls what is still missing.
    pub async fn run(self) {
        tokio::time::sleep(PULL_DELAY).await;
        let address = &self.beat.peer_address;
        let number = self.follower.routes().number();
        if self.beat.number > number {
            let ask = wire::Ask::Pull(wire::Pull { number, era: 0 });
            if let Ok(wire::Reply::Accepted(accepted)) = self.link.call(address, ask).await
                && let Some(table) = parse(&accepted)
            {
                self.follower.update_routes(table);
            }
        }
        let known = self.follower.version();
        // A whole directory is large. While the store sends it, a pull would only load the peer's
        // link.
        let awaits_listing = known.revision == 0 && !self.follower.is_store_unreachable();
        if self.upstreams && self.beat.store_version() > known && !awaits_listing {
            let ask = wire::Ask::Upstreams(known.into());
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

/// Encodes the reply to a pull: `number`, and the value as JSON, empty if there is none newer than
/// the peer's.
pub fn encode_newer(number: u64, newer: Option<&impl Serialize>) -> wire::Accepted {
    let log_failure = |reason: &serde_json::Error| {
        warn!("value_unwritable", kv: { number, reason:? = reason.to_string() });
    };
    let json = newer.and_then(|value| serde_json::to_string(value).inspect_err(log_failure).ok());
    wire::Accepted { number, json: json.unwrap_or_default() }
}
