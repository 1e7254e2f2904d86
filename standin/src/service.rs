//! Stand-in of a plain service, with orders that count each run under their key, and lookups.
//!
//! The replicas of a service share its records, as those of a booking platform do.

use crate::network::Network;
use async_trait::async_trait;
use quetzaltiller::service::{Answer, Call, Client, Error};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha12Rng;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Status of an order that was refused without being run.
const NOT_RUN_STATUS: u16 = 503;

/// Settings of a stand-in service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time that an order takes.
    pub order_time: Duration,
    /// Time that a lookup takes.
    pub lookup_time: Duration,
    /// Whether an order whose key ran before is not run again.
    pub deduplicates: bool,
    /// Share of orders refused without being run.
    pub refused: f64,
    /// Share of orders that run but whose answer is lost.
    pub answer_lost: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            order_time: Duration::from_millis(20),
            lookup_time: Duration::from_millis(4),
            deduplicates: false,
            refused: 0.0,
            answer_lost: 0.0,
        }
    }
}

struct State {
    settings: Settings,
    runs: BTreeMap<String, u32>,
    lookups: u64,
    rng: ChaCha12Rng,
}

/// Records of one service; clones share them.
#[derive(Clone)]
pub struct Service {
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Creates a service without records; `seed` decides which orders are refused or lose their
    /// answer.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let rng = ChaCha12Rng::seed_from_u64(seed);
        let state = State { settings, runs: BTreeMap::new(), lookups: 0, rng };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the number of runs by key.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    /// Returns the number of lookups served.
    pub fn lookups(&self) -> u64 {
        self.lock().lookups
    }

    /// Changes the settings of the service.
    pub fn configure(&self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.lock().settings);
    }

    /// Performs a call; `None` if its answer is lost.
    pub async fn perform(&self, call: &Call) -> Option<Answer> {
        let path = call.path.split('?').next().unwrap_or_default();
        match (call.method.as_str(), path.strip_prefix("/orders")) {
            ("POST", Some("")) => self.order(call).await,
            ("GET", Some(key)) if key.len() > 1 => Some(self.status(&key[1..]).await),
            ("GET", _) => Some(self.look_up(path).await),
            _ => Some(answer(404, json!({ "error": "no such call" }))),
        }
    }

    async fn order(&self, call: &Call) -> Option<Answer> {
        let key = call.key.clone().unwrap_or_default();
        let (time, refused, lost) = {
            let state = &mut *self.lock();
            let (refused, lost) = (state.settings.refused, state.settings.answer_lost);
            let refused = state.rng.random_bool(refused);
            (state.settings.order_time, refused, state.rng.random_bool(lost))
        };
        if refused {
            return Some(answer(NOT_RUN_STATUS, json!({ "error": "busy, not run" })));
        }
        tokio::time::sleep(time / 2).await;
        let runs = {
            let state = &mut *self.lock();
            let runs = state.runs.entry(key.clone()).or_default();
            if *runs == 0 || !state.settings.deduplicates {
                *runs += 1;
            }
            *runs
        };
        tokio::time::sleep(time / 2).await;
        (!lost).then(|| answer(201, json!({ "order": key, "run": runs })))
    }

    async fn status(&self, key: &str) -> Answer {
        let time = self.lock().settings.lookup_time;
        tokio::time::sleep(time).await;
        match self.lock().runs.get(key) {
            Some(runs) => answer(200, json!({ "order": key, "run": runs })),
            None => answer(404, json!({ "error": "no such order" })),
        }
    }

    async fn look_up(&self, path: &str) -> Answer {
        let time = self.lock().settings.lookup_time;
        tokio::time::sleep(time).await;
        self.lock().lookups += 1;
        answer(200, json!({ "path": path, "state": "open" }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer(status: u16, body: serde_json::Value) -> Answer {
    Answer { status, content_type: Some("application/json".into()), body: body.to_string().into() }
}

/// Client through which one party reaches the replicas of services in process, by address.
#[derive(Clone)]
pub struct Replicas {
    services: Arc<BTreeMap<String, Service>>,
    network: Network,
    reader: Arc<str>,
}

impl Replicas {
    /// Creates the client of `reader`; the replicas' addresses are their names on the network.
    pub fn new(services: Arc<BTreeMap<String, Service>>, network: Network, reader: &str) -> Self {
        Self { services, network, reader: reader.into() }
    }
}

#[async_trait]
impl Client for Replicas {
    async fn call(&self, address: &str, call: &Call) -> Result<Answer, Error> {
        let service = self.services.get(address).ok_or(Error::Unsent)?;
        self.network.deliver(&self.reader, address).await.map_err(|_| Error::Unsent)?;
        let answer = service.perform(call).await;
        self.network.deliver(address, &self.reader).await.map_err(|_| Error::NoAnswer)?;
        match answer {
            Some(answer) => Ok(answer),
            None => std::future::pending().await,
        }
    }
}
