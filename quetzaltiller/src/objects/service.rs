//! Plain services: HTTP services that are not model engines.

use super::matcher::Matcher;
use super::object::Fault;
use serde::{Deserialize, Serialize};

/// Method and path prefix of calls that may be repeated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct RepeatableCall {
    /// HTTP method.
    pub method: String,
    /// Prefix of the calls' paths, relative to the service.
    pub path_prefix: String,
}

/// A plain service; calls that are not listed as repeatable run at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Service {
    /// Name of the service, as in `/v1/services/{name}/...`.
    pub name: String,
    /// Matcher on the labels of upstreams that are replicas of the service.
    pub upstreams: Matcher,
    /// Calls that may be repeated.
    #[serde(default)]
    pub repeatable: Vec<RepeatableCall>,
    /// Path that returns the outcome of an action, with `{key}` for its key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status_path: Option<String>,
    /// HTTP statuses that prove that the service did not run the call.
    #[serde(default)]
    pub not_run_statuses: Vec<u16>,
}

impl Service {
    /// Whether a call may be repeated; `path` is relative to the service, with or without a leading
    /// slash.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let path = path.trim_start_matches('/');
        self.repeatable.iter().any(|call| {
            let prefix = call.path_prefix.trim_start_matches('/');
            call.method.eq_ignore_ascii_case(method) && path.starts_with(prefix)
        })
    }

    /// Faults of this service alone, without regard to other objects.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.upstreams.is_empty() {
            faults.push(Fault::new("upstreams", "{}", "at least one label or expression"));
        }
        if let Some(path) = self.status_path.as_ref().filter(|path| !path.contains("{key}")) {
            faults.push(Fault::new("status_path", path, "a path that contains {key}"));
        }
        for status in self.not_run_statuses.iter().filter(|status| !(400..600).contains(*status)) {
            faults.push(Fault::new("not_run_statuses", status, "statuses from 400 to 599"));
        }
        faults
    }
}
