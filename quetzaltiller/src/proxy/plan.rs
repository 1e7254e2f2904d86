//! Route, service, account and deadline of a request, from the configuration in force.

use super::{Prompt, Request};
use crate::control::Subject;
use crate::digest::sha256_prefix;
use crate::prelude::*;
use crate::routes::{Route, Table};
use std::sync::OnceLock;
use xxhash_rust::xxh3::xxh3_64;

/// Patience of callers whose request names none; the route's timeout may be shorter.
pub const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// How a request is to be served.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Route that the request's host and path match.
    pub route: Arc<Route>,
    /// Name of the service, as drawn from those of the route.
    pub service: String,
    /// Name of the caller's account; none on public routes without a key.
    pub account: Option<String>,
    /// Priority of the account or else of the route; 0 goes first.
    pub priority: u8,
    /// Time at which the request arrived.
    pub arrived_at: Duration,
    /// Time at which the caller's patience or the route's timeout ends, whichever is first.
    pub deadline: Duration,
    /// Digest of what is the same when the request comes again, once it was needed.
    digest: OnceLock<u64>,
}

impl Plan {
    /// Plans `request`, which arrived at `arrived_at`, by `table`. Refuses it without a
    /// configuration, a route, a service or a needed account.
    pub fn new(table: &Table, arrived_at: Duration, request: &Request) -> Result<Self, Refusal> {
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
        // Repeats of a caller have the same id and so get the same service.
        let hash = xxh3_64(request.id.as_bytes());
        let Some(service) = route.service(hash) else {
            return Err(Refusal::not_run(Code::NoUpstream, "the route has no service"));
        };
        let limit = Duration::from_millis(route.timeout_ms);
        let patience = request.patience.unwrap_or(DEFAULT_PATIENCE).min(limit);
        Ok(Self {
            service: service.to_owned(),
            account: account.map(|account| account.name.clone()),
            priority: account.and_then(|account| account.priority).unwrap_or(route.priority),
            arrived_at,
            deadline: arrived_at + patience,
            route: route.clone(),
            digest: OnceLock::new(),
        })
    }

    /// What the crash of an upstream that serves `request` may be attributed to.
    pub fn subjects(&self, request: &Request) -> Vec<Subject> {
        let mut subjects = self.parts(request);
        subjects.push(self.repeatable(request));
        subjects
    }

    /// Parts of the request's prompt that other requests may share.
    pub fn parts(&self, request: &Request) -> Vec<Subject> {
        let parts = request.prompt.as_ref().map(Prompt::shared_parts).unwrap_or_default();
        parts.into_iter().map(Subject::Part).collect()
    }

    /// The request as it may come again: with another id, at any entry VM. Its method, path, account,
    /// body and prompt are the same. The prompt counts, as callers may state it beside an empty body.
    pub fn repeatable(&self, request: &Request) -> Subject {
        let account = self.account.as_deref().unwrap_or_default();
        let method = request.method.as_str();
        let texts = [method, &request.path, account].map(str::as_bytes);
        let [method, path, account] = texts;
        let parts = request.prompt.iter().flat_map(|prompt| &prompt.parts);
        let prompt = || parts.flat_map(|part| part.id.to_be_bytes()).collect::<Vec<_>>();
        let digest = || sha256_prefix(&[method, path, account, &request.body, &prompt()]);
        Subject::Request(*self.digest.get_or_init(digest))
    }
}
