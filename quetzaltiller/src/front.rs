//! HTTP API for callers: `/v1/entries`, `/v1/generations` and `/v1/services`.
//!
//! Handlers authenticate the caller, parse the request and pass it to the router; answers of
//! generations are sent as server-sent events.

use crate::generation::{Position, Request as Body};
use crate::objects::Labels;
use crate::prelude::*;
use crate::router::{Caller, Router as Core};
use crate::service::Call;
use crate::session::Subscription;
use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use salvo::http::{ParseError, StatusCode};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router};
use salvo::sse::{SseEvent, SseKeepAlive};
use salvo::{async_trait, writing};
use std::convert::Infallible;
use tokio::sync::mpsc;

/// Longest silence on an event stream before a keep-alive comment is sent.
const KEEP_ALIVE: Duration = Duration::from_millis(250);
/// Longest wait that a caller may request.
const MAX_PATIENCE: Duration = Duration::from_secs(3_600);

/// Routes of the callers' API.
pub fn routes(core: &Arc<Core>) -> Router {
    let front = |endpoint| Front { core: core.clone(), endpoint };
    let api = Router::with_path("v1")
        .push(Router::with_path("entries").get(front(Endpoint::Entries)))
        .push(Router::with_path("generations").post(front(Endpoint::Generate)))
        .push(Router::with_path("generations/{id}").delete(front(Endpoint::Cancel)))
        .push(Router::with_path("services/{service}/{**path}").goal(front(Endpoint::Service)));
    Router::new().push(api).push(Router::with_path("{**path}").goal(front(Endpoint::Unknown)))
}

#[derive(Clone, Copy)]
enum Endpoint {
    Entries,
    Generate,
    Cancel,
    Service,
    Unknown,
}

struct Front {
    core: Arc<Core>,
    endpoint: Endpoint,
}

#[async_trait]
impl Handler for Front {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let result = match self.endpoint {
            Endpoint::Entries => self.entries(request, response),
            Endpoint::Generate => self.generate(request, response).await,
            Endpoint::Cancel => self.cancel(request, response).await,
            Endpoint::Service => self.service(request, response).await,
            Endpoint::Unknown => {
                Err(Refusal::not_run(Code::NotFound, "no such call; see docs/INTERFACES.md"))
            }
        };
        if let Err(refusal) = result {
            write_refusal(response, &refusal);
        }
    }
}

impl Front {
    fn entries(&self, request: &Request, response: &mut Response) -> Result<(), Refusal> {
        let zone = request.query::<String>("zone");
        response.render(writing::Json(self.core.entries(zone.as_deref())));
        Ok(())
    }

    async fn generate(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), Refusal> {
        let caller = self.caller(request)?;
        let last_event = last_event_id(request)?;
        let bytes = self.body(request).await?;
        let body: Body = serde_json::from_slice(&bytes).map_err(|error| bad_request(&error))?;
        let mut subscription = self.core.generate(&caller, body, last_event).await?;
        match subscription.events.recv().await {
            Some(Event::Error(refusal)) => Err(refusal),
            Some(first) => {
                stream_events(response, subscription, first);
                Ok(())
            }
            None => Err(Refusal::new(Code::UpstreamFailed, Ran::Unknown, "the entry VM stopped")),
        }
    }

    async fn cancel(&self, request: &Request, response: &mut Response) -> Result<(), Refusal> {
        let caller = self.caller(request)?;
        let generation = request.param::<String>("id").unwrap_or_default();
        self.core.cancel(&caller.account, &generation).await?;
        response.status_code(StatusCode::NO_CONTENT);
        Ok(())
    }

    async fn service(&self, request: &mut Request, response: &mut Response) -> Result<(), Refusal> {
        let caller = self.caller(request)?;
        let service = request.param::<String>("service").unwrap_or_default();
        let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
        let path = request.param::<String>("path").unwrap_or_default();
        let call = Call {
            method: request.method().to_string(),
            path: format!("/{path}{query}"),
            key: text_header(request, "idempotency-key"),
            content_type: text_header(request, "content-type"),
            body: self.body(request).await?,
        };
        let answer = self.core.call(&caller, &service, call).await?;
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        response.status_code(status);
        if let Some(content_type) = &answer.content_type {
            let _ = response.add_header("content-type", content_type, true);
        }
        let _ = response.write_body(answer.body);
        Ok(())
    }

    fn caller(&self, request: &Request) -> Result<Caller, Refusal> {
        let header = text_header(request, "authorization").unwrap_or_default();
        let account = self.core.authenticate(header.strip_prefix("Bearer ").unwrap_or_default())?;
        let labels = caller_labels(request, &account)?;
        let patience = patience(request)?;
        Ok(Caller { account, labels, patience })
    }

    async fn body(&self, request: &mut Request) -> Result<Bytes, Refusal> {
        let limit = self.core.config().limits.max_body_bytes;
        match request.payload_with_max_size(limit).await {
            Ok(bytes) => Ok(bytes.clone()),
            Err(ParseError::PayloadTooLarge) => {
                let message = format!("the body exceeds {limit} bytes");
                Err(Refusal::not_run(Code::BodyTooLarge, message))
            }
            Err(error) => Err(bad_request(&error)),
        }
    }
}

/// Parses `Last-Event-ID`; `None` without one.
fn last_event_id(request: &Request) -> Result<Option<EventId>, Refusal> {
    let Some(text) = text_header(request, "last-event-id") else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        let message = "Last-Event-ID is not one that this system gave";
        Refusal::not_run(Code::BadEventId, message)
    })
}

/// Parses the labels in `Qt-Labels: key=value, key=value`; refuses keys that the account may not
/// set.
fn caller_labels(request: &Request, account: &Account) -> Result<Labels, Refusal> {
    let text = text_header(request, "qt-labels").unwrap_or_default();
    let mut labels = Labels::new();
    for pair in text.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
        let Some((key, value)) = pair.split_once('=') else {
            let message = format!("Qt-Labels: {pair:?} is not key=value");
            return Err(Refusal::not_run(Code::BadRequest, message));
        };
        if !account.caller_labels.iter().any(|allowed| allowed == key) {
            let message = format!("Qt-Labels: the account may not set {key:?}");
            return Err(Refusal::not_run(Code::NotAllowed, message));
        }
        labels.insert(key.to_owned(), value.to_owned());
    }
    Ok(labels)
}

/// Parses `Qt-Patience-Ms`, the longest time that the caller waits; `None` without one.
fn patience(request: &Request) -> Result<Option<Duration>, Refusal> {
    let Some(text) = text_header(request, "qt-patience-ms") else {
        return Ok(None);
    };
    match text.parse().map(Duration::from_millis) {
        Ok(patience) if patience <= MAX_PATIENCE => Ok(Some(patience)),
        _ => {
            let message = format!("Qt-Patience-Ms: {text:?} is not a time of up to an hour");
            Err(Refusal::not_run(Code::BadRequest, message))
        }
    }
}

fn text_header(request: &Request, name: &str) -> Option<String> {
    request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn bad_request(error: &dyn std::error::Error) -> Refusal {
    Refusal::not_run(Code::BadRequest, error.to_string())
}

fn write_refusal(response: &mut Response, refusal: &Refusal) {
    let status = StatusCode::from_u16(refusal.code.status());
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if refusal.retry_after_ms > 0 {
        let seconds = refusal.retry_after_ms.div_ceil(1_000).to_string();
        let _ = response.add_header("retry-after", seconds, true);
    }
    response.render(writing::Json(refusal));
}

fn stream_events(response: &mut Response, subscription: Subscription, first: Event) {
    let mut position = Position::new(subscription.generation);
    let rest = stream::unfold(subscription.events, next_event);
    let events = stream::once(async { first }).chain(rest).map(move |event| {
        let id = position.after(&event).map(|id| id.to_string()).unwrap_or_default();
        let data = serde_json::to_string(&event).unwrap_or_default();
        Ok::<_, Infallible>(SseEvent::default().id(id).name(event.name()).text(data))
    });
    SseKeepAlive::new(events).max_interval(KEEP_ALIVE).stream(response);
}

async fn next_event(mut events: mpsc::Receiver<Event>) -> Option<(Event, mpsc::Receiver<Event>)> {
    events.recv().await.map(|event| (event, events))
}
