//! The two users' deployments, read from the example configurations.

use quetzaltiller::objects::{Object, Pool, Upstream};
use serde::Serialize;
use std::str::FromStr;

/// Configuration objects of the Foundation, as JSON.
const FOUNDATION: &str = include_str!("../../examples/foundation/objects.json");
/// Configuration objects of the Cooperative, as JSON.
const COOPERATIVE: &str = include_str!("../../examples/cooperative/objects.json");

/// One of the two users' deployments.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Armbånd for Alle Fonden: long patience, low resume weight.
    Foundation,
    /// Kathmandu Simcha Planners Cooperative: short patience, high resume weight.
    Cooperative,
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "foundation" => Ok(Self::Foundation),
            "cooperative" => Ok(Self::Cooperative),
            _ => Err("allowed: foundation, cooperative".into()),
        }
    }
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 2] = [Self::Foundation, Self::Cooperative];

    /// Configuration objects of the deployment.
    pub fn objects(self) -> Vec<Object> {
        let text = match self {
            Self::Foundation => FOUNDATION,
            Self::Cooperative => COOPERATIVE,
        };
        serde_json::from_str(text).expect("the examples are valid")
    }

    /// Name of the plain service.
    pub fn service(self) -> &'static str {
        match self {
            Self::Foundation => "order-desk",
            Self::Cooperative => "booking",
        }
    }

    /// Number of words at the start of a prompt that are the same for an account, and maximum
    /// number of further words that differ between requests.
    pub fn prompt_words(self) -> (usize, usize) {
        match self {
            Self::Foundation => (400, 500),
            Self::Cooperative => (600, 1_500),
        }
    }

    /// Accounts that request drafts, each with its model. Lower indices get more requests.
    pub fn generators(self) -> Vec<(&'static str, &'static str)> {
        match self {
            Self::Foundation => vec![
                ("roskilde-crew", "drafts"),
                ("oslo-nights", "drafts"),
                ("fjord-folk", "drafts"),
                ("midsummer", "drafts"),
                ("village-rock", "drafts"),
            ],
            Self::Cooperative => vec![
                ("lotus-planners", "itineraries"),
                ("himal-planners", "itineraries"),
                ("yeti-planners", "itineraries"),
                ("lotus-letters", "letters"),
                ("himal-night-desk", "itineraries"),
            ],
        }
    }

    /// Accounts that call the plain service.
    pub fn callers(self) -> Vec<&'static str> {
        match self {
            Self::Foundation => vec!["press-room", "gate-crews", "roskilde-crew"],
            Self::Cooperative => vec!["lotus-planners", "himal-planners", "yeti-planners"],
        }
    }
}

/// API key of an account in the examples.
pub fn key(account: &str) -> String {
    format!("{account}-example-key")
}

/// Upstreams of a configuration, each with its pool; those without a known pool are left out.
pub fn upstreams(objects: &[Object]) -> Vec<(&Upstream, &Pool)> {
    let pools: Vec<_> = objects.iter().filter_map(Object::as_pool).collect();
    let pool_of = |upstream: &Upstream| pools.iter().find(|pool| pool.name == upstream.pool);
    let upstreams = objects.iter().filter_map(Object::as_upstream);
    upstreams.filter_map(|upstream| Some((upstream, *pool_of(upstream)?))).collect()
}
