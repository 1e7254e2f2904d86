//! When to hedge a call, and whether retries are still within their budget.
//!
//! A hedge is due when a call has taken longer than nearly all before it: the adaptive threshold
//! of [`coordination::detector`] on the service's own answers. Retries and hedges are paid from
//! one [`Budget`] for each account and pool. Source of hedging: Dean and Barroso, "The Tail at
//! Scale", CACM 2013.

use crate::mailbox::Mailbox;
use crate::scope::Scope;
use coordination::budget::Budget;
use coordination::detector::{Bounds, Detector};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Retries for each success.
const RETRY_RATIO: f64 = 0.2;
/// Retries that an idle account or pool has saved up.
const RETRY_CAPACITY: f64 = 10.0;

/// Bounds on hedges and retries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Bounds of the hedging delay.
    pub hedge: Bounds,
    /// Retries for each success.
    pub retry_ratio: f64,
    /// Retries that an idle payer has saved up.
    pub retry_capacity: f64,
}

impl Settings {
    /// Usual bounds on retries.
    pub fn hedging(hedge: Bounds) -> Self {
        Self { hedge, retry_ratio: RETRY_RATIO, retry_capacity: RETRY_CAPACITY }
    }
}

#[derive(Debug)]
enum Message {
    Delay(String, oneshot::Sender<Duration>),
    Succeeded { service: String, account: String, pool: String, took: Duration },
    Answered { service: String, took: Duration },
    Requested { pool: String },
    Repeat { pool: String, reply: oneshot::Sender<bool> },
    Retry { account: String, pool: String, reply: oneshot::Sender<bool> },
}

/// Handle to the task that owns detectors and budgets.
#[derive(Clone, Debug)]
pub struct Pacer {
    mailbox: Mailbox<Message>,
}

impl Pacer {
    /// Starts the task in `scope`.
    pub fn start(scope: &Scope, settings: Settings) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let state = State { settings, detectors: BTreeMap::new(), budgets: BTreeMap::new() };
        scope.spawn(state.run(messages));
        Self { mailbox }
    }

    /// Time after which a call of the service is hedged.
    pub async fn hedge_delay(&self, service: &str) -> Duration {
        let message = |reply| Message::Delay(service.to_owned(), reply);
        self.mailbox.request(message).await.unwrap_or(Duration::MAX)
    }

    /// Notes an answer.
    pub fn record_success(&self, service: &str, account: &str, pool: &str, took: Duration) {
        self.mailbox.send(Message::Succeeded {
            service: service.to_owned(),
            account: account.to_owned(),
            pool: pool.to_owned(),
            took,
        });
    }

    /// Notes a request, which pays for a part of a repeat.
    pub fn record_request(&self, pool: &str) {
        self.mailbox.send(Message::Requested { pool: pool.to_owned() });
    }

    /// Takes one repeat from the pool's budget; false when it is spent.
    pub async fn may_repeat(&self, pool: &str) -> bool {
        let pool = pool.to_owned();
        self.mailbox.request(|reply| Message::Repeat { pool, reply }).await.unwrap_or(false)
    }

    /// Notes how long an answer took.
    pub fn record_latency(&self, service: &str, took: Duration) {
        self.mailbox.send(Message::Answered { service: service.to_owned(), took });
    }

    /// Takes one retry from the budgets of both; false when either is spent.
    pub async fn may_retry(&self, account: &str, pool: &str) -> bool {
        let (account, pool) = (account.to_owned(), pool.to_owned());
        let message = |reply| Message::Retry { account, pool, reply };
        self.mailbox.request(message).await.unwrap_or(false)
    }
}

struct State {
    settings: Settings,
    detectors: BTreeMap<String, Detector>,
    budgets: BTreeMap<Payer, Budget>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Payer {
    Account(String),
    Pool(String),
}

impl State {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            match message {
                Message::Delay(service, reply) => {
                    let delay = self.detectors.get(&service).map(Detector::threshold);
                    let _ = reply.send(delay.unwrap_or(self.settings.hedge.max));
                }
                Message::Answered { service, took } => self.observe(service, took),
                Message::Requested { pool } => self.budget(Payer::Pool(pool)).deposit(),
                Message::Repeat { pool, reply } => {
                    let _ = reply.send(self.budget(Payer::Pool(pool)).withdraw());
                }
                Message::Succeeded { service, account, pool, took } => {
                    self.observe(service, took);
                    self.budget(Payer::Account(account)).deposit();
                    self.budget(Payer::Pool(pool)).deposit();
                }
                Message::Retry { account, pool, reply } => {
                    let _ = reply.send(self.withdraw(account, pool));
                }
            }
        }
    }

    fn observe(&mut self, service: String, took: Duration) {
        let bounds = self.settings.hedge;
        self.detectors.entry(service).or_insert_with(|| Detector::new(bounds)).observe(took);
    }

    /// Both pay, or neither.
    fn withdraw(&mut self, account: String, pool: String) -> bool {
        let (account, pool) = (Payer::Account(account), Payer::Pool(pool));
        if !self.budget(account.clone()).withdraw() {
            return false;
        }
        if self.budget(pool).withdraw() {
            return true;
        }
        self.budget(account).refund();
        false
    }

    fn budget(&mut self, payer: Payer) -> &mut Budget {
        let Settings { retry_ratio, retry_capacity, .. } = self.settings;
        self.budgets.entry(payer).or_insert_with(|| Budget::new(retry_ratio, retry_capacity))
    }
}
