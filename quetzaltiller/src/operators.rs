//! Operators' HTTP: state dump, health and leaving.

use async_trait::async_trait;
use salvo::http::StatusCode;
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router};
use salvo::writing;
use serde::Serialize;
use serde_json::Value;
use std::sync::Arc;

/// A process that operators look at.
#[async_trait]
pub trait Process: Send + Sync {
    /// State.
    async fn dump(&self) -> Value;

    /// Counters and latencies, as text.
    fn metrics(&self) -> String;

    /// Whether it can do its work.
    fn health(&self) -> Health;

    /// Begins a graceful shutdown.
    fn leave(&self);
}

/// Health of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It works.
    Ready,
    /// It has no configuration yet.
    Waiting,
    /// It is leaving.
    Leaving,
}

/// Routes for operators.
pub fn routes(process: &Arc<dyn Process>) -> Router {
    let operation = |call| Operation { process: process.clone(), call };
    Router::new()
        .push(Router::with_path("dump").get(operation(Endpoint::Dump)))
        .push(Router::with_path("metrics").get(operation(Endpoint::Metrics)))
        .push(Router::with_path("health").get(operation(Endpoint::Health)))
        .push(Router::with_path("leave").post(operation(Endpoint::Leave)))
}

#[derive(Clone, Copy)]
enum Endpoint {
    Dump,
    Metrics,
    Health,
    Leave,
}

struct Operation {
    process: Arc<dyn Process>,
    call: Endpoint,
}

#[async_trait]
impl Handler for Operation {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.call {
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
