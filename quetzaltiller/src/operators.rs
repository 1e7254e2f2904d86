//! Operators' HTTP interface: state dump, metrics, health and graceful shutdown.

use async_trait::async_trait;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router};
use salvo::writing;
use serde::Serialize;
use serde_json::Value;
use std::sync::Arc;

/// A process that operators can inspect and shut down.
#[async_trait]
pub trait Process: Send + Sync {
    /// State of the process as JSON.
    async fn dump(&self) -> Value;

    /// Counters and latencies, as text.
    fn metrics(&self) -> String;

    /// Whether the process can do its work.
    fn health(&self) -> Health;

    /// Begins a graceful shutdown.
    fn leave(&self);
}

/// Health of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The process can do its work.
    Ready,
    /// The process has no configuration yet.
    Waiting,
    /// The process is shutting down gracefully.
    Leaving,
}

/// HTTP routes of the operators' interface.
pub fn routes(process: &Arc<dyn Process>) -> Router {
    let handler = |endpoint| EndpointHandler { process: process.clone(), endpoint };
    Router::new()
        .push(Router::with_path("dump").get(handler(Endpoint::Dump)))
        .push(Router::with_path("metrics").get(handler(Endpoint::Metrics)))
        .push(Router::with_path("health").get(handler(Endpoint::Health)))
        .push(Router::with_path("leave").post(handler(Endpoint::Leave)))
}

#[derive(Clone, Copy)]
enum Endpoint {
    Dump,
    Metrics,
    Health,
    Leave,
}

struct EndpointHandler {
    process: Arc<dyn Process>,
    endpoint: Endpoint,
}

#[async_trait]
impl Handler for EndpointHandler {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.endpoint {
            Endpoint::Dump => response.render(writing::Json(self.process.dump().await)),
            Endpoint::Metrics => response.render(writing::Text::Plain(self.process.metrics())),
            Endpoint::Health => {
                let health = self.process.health();
                if health != Health::Ready {
                    response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                }
                response.render(writing::Json(health));
            }
            Endpoint::Leave => {
                self.process.leave();
                response.status_code(StatusCode::ACCEPTED);
            }
        }
    }
}
