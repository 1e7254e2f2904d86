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

#[derive(Debug)]
enum Message {
    Delay(String, oneshot::Sender<Duration>),
    Succeeded { service: String, account: String, pool: String, took: Duration },
    Retry { account: String, pool: String, reply: oneshot::Sender<bool> },
}

/// Handle to the task that owns detectors and budgets.
#[derive(Clone, Debug)]
pub struct Pacer {
    mailbox: Mailbox<Message>,
}

impl Pacer {
    /// Starts the task in `scope`; hedges are due within `bounds`.
    pub fn start(scope: &Scope, bounds: Bounds) -> Self {
        let (mailbox, messages) = Mailbox::new();
        let state = State { bounds, detectors: BTreeMap::new(), budgets: BTreeMap::new() };
        scope.spawn(state.run(messages));
        Self { mailbox }
    }

    /// Time after which a call of the service is hedged.
    pub async fn hedge_delay(&self, service: &str) -> Duration {
        let message = |reply| Message::Delay(service.to_owned(), reply);
        self.mailbox.ask(message).await.unwrap_or(Duration::MAX)
    }

    /// Notes an answer.
    pub fn succeeded(&self, service: &str, account: &str, pool: &str, took: Duration) {
        self.mailbox.tell(Message::Succeeded {
            service: service.to_owned(),
            account: account.to_owned(),
            pool: pool.to_owned(),
            took,
        });
    }

    /// Takes one retry from the budgets of both; false when either is spent.
    pub async fn may_retry(&self, account: &str, pool: &str) -> bool {
        let (account, pool) = (account.to_owned(), pool.to_owned());
        let message = |reply| Message::Retry { account, pool, reply };
        self.mailbox.ask(message).await.unwrap_or(false)
    }
}

struct State {
    bounds: Bounds,
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
                    let _ = reply.send(delay.unwrap_or(self.bounds.max));
                }
                Message::Succeeded { service, account, pool, took } => {
                    let bounds = self.bounds;
                    let detector = self.detectors.entry(service);
                    detector.or_insert_with(|| Detector::new(bounds)).observe(took);
                    self.budget(Payer::Account(account)).deposit();
                    self.budget(Payer::Pool(pool)).deposit();
                }
                Message::Retry { account, pool, reply } => {
                    let _ = reply.send(self.withdraw(account, pool));
                }
            }
        }
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
        self.budgets.entry(payer).or_insert_with(|| Budget::new(RETRY_RATIO, RETRY_CAPACITY))
    }
}
