//! A run at a stand-in engine and the stream of its events.

use super::node::ProcessState;
use super::poison::CRASH_DELAY;
use super::{Fault, Fleet};
use bytes::Bytes;
use coordination::memory::Budget;
use futures::StreamExt as _;
use hyper::{HeaderMap, StatusCode};
use quetzaltiller::upstream::{Call, Error, Response};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Interval at which a run's memory is copied to its backup.
const COPY_INTERVAL: Duration = Duration::from_millis(250);
/// Time to restore a run from a copy.
const RESTORE_TIME: Duration = Duration::from_millis(30);

/// A run at an engine; dropping it ends the run.
pub struct Events {
    fleet: Fleet,
    address: SocketAddr,
    request: String,
    backup: Option<SocketAddr>,
    process_state: watch::Receiver<ProcessState>,
    next: u32,
    total: u32,
    copied_at: Instant,
    /// Whether the run crashes its engine.
    is_poisoned: bool,
    /// What was sent and is not delivered yet.
    undelivered: VecDeque<Option<Result<Bytes, Error>>>,
}

impl Events {
    /// Starts a run and returns when its prompt is prefilled or its copy restored. The answer is a
    /// refusal without a run if the engine refuses requests or doesn't hold the copy.
    pub async fn begin(fleet: Fleet, call: &Call<'_>) -> Result<Response, Error> {
        let address = call.upstream.address;
        let prompt = call.request.prompt.clone().unwrap_or_default();
        let is_poisoned = fleet.poisons().affects(call.request);
        if is_poisoned {
            fleet.poisons().record_arrival();
        }
        let fault = fleet.lock().get(&address).and_then(|node| node.fault);
        match fault {
            Some(Fault::Hang) => return std::future::pending().await,
            Some(Fault::Shed | Fault::Close(_)) => return Ok(turned_away(&fleet)),
            _ => {}
        }
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
            let prefill = node.queue_prefill(&call.request.id, tokens, prompt.own_part());
            (prefill, node.process_state.subscribe(), node.events)
        };
        let ((ready, uncached), mut process_state, total) = begun;
        fleet.record_run(&call.request.id);
        let mut run = Self {
            fleet: fleet.clone(),
            address,
            request: call.request.id.clone(),
            backup: call.backup,
            process_state: process_state.clone(),
            next: call.last_event.map_or(1, |last| last as u32 + 1),
            total,
            copied_at: Instant::now(),
            is_poisoned,
            undelivered: VecDeque::new(),
        };
        run.record_concurrency();
        let ready = if restored.is_some() { Instant::now() + RESTORE_TIME } else { ready };
        tokio::select! {
            biased;
            error = broken(&mut process_state) => return Err(error),
            () = sleep_until(ready) => {}
        }
        fleet.end_of_silence(address).await;
        match fault {
            Some(Fault::Swallow) => return std::future::pending().await,
            Some(Fault::LoseAnswer) => {
                run.record_progress();
                return std::future::pending().await;
            }
            _ => {}
        }
        fleet.count().prefilled += uncached;
        if let Some(node) = fleet.lock().get_mut(&address) {
            node.cache_prompt(prompt.own_part());
        }
        run.copied_at = Instant::now();
        let body = futures::stream::unfold(run, Self::deliver).boxed();
        Ok(Response {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            not_run: false,
            delimited: true,
            body,
            memory: Budget::default(),
        })
    }

    /// Delivers the next event, after the delay of the connection if it has one.
    async fn deliver(mut self) -> Option<(Result<Bytes, Error>, Self)> {
        if let Some(item) = self.undelivered.pop_front() {
            return item.map(|item| (item, self));
        }
        loop {
            let item = self.step().await;
            let is_last = !matches!(item, Some(Ok(_)));
            self.undelivered.push_back(item);
            match self.fleet.delayed_until(&self.request) {
                Some(until) if is_last => sleep_until(until).await,
                Some(_) => continue,
                None => {}
            }
            return self.undelivered.pop_front().flatten().map(|first| (first, self));
        }
    }

    /// Sends the next event; none at the end of the stream.
    async fn step(&mut self) -> Option<Result<Bytes, Error>> {
        if self.is_poisoned {
            sleep(CRASH_DELAY).await;
            self.fleet.crash_poisoned(self.address, |node| node.has_run(&self.request));
            return Some(Err(Error::Broken));
        }
        if self.next > self.total {
            self.drop_backup();
            return None;
        }
        let interval = self
            .fleet
            .lock()
            .get(&self.address)
            .map_or(Duration::ZERO, |node| node.event_interval());
        let mut process_state = self.process_state.clone();
        tokio::select! {
            biased;
            error = broken(&mut process_state) => return Some(Err(error)),
            () = sleep(interval) => {}
        }
        self.fleet.end_of_silence(self.address).await;
        if *process_state.borrow() == ProcessState::Silent {
            return std::future::pending().await;
        }
        if !self.fleet.lock().get(&self.address).is_some_and(|node| node.has_run(&self.request)) {
            return Some(Err(Error::Broken));
        }
        let event = format!("id: {}\ndata: {}-{}\n\n", self.next, self.request, self.next);
        self.record_progress();
        self.next += 1;
        Some(Ok(Bytes::from(event)))
    }

    fn record_progress(&mut self) {
        if let Some(node) = self.fleet.lock().get_mut(&self.address) {
            node.set_progress(&self.request, self.next);
        }
        let now = Instant::now();
        let due = now >= self.copied_at + COPY_INTERVAL;
        if let Some(backup) = self.backup.filter(|_| due) {
            self.copied_at = now;
            self.fleet.store_copy(backup, backup, &self.request, self.next);
        }
    }

    /// Drops the backup's copy of a run that has ended.
    fn drop_backup(&self) {
        let mut nodes = self.fleet.lock();
        if let Some(node) = self.backup.and_then(|backup| nodes.get_mut(&backup)) {
            node.drop_copies(&self.request);
        }
    }

    fn record_concurrency(&self) {
        let nodes = self.fleet.lock();
        let running = nodes.values().filter(|node| node.has_run(&self.request)).count() as u32;
        let mut counts = self.fleet.count();
        counts.at_once = counts.at_once.max(running);
    }
}

impl Drop for Events {
    fn drop(&mut self) {
        if let Some(node) = self.fleet.lock().get_mut(&self.address) {
            node.end_run(&self.request);
        }
    }
}

fn turned_away(fleet: &Fleet) -> Response {
    fleet.count().turned_away += 1;
    let body = futures::stream::empty().boxed();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let (headers, memory) = (HeaderMap::new(), Budget::default());
    Response { status, headers, not_run: true, delimited: true, body, memory }
}

/// Completes when the process ends and its connections break; never if they go silent.
pub(super) async fn broken(process_state: &mut watch::Receiver<ProcessState>) -> Error {
    match process_state
        .wait_for(|process_state| *process_state != ProcessState::Up)
        .await
        .map(|process_state| *process_state)
    {
        Ok(ProcessState::Silent) => std::future::pending().await,
        _ => Error::Broken,
    }
}
