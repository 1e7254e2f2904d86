//! What the configuration makes of a request.

use super::Request;
use crate::prelude::*;
use crate::routes::{Route, Table};
use xxhash_rust::xxh3::xxh3_64;

/// Patience of callers that don't tell theirs, where the route sets no limit either.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// Plan for a request.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Route.
    pub route: Arc<Route>,
    /// Service.
    pub service: String,
    /// Account that asks; none on public routes without a key.
    pub account: Option<String>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// When the request came.
    pub came: Duration,
    /// End of the caller's patience and of the route's limit.
    pub until: Duration,
}

impl Plan {
    /// Plan by `table` for a request that `came` then.
    pub fn new(table: &Table, came: Duration, request: &Request) -> Result<Self, Refusal> {
        if table.number() == 0 {
            let message = "no configuration is known yet";
            return Err(Refusal::not_run(Code::NoConfiguration, message));
        }
        let Some(route) = table.route(&request.host, request.route_path()) else {
            return Err(Refusal::not_run(Code::NotFound, "no route for this host and path"));
        };
        let account = request.key.as_deref().and_then(|key| table.account(key));
        if account.is_none() && table.has_accounts() && !route.public {
            return Err(Refusal::not_run(Code::Unauthorized, "no account holds this key"));
        }
        // The caller's repeats draw the same service.
        let draw = xxh3_64(request.id.as_bytes());
        let Some(service) = route.service(draw) else {
            return Err(Refusal::not_run(Code::NoUpstream, "the route has no service"));
        };
        let limit = Duration::from_millis(route.timeout_ms);
        let patience = request.patience.unwrap_or(DEFAULT_PATIENCE).min(limit);
        Ok(Self {
            service: service.to_owned(),
            account: account.map(|account| account.name.clone()),
            priority: account.and_then(|account| account.priority).unwrap_or(route.priority),
            came,
            until: came + patience,
            route: route.clone(),
        })
    }
}
