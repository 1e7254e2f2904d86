//! HTTP server of a stand-in engine, which streams chunks as server-sent events.

use super::{Fault, HTTP_CALLER, write_error, write_json};
use crate::engine::{Engine, Fleet, Order, OrderError};
use crate::network::Network;
use futures::StreamExt as _;
use quetzaltiller::daemon::serve_http;
use quetzaltiller::engine::{Attempt, Client as _, Error, Stream, Submission};
use quetzaltiller::scope::Scope;
use salvo::async_trait;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router};
use salvo::server::ServerHandle;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

const MAX_CONNECTIONS: usize = 10_000;
/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

#[derive(Clone)]
struct Server {
    name: Arc<str>,
    engine: Engine,
    fleet: Fleet,
    network: Network,
}

#[derive(Clone, Copy)]
enum Endpoint {
    Submit,
    Reattach,
    Cancel,
    Load,
    CacheEvents,
    Order,
    Work,
    Fault,
}

/// Serves `engine`, whose name on the network is `name`.
pub fn serve_engine(
    scope: &Scope,
    listener: TcpListener,
    (name, engine): (&str, Engine),
    network: &Network,
) -> std::io::Result<ServerHandle> {
    let engines = Arc::new(BTreeMap::from([(name.to_owned(), engine.clone())]));
    let fleet = Fleet::new(engines, network.clone(), HTTP_CALLER);
    let server = Server { name: name.into(), engine, fleet, network: network.clone() };
    let route = |path: &str| Router::with_path(path.to_owned());
    let call = |endpoint| Call { server: server.clone(), endpoint };
    let stream = route("v1/streams/{generation}/{attempt}")
        .get(call(Endpoint::Reattach))
        .delete(call(Endpoint::Cancel));
    let routes = Router::new()
        .push(route("v1/streams").post(call(Endpoint::Submit)))
        .push(stream)
        .push(route("v1/load").get(call(Endpoint::Load)))
        .push(route("v1/cache-events").get(call(Endpoint::CacheEvents)))
        .push(route("v1/orders").post(call(Endpoint::Order)))
        .push(route("v1/work").get(call(Endpoint::Work)))
        .push(route("faults").post(call(Endpoint::Fault)));
    serve_http(scope, listener, routes, MAX_CONNECTIONS)
}

struct Call {
    server: Server,
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
        let engine = &self.server.engine;
        match self.endpoint {
            Endpoint::Submit => self.submit(request, response).await,
            Endpoint::Reattach => {
                let from = request.query("from").unwrap_or_default();
                let stream = self.server.fleet.reattach(&self.attempt(request), from).await;
                write_stream(response, stream);
            }
            Endpoint::Cancel => {
                let attempt = self.attempt(request);
                let _ = self.server.fleet.cancel(&attempt).await;
            }
            Endpoint::Load => match self.server.fleet.report(&self.server.name).await {
                Ok(report) => write_json(response, report),
                Err(error) => write_error(response, 503, &error.to_string()),
            },
            Endpoint::CacheEvents => {
                write_json(response, engine.cache_events(request.query("after").unwrap_or(0)));
            }
            Endpoint::Order => self.order(request, response).await,
            Endpoint::Work => write_json(response, engine.work()),
            Endpoint::Fault => self.fault(request, response).await,
        }
    }
}

impl Call {
    async fn submit(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let submission = body.ok().and_then(|b| serde_json::from_slice::<Submission>(b).ok());
        match submission {
            Some(submission) => {
                let stream = self.server.fleet.submit(&self.server.name, &submission).await;
                write_stream(response, stream);
            }
            None => write_error(response, 400, "not a submission"),
        }
    }

    fn attempt(&self, request: &Request) -> Attempt {
        Attempt {
            address: self.server.name.to_string(),
            generation: request.param("generation").unwrap_or_default(),
            number: request.param("attempt").unwrap_or_default(),
        }
    }

    async fn order(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let Some(order) = body.ok().and_then(|b| serde_json::from_slice::<Order>(b).ok()) else {
            return write_error(response, 400, "not an order");
        };
        if let Err(OrderError::Fenced(fence)) = self.server.engine.order(&order) {
            write_error(response, 409, &format!("fencing number {fence} was seen"));
        }
    }

    async fn fault(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await;
        let Some(fault) = body.ok().and_then(|b| serde_json::from_slice::<Fault>(b).ok()) else {
            return write_error(response, 400, "not a fault");
        };
        match fault {
            Fault::Kill => std::process::exit(1),
            Fault::Restart => self.server.engine.restart(),
            Fault::Silence => self.server.engine.silence_connections(),
            Fault::Pause { ms } | Fault::Outage { ms } => {
                let (network, name) = (self.server.network.clone(), self.server.name.clone());
                network.set_frozen(&name, true);
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    network.set_frozen(&name, false);
                });
            }
        }
    }
}

fn write_stream(response: &mut Response, stream: Result<Stream, Error>) {
    match stream {
        Ok(stream) => {
            let _ = response.add_header("content-type", "text/event-stream", true);
            response.stream(stream.map(|chunk| {
                let json = serde_json::to_string(&chunk?).unwrap_or_default();
                Ok::<_, Error>(format!("data: {json}\n\n"))
            }));
        }
        Err(error) => write_error(response, status(&error), &error.to_string()),
    }
}

fn status(error: &Error) -> u16 {
    match error {
        Error::UnknownStream => 404,
        Error::OtherVersion => 409,
        Error::Busy => 503,
        _ => 422,
    }
}
