//! Search for cached prompts at the other entry VMs of a zone, over the peer link.

use crate::members::Members;
use crate::peer::Link;
use crate::prelude::*;
use crate::prompts::{Neighbours, PromptQuery};
use crate::wire;
use async_trait::async_trait;
use futures::StreamExt;
use futures::stream::FuturesUnordered;

/// Maximum time for a neighbour's answer: its query to engines, and its delay against this entry VM
/// when all have started together.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);

/// The other entry VMs of a zone. Together with this one they own all engines of the zone, and a
/// share of those in other zones.
pub struct PeerNeighbours {
    /// Availability zone of this entry VM.
    pub zone: String,
    /// Known entry VMs.
    pub members: Members,
    /// Link to the other entry VMs.
    pub link: Arc<dyn Link>,
}

#[async_trait]
impl Neighbours for PeerNeighbours {
    async fn find(&self, query: &PromptQuery) -> Option<String> {
        let view = self.members.view();
        let neighbours = view.alive.iter().filter(|beat| beat.zone == self.zone && !beat.leaving);
        let search = |address: &str| {
            let (ask, address) = (wire::Ask::Find(query.into()), address.to_owned());
            async move { tokio::time::timeout(FIND_TIMEOUT, self.link.call(&address, ask)).await }
        };
        let mut answers: FuturesUnordered<_> =
            neighbours.map(|beat| search(&beat.peer_address)).collect();
        while let Some(answer) = answers.next().await {
            match answer {
                Ok(Ok(wire::Reply::Found(wire::Found { engine }))) if !engine.is_empty() => {
                    return Some(engine);
                }
                _ => {}
            }
        }
        None
    }
}

impl From<&PromptQuery> for wire::Find {
    fn from(query: &PromptQuery) -> Self {
        let PromptQuery { service, model, part } = query.clone();
        Self { service, model, part }
    }
}

impl From<wire::Find> for PromptQuery {
    fn from(find: wire::Find) -> Self {
        let wire::Find { service, model, part } = find;
        Self { service, model, part }
    }
}
