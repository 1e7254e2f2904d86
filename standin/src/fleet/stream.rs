//! One run at an engine.

use super::node::Life;
use super::{Fault, Fleet};
use bytes::Bytes;
use futures::StreamExt as _;
use hyper::{HeaderMap, StatusCode};
use quetzaltiller::upstream::{Call, Error, Response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// How often a run's memory goes to its backup.
const COPY_PERIOD: Duration = Duration::from_millis(250);
/// Time until a run goes on from a copy.
const RESTORE: Duration = Duration::from_millis(30);

/// A run; dropping it ends it.
pub struct Events {
    fleet: Fleet,
    address: SocketAddr,
    request: String,
    backup: Option<SocketAddr>,
    life: watch::Receiver<Life>,
    next: u32,
    total: u32,
    copied_at: Instant,
}

impl Events {
    /// Begins a run; returns with its first event, as engines do.
    pub async fn begin(fleet: Fleet, call: &Call<'_>) -> Result<Response, Error> {
        let address = call.upstream.address;
        let fault = fleet.lock().get(&address).and_then(|node| node.fault);
        match fault {
            Some(Fault::Hang) => return std::future::pending().await,
            Some(Fault::Shed | Fault::Close(_)) => return Ok(turned_away(&fleet)),
            _ => {}
        }
        let prompt = call.request.prompt.clone().unwrap_or_default();
        let restored = call.copy.map(|copy| {
            let mut nodes = fleet.lock();
            nodes.get_mut(&address).and_then(|node| node.take_copy(copy.origin, &copy.name))
        });
        if restored == Some(None) {
            return Ok(turned_away(&fleet));
        }
        let tokens = if restored.is_some() { 0 } else { prompt.tokens };
        let begun = {
            let mut nodes = fleet.lock();
            let node = nodes.get_mut(&address).ok_or(Error::Unsent)?;
            let read = node.read(&call.request.id, tokens, prompt.own_part());
            (read, node.life.subscribe(), node.events)
        };
        let ((ready, unread), mut life, total) = begun;
        fleet.note_run(&call.request.id);
        let mut run = Self {
            fleet: fleet.clone(),
            address,
            request: call.request.id.clone(),
            backup: call.backup,
            life: life.clone(),
            next: call.last_event.map_or(1, |last| last as u32 + 1),
            total,
            copied_at: Instant::now(),
        };
        run.note_at_once();
        let ready = if restored.is_some() { Instant::now() + RESTORE } else { ready };
        tokio::select! {
            biased;
            error = broken(&mut life) => return Err(error),
            () = sleep_until(ready) => {}
        }
        match fault {
            Some(Fault::Swallow) => return std::future::pending().await,
            Some(Fault::LoseAnswer) => {
                run.note_progress();
                return std::future::pending().await;
            }
            _ => {}
        }
        fleet.count().prefilled += unread;
        if let Some(node) = fleet.lock().get_mut(&address) {
            node.keep_prompt(prompt.own_part());
        }
        run.copied_at = Instant::now();
        let body = futures::stream::unfold(run, Self::step).boxed();
        Ok(Response { status: StatusCode::OK, headers: HeaderMap::new(), not_run: false, body })
    }

    async fn step(mut self) -> Option<(Result<Bytes, Error>, Self)> {
        if self.next > self.total {
            self.free_backup();
            return None;
        }
        let pace = self.fleet.lock().get(&self.address).map_or(Duration::ZERO, |node| node.pace());
        let mut life = self.life.clone();
        tokio::select! {
            biased;
            error = broken(&mut life) => return Some((Err(error), self)),
            () = sleep(pace) => {}
        }
        if *life.borrow() == Life::Dark {
            return std::future::pending().await;
        }
        if !self.fleet.lock().get(&self.address).is_some_and(|node| node.has_run(&self.request)) {
            return Some((Err(Error::Broken), self));
        }
        let event = format!("id: {}\ndata: {}-{}\n\n", self.next, self.request, self.next);
        self.note_progress();
        self.next += 1;
        Some((Ok(Bytes::from(event)), self))
    }

    fn note_progress(&mut self) {
        if let Some(node) = self.fleet.lock().get_mut(&self.address) {
            node.progress(&self.request, self.next);
        }
        let now = Instant::now();
        let due = now >= self.copied_at + COPY_PERIOD;
        if let Some(backup) = self.backup.filter(|_| due) {
            self.copied_at = now;
            self.fleet.store_copy(backup, backup, &self.request, self.next);
        }
    }

    /// Engines free what they copied of a run that has come to its end.
    fn free_backup(&self) {
        let mut nodes = self.fleet.lock();
        if let Some(node) = self.backup.and_then(|backup| nodes.get_mut(&backup)) {
            node.free(&self.request);
        }
    }

    fn note_at_once(&self) {
        let nodes = self.fleet.lock();
        let running = nodes.values().filter(|node| node.has_run(&self.request)).count() as u32;
        let mut counts = self.fleet.count();
        counts.at_once = counts.at_once.max(running);
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        if let Some(node) = self.fleet.lock().get_mut(&self.address) {
            node.end(&self.request);
        }
    }
}

fn turned_away(fleet: &Fleet) -> Response {
    fleet.count().turned_away += 1;
    let body = futures::stream::empty().boxed();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Response { status, headers: HeaderMap::new(), not_run: true, body }
}

/// Completes when the process ends; never when it goes dark.
async fn broken(life: &mut watch::Receiver<Life>) -> Error {
    match life.wait_for(|life| *life != Life::Up).await.map(|life| *life) {
        Ok(Life::Dark) => std::future::pending().await,
        _ => Error::Broken,
    }
}
