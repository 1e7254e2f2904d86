//! HTTP server of a replica of a stand-in service.

use super::{Fault, HTTP_CALLER, write_error, write_json};
use crate::network::Network;
use crate::service::{Replicas, Service};
use quetzaltiller::daemon::serve_http;
use quetzaltiller::scope::Scope;
use quetzaltiller::service::{Call, Client as _};
use salvo::async_trait;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router};
use salvo::server::ServerHandle;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

const MAX_CONNECTIONS: usize = 10_000;
/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Serves a replica of `service`, whose name on the network is `name`.
pub fn serve_service(
    scope: &Scope,
    listener: TcpListener,
    (name, service): (&str, Service),
    network: &Network,
) -> std::io::Result<ServerHandle> {
    let services = Arc::new(BTreeMap::from([(name.to_owned(), service.clone())]));
    let replicas = Replicas::new(services, network.clone(), HTTP_CALLER);
    let server = Server { name: name.into(), service, replicas, network: network.clone() };
    let routes = Router::new()
        .push(Router::with_path("runs").get(Runs(server.clone())))
        .push(Router::with_path("faults").post(Faults(server.clone())))
        .push(Router::with_path("{**rest}").goal(server));
    serve_http(scope, listener, routes, MAX_CONNECTIONS)
}

#[derive(Clone)]
struct Server {
    name: Arc<str>,
    service: Service,
    replicas: Replicas,
    network: Network,
}

#[async_trait]
impl Handler for Server {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let mut call = Call {
            method: request.method().to_string(),
            path: request.uri().path_and_query().map(ToString::to_string).unwrap_or_default(),
            key: header("idempotency-key"),
            content_type: header("content-type"),
            body: "".into(),
        };
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        call.body = body.cloned().unwrap_or_default();
        match self.replicas.call(&self.name, &call).await {
            Ok(answer) => {
                response.status_code(StatusCode::from_u16(answer.status).unwrap_or_default());
                let _ = response.add_header("content-type", "application/json", true);
                let _ = response.write_body(answer.body);
            }
            Err(error) => write_error(response, 503, &error.to_string()),
        }
    }
}

struct Runs(Server);

#[async_trait]
impl Handler for Runs {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        write_json(response, self.0.service.runs());
    }
}

struct Faults(Server);

#[async_trait]
impl Handler for Faults {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        match body.ok().and_then(|body| serde_json::from_slice::<Fault>(body).ok()) {
            Some(Fault::Kill) => std::process::exit(1),
            Some(Fault::Pause { ms } | Fault::Outage { ms }) => {
                let (network, name) = (self.0.network.clone(), self.0.name.clone());
                network.set_frozen(&name, true);
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    network.set_frozen(&name, false);
                });
            }
            _ => write_error(response, 400, "not a fault of a service"),
        }
    }
}
