//! HTTP server of the stand-in platform.

use super::{Fault, write_error, write_json};
use crate::platform::Platform;
use quetzaltiller::adapters::Version;
use quetzaltiller::daemon::serve_http;
use quetzaltiller::platform::{Error, Store as _, Vm};
use quetzaltiller::scope::Scope;
use salvo::async_trait;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router};
use salvo::server::ServerHandle;
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpListener;

const MAX_CONNECTIONS: usize = 10_000;
/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Serves the objects, watches, VM list and faults of `platform`.
pub fn serve_platform(
    scope: &Scope,
    listener: TcpListener,
    platform: &Platform,
) -> std::io::Result<ServerHandle> {
    let call = |endpoint| Call { platform: platform.clone(), endpoint };
    let object = Router::with_path("v1/objects/{**key}")
        .get(call(Endpoint::Read))
        .put(call(Endpoint::Write))
        .delete(call(Endpoint::Remove));
    let vms = Router::with_path("v1/vms").get(call(Endpoint::Vms)).put(call(Endpoint::SetVms));
    let routes = Router::new()
        .push(object)
        .push(Router::with_path("v1/list/{**prefix}").get(call(Endpoint::List)))
        .push(Router::with_path("v1/watch/{**prefix}").get(call(Endpoint::Watch)))
        .push(vms)
        .push(Router::with_path("calls").get(call(Endpoint::Calls)))
        .push(Router::with_path("faults").post(call(Endpoint::Fault)));
    serve_http(scope, listener, routes, MAX_CONNECTIONS)
}

#[derive(Clone, Copy)]
enum Endpoint {
    Read,
    Write,
    Remove,
    List,
    Watch,
    Vms,
    SetVms,
    Calls,
    Fault,
}

struct Call {
    platform: Platform,
    endpoint: Endpoint,
}

#[async_trait]
impl Handler for Call {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let key = request.param::<String>("key").unwrap_or_default();
        let prefix = request.param::<String>("prefix").unwrap_or_default();
        let platform = &self.platform;
        match self.endpoint {
            Endpoint::Read => write(response, platform.read(&key).await),
            Endpoint::Write => {
                let version = self.write(&key, request).await;
                write(response, version.map(|version| Version { version }));
            }
            Endpoint::Remove => {
                let removed =
                    platform.remove(&key, expected_version(request).unwrap_or_default()).await;
                write(response, removed.map(|()| Version { version: 0 }));
            }
            Endpoint::List => write(response, platform.list(&prefix).await),
            Endpoint::Watch => {
                let after = request.query("after").unwrap_or_default();
                let newest = platform.watch(&prefix, after).await;
                write(response, newest.map(|version| Version { version }));
            }
            Endpoint::Vms => write(response, platform.vms().await),
            Endpoint::SetVms => self.set_vms(request, response).await,
            Endpoint::Calls => write_json(response, json!({ "calls": platform.calls() })),
            Endpoint::Fault => self.fault(request, response).await,
        }
    }
}

impl Call {
    async fn write(&self, key: &str, request: &mut Request) -> Result<u64, Error> {
        let expected_version = expected_version(request);
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let body = body.map_err(|_| Error::TooLarge)?;
        let value = std::str::from_utf8(body).map_err(|e| Error::Protocol(e.to_string()))?;
        match expected_version {
            Some(version) => self.platform.replace(key, version, value).await,
            None => self.platform.create(key, value).await,
        }
    }

    async fn set_vms(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        match body.ok().and_then(|body| serde_json::from_slice::<Vec<Vm>>(body).ok()) {
            Some(vms) => self.platform.set_vms(vms),
            None => write_error(response, 400, "not a list of VMs"),
        }
    }

    async fn fault(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        match body.ok().and_then(|body| serde_json::from_slice::<Fault>(body).ok()) {
            Some(Fault::Kill) => std::process::exit(1),
            Some(Fault::Outage { ms } | Fault::Pause { ms }) => {
                let platform = self.platform.clone();
                platform.set_faults(|faults| faults.outage = true);
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    platform.set_faults(|faults| faults.outage = false);
                });
            }
            _ => write_error(response, 400, "not a fault of the platform"),
        }
    }
}

/// Returns the object version in the `if-match` header.
fn expected_version(request: &Request) -> Option<u64> {
    request.headers().get("if-match")?.to_str().ok()?.parse().ok()
}

fn write<T: serde::Serialize + Send>(response: &mut Response, result: Result<T, Error>) {
    match result {
        Ok(value) => write_json(response, value),
        Err(error) => write_error(response, status(&error), &error.to_string()),
    }
}

fn status(error: &Error) -> u16 {
    match error {
        Error::Conflict => 412,
        Error::TooLarge => 413,
        Error::Unreachable => 503,
        Error::Lost | Error::Protocol(_) => 500,
    }
}
