//! Sends heartbeats to peers, in turn where there are many.

use super::rotation::Rotation;
use super::target::Target;
use super::{Members, Message, Timing};
use crate::metrics::{Counter, Metrics};
use crate::peer::Link;
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use tokio::sync::watch;

/// Sender of heartbeats.
pub struct Heartbeats {
    /// What is told, and who takes the answers.
    pub members: Members,
    /// Way to peers.
    pub link: Arc<dyn Link>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Times.
    pub timing: Timing,
    /// Tasks of this process.
    pub scope: Scope,
}

impl Heartbeats {
    /// Calls the `targets` until the process ends.
    pub async fn run(self, targets: watch::Receiver<Arc<Vec<Target>>>) {
        let mut period = tokio::time::interval(self.timing.period);
        let (mut near, mut far) = (Rotation::default(), Rotation::default());
        let mut round = 0;
        loop {
            tokio::select! {
                biased;
                () = self.members.hurry.notified() => {
                    let targets = targets.borrow().clone();
                    targets.iter().filter(|target| target.near).for_each(|t| self.beat(t));
                    continue;
                }
                _ = period.tick() => round += 1,
            }
            let targets = targets.borrow().clone();
            let due = |is_near: bool| -> Vec<&Target> {
                let open = targets.iter().filter(|target| target.due && !target.doubted);
                open.filter(|target| target.near == is_near).collect()
            };
            let mut calls = near.next(due(true), self.timing.fan_out);
            if self.timing.is_far_round(round) {
                calls.extend(far.next(due(false), self.timing.fan_out));
            }
            calls.extend(targets.iter().filter(|target| target.doubted));
            calls.into_iter().for_each(|target| self.beat(target));
        }
    }

    fn beat(&self, target: &Target) {
        let (members, link) = (self.members.clone(), self.link.clone());
        let Target { address, near, .. } = target.clone();
        self.metrics.count(Counter::PeerCall);
        self.scope.spawn(async move {
            let ask = wire::Ask::Heartbeat(members.heartbeat(near));
            let message = match link.call(&address, ask).await {
                Ok(wire::Reply::Heartbeat(beat)) => Message::Hear(Box::new(beat)),
                _ => Message::Unanswered(address),
            };
            members.mailbox.send(message);
        });
    }
}
