//! Scopes of tasks that are stopped together.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Owner of the tasks of one process or of one part of it.
#[derive(Clone, Debug, Default)]
pub struct Scope {
    tracker: TaskTracker,
    token: CancellationToken,
    pause: Arc<Pause>,
}

impl Scope {
    /// Runs `task` until it ends or the scope is stopped.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let token = self.token.clone();
        let task = Freezable { task: Box::pin(task), pause: self.pause.clone() };
        self.tracker.spawn(async move {
            tokio::select! {
                biased;
                () = token.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Creates a scope that stops with this one and can be stopped earlier.
    pub fn child(&self) -> Self {
        let (tracker, pause) = (self.tracker.clone(), self.pause.clone());
        Self { tracker, token: self.token.child_token(), pause }
    }

    /// Suspends or resumes all tasks, as SIGSTOP and SIGCONT do with a process. For tests.
    pub fn set_frozen(&self, frozen: bool) {
        self.pause.set_frozen(frozen);
    }

    /// Stops all tasks at their current await points.
    pub fn stop(&self) {
        self.token.cancel();
    }

    /// Waits until the scope is stopped.
    pub async fn stopped(&self) {
        self.token.cancelled().await;
    }

    /// Waits until all tasks have ended, those of parent and child scopes included.
    pub async fn join(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Number of running tasks, those of parent and child scopes included.
    pub fn len(&self) -> usize {
        self.tracker.len()
    }

    /// Whether [`Self::len`] is zero.
    pub fn is_empty(&self) -> bool {
        self.tracker.is_empty()
    }
}

/// Switch that suspends the tasks of a scope and of its children.
#[derive(Debug, Default)]
struct Pause {
    state: Mutex<PauseState>,
}

#[derive(Debug, Default)]
struct PauseState {
    frozen: bool,
    waiting: Vec<Waker>,
}

impl Pause {
    fn set_frozen(&self, frozen: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.frozen = frozen;
        if !frozen {
            state.waiting.drain(..).for_each(Waker::wake);
        }
    }

    /// Whether the polled task must wait; it is then woken when the pause ends.
    fn blocks(&self, context: &Context<'_>) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.frozen {
            state.waiting.push(context.waker().clone());
        }
        state.frozen
    }
}

/// Task that makes no progress while its scope is frozen.
struct Freezable<F> {
    task: Pin<Box<F>>,
    pause: Arc<Pause>,
}

impl<F: Future<Output = ()>> Future for Freezable<F> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.pause.blocks(context) {
            return Poll::Pending;
        }
        self.task.as_mut().poll(context)
    }
}
