//! The two deployments, from the example configurations.

use quetzaltiller::objects::{Object, Pool, Upstream};
use serde::Serialize;
use std::str::FromStr;

const FOUNDATION: &str = include_str!("../../examples/foundation/objects.json");
const COOPERATIVE: &str = include_str!("../../examples/cooperative/objects.json");

/// Which users' system.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Armbånd for Alle Fonden: patient, thrifty.
    Foundation,
    /// Kathmandu Simcha Planners Cooperative: hurried.
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
    /// Both.
    pub const ALL: [Self; 2] = [Self::Foundation, Self::Cooperative];

    /// Objects of its configuration.
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

    /// Words of a prompt that requests of an account share, and the most that are their own.
    pub fn prompt_words(self) -> (usize, usize) {
        match self {
            Self::Foundation => (400, 500),
            Self::Cooperative => (600, 1_500),
        }
    }

    /// Accounts that generate, with the model they use; the first are large.
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

/// Key of an account in the examples.
pub fn key(account: &str) -> String {
    format!("{account}-example-key")
}

/// Upstreams of a configuration, each with its pool.
pub fn upstreams(objects: &[Object]) -> Vec<(&Upstream, &Pool)> {
    let pools: Vec<_> = objects.iter().filter_map(Object::as_pool).collect();
    let pool_of = |upstream: &Upstream| pools.iter().find(|pool| pool.name == upstream.pool);
    let upstreams = objects.iter().filter_map(Object::as_upstream);
    upstreams.filter_map(|upstream| Some((upstream, *pool_of(upstream)?))).collect()
}
