//! Hedging delays and retry budgets.
//!
//! A call is hedged when it has taken longer than nearly all earlier calls of the service; the
//! threshold is that of [`coordination::detector`], fed with the service's latencies. Retries and
//! hedges draw on one [`Budget`] for each account and each pool. Source of hedging: Dean and
//! Barroso, "The Tail at Scale", CACM 2013.

use crate::mailbox::Mailbox;
use crate::scope::Scope;
use coordination::budget::Budget;
use coordination::detector::{Bounds, Detector};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Retries that each success adds to a budget.
const RETRY_RATIO: f64 = 0.2;
/// Most retries that the budget of an account or pool can hold.
const RETRY_CAPACITY: f64 = 10.0;

/// Bounds on hedges and retries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Bounds of the hedging delay.
    pub hedge: Bounds,
    /// Retries that each deposit adds to a budget.
    pub retry_ratio: f64,
    /// Most retries that one budget can hold.
    pub retry_capacity: f64,
}

impl Settings {
    /// Settings with the given hedging bounds and the default retry budget.
    pub fn hedging(hedge: Bounds) -> Self {
        Self { hedge, retry_ratio: RETRY_RATIO, retry_capacity: RETRY_CAPACITY }
    }
}

#[derive(Debug)]
enum Message {
    HedgeDelay(String, oneshot::Sender<Duration>),
    Succeeded { service: String, account: String, pool: String, latency: Duration },
    Answered { service: String, latency: Duration },
    Requested { pool: String },
    Repeat { pool: String, reply: oneshot::Sender<bool> },
    RepeatUnused { pool: String },
    Retry { account: String, pool: String, reply: oneshot::Sender<bool> },
}

/// Handle to the task that owns detectors and budgets.
#[derive(Clone, Debug)]
pub struct Pacer {
    mailbox: Mailbox<Message>,
}

impl Pacer {
    /// Starts the owning task in `scope`.
    pub fn start(scope: &Scope, settings: Settings) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let state = State { settings, detectors: BTreeMap::new(), budgets: BTreeMap::new() };
        scope.spawn(state.run(messages));
        Self { mailbox }
    }

    /// Time after which a call of the service is hedged; the upper bound while no latency is known.
    pub async fn hedge_delay(&self, service: &str) -> Duration {
        let message = |reply| Message::HedgeDelay(service.to_owned(), reply);
        self.mailbox.request(message).await.unwrap_or(Duration::MAX)
    }

    /// Records an answer: its latency, and a deposit to the budgets of the account and the pool.
    pub fn record_success(&self, service: &str, account: &str, pool: &str, latency: Duration) {
        self.mailbox.send(Message::Succeeded {
            service: service.to_owned(),
            account: account.to_owned(),
            pool: pool.to_owned(),
            latency,
        });
    }

    /// Records a request, which is a deposit to the pool's budget.
    pub fn record_request(&self, pool: &str) {
        self.mailbox.send(Message::Requested { pool: pool.to_owned() });
    }

    /// Withdraws one retry from the pool's budget; false if the budget is used up.
    pub async fn may_repeat(&self, pool: &str) -> bool {
        let pool = pool.to_owned();
        self.mailbox.request(|reply| Message::Repeat { pool, reply }).await.unwrap_or(false)
    }

    /// Returns a retry that was withdrawn by [`Self::may_repeat`] and is not sent.
    pub fn refund_repeat(&self, pool: &str) {
        self.mailbox.send(Message::RepeatUnused { pool: pool.to_owned() });
    }

    /// Records the latency of an answer without a deposit to any budget.
    pub fn record_latency(&self, service: &str, latency: Duration) {
        self.mailbox.send(Message::Answered { service: service.to_owned(), latency });
    }

    /// Withdraws one retry from the account's and the pool's budget; false, and no withdrawal, if
    /// either is used up.
    pub async fn may_retry(&self, account: &str, pool: &str) -> bool {
        let (account, pool) = (account.to_owned(), pool.to_owned());
        let message = |reply| Message::Retry { account, pool, reply };
        self.mailbox.request(message).await.unwrap_or(false)
    }
}

struct State {
    settings: Settings,
    detectors: BTreeMap<String, Detector>,
    budgets: BTreeMap<BudgetKey, Budget>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum BudgetKey {
    Account(String),
    Pool(String),
}

impl State {
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            match message {
                Message::HedgeDelay(service, reply) => {
                    let delay = self.detectors.get(&service).map(Detector::threshold);
                    let _ = reply.send(delay.unwrap_or(self.settings.hedge.max));
                }
                Message::Answered { service, latency } => self.observe(service, latency),
                Message::Requested { pool } => self.budget(BudgetKey::Pool(pool)).deposit(),
                Message::Repeat { pool, reply } => {
                    let _ = reply.send(self.budget(BudgetKey::Pool(pool)).withdraw());
                }
                Message::RepeatUnused { pool } => self.budget(BudgetKey::Pool(pool)).refund(),
                Message::Succeeded { service, account, pool, latency } => {
                    self.observe(service, latency);
                    self.budget(BudgetKey::Account(account)).deposit();
                    self.budget(BudgetKey::Pool(pool)).deposit();
                }
                Message::Retry { account, pool, reply } => {
                    let _ = reply.send(self.withdraw(account, pool));
                }
            }
        }
    }

    fn observe(&mut self, service: String, latency: Duration) {
        let bounds = self.settings.hedge;
        self.detectors.entry(service).or_insert_with(|| Detector::new(bounds)).observe(latency);
    }

    /// Withdraws one retry from both budgets or from neither.
    fn withdraw(&mut self, account: String, pool: String) -> bool {
        let (account, pool) = (BudgetKey::Account(account), BudgetKey::Pool(pool));
        if !self.budget(account.clone()).withdraw() {
            return false;
        }
        if self.budget(pool).withdraw() {
            return true;
        }
        self.budget(account).refund();
        false
    }

    fn budget(&mut self, key: BudgetKey) -> &mut Budget {
        let Settings { retry_ratio, retry_capacity, .. } = self.settings;
        self.budgets.entry(key).or_insert_with(|| Budget::new(retry_ratio, retry_capacity))
    }
}
