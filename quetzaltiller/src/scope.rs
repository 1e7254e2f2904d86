//! Tasks that end together.

use std::future::Future;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Owns the tasks of one process or of one part of it.
#[derive(Clone, Debug, Default)]
pub struct Scope {
    tracker: TaskTracker,
    token: CancellationToken,
}

impl Scope {
    /// Runs `task` until it ends or the scope is stopped.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        self.tracker.spawn(async move {
            tokio::select! {
                biased;
                () = token.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// A scope that ends with this one, or earlier.
    pub fn child(&self) -> Self {
        Self { tracker: self.tracker.clone(), token: self.token.child_token() }
    }

    /// Stops all tasks where they stand.
    pub fn stop(&self) {
        self.token.cancel();
    }

    /// Waits until the scope is stopped.
    pub async fn stopped(&self) {
        self.token.cancelled().await;
    }

    /// Number of tasks that run.
    pub fn len(&self) -> usize {
        self.tracker.len()
    }

    /// Whether no task runs.
    pub fn is_empty(&self) -> bool {
        self.tracker.is_empty()
    }
}
