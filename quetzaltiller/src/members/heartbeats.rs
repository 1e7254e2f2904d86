//! Sends heartbeats to peers, in rotation if they are too many for one round.

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
    /// Source of this member's heartbeats and receiver of the answers.
    pub members: Members,
    /// Transport to peers.
    pub link: Arc<dyn Link>,
    /// Counters of calls to peers.
    pub metrics: Arc<Metrics>,
    /// Periods and timeouts.
    pub timing: Timing,
    /// Scope in which the calls run.
    pub scope: Scope,
}

impl Heartbeats {
    /// Sends heartbeats to the current `targets` until the process ends.
    pub async fn run(self, targets: watch::Receiver<Arc<Vec<Target>>>) {
        let mut period = tokio::time::interval(self.timing.period);
        let (mut near, mut far) = (Rotation::default(), Rotation::default());
        let mut round = 0;
        loop {
            tokio::select! {
                biased;
                () = self.members.send_now.notified() => {
                    let targets = targets.borrow().clone();
                    targets
                        .iter()
                        .filter(|target| target.near)
                        .for_each(|target| self.send_heartbeat(target));
                    continue;
                }
                _ = period.tick() => round += 1,
            }
            let targets = targets.borrow().clone();
            let rotation_targets = |is_near: bool| -> Vec<&Target> {
                let candidates =
                    targets.iter().filter(|target| target.in_rotation && !target.suspected);
                candidates.filter(|target| target.near == is_near).collect()
            };
            let mut calls = near.next(rotation_targets(true), self.timing.fan_out);
            if self.timing.is_far_round(round) {
                calls.extend(far.next(rotation_targets(false), self.timing.fan_out));
            }
            calls.extend(targets.iter().filter(|target| target.suspected));
            calls.into_iter().for_each(|target| self.send_heartbeat(target));
        }
    }

    fn send_heartbeat(&self, target: &Target) {
        let (members, link) = (self.members.clone(), self.link.clone());
        let Target { address, near, .. } = target.clone();
        self.metrics.count(Counter::PeerCall);
        self.scope.spawn(async move {
            let ask = wire::Ask::Heartbeat(members.heartbeat(near));
            let message = match link.call(&address, ask).await {
                Ok(wire::Reply::Heartbeat(beat)) => Message::Heartbeat(beat),
                _ => Message::Unanswered(address),
            };
            members.mailbox.send(message);
        });
    }
}
