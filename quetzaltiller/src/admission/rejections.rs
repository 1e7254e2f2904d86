//! Counts and log lines of the clients that were turned away.

use super::Cause;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};

/// Minimum interval between log lines of one cause.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Clients that were turned away; clones share them.
#[derive(Clone)]
pub struct Rejections {
    clock: Clock,
    metrics: Arc<Metrics>,
    unlogged: Arc<Mutex<BTreeMap<Cause, Unlogged>>>,
}

/// Rejections since the last log line of a cause.
#[derive(Clone, Copy, Debug, Default)]
struct Unlogged {
    count: u64,
    logged_at: Option<Duration>,
}

impl Rejections {
    /// Creates an empty record.
    pub fn new(clock: Clock, metrics: Arc<Metrics>) -> Self {
        Self { clock, metrics, unlogged: Arc::default() }
    }

    /// Records a client of `port` that is turned away, and logs it unless that cause was logged in the
    /// last second; the next line then counts it.
    pub fn record(&self, cause: Cause, port: &str) {
        self.metrics.count(cause.counter());
        let now = self.clock.now();
        let count = {
            let mut unlogged = self.unlogged.lock().unwrap_or_else(PoisonError::into_inner);
            let last = unlogged.entry(cause).or_default();
            last.count += 1;
            if last.logged_at.is_some_and(|logged_at| now < logged_at + LOG_INTERVAL) {
                return;
            }
            last.logged_at = Some(now);
            std::mem::take(&mut last.count)
        };
        info!("clients_turned_away", kv: { cause:? = cause, count, last_port = port });
    }
}

impl fmt::Debug for Rejections {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Rejections").finish_non_exhaustive()
    }
}
