//! Serves lookups and actions: requests whose answer is short.
//!
//! The answer is read to its end before it is sent on, so one that breaks off can't look complete.
//! A lookup that failed or that takes longer than most is also sent to another replica, within
//! the route's attempts and the retry budget. An action is sent again only if it certainly did not
//! run.

use super::break_off::BreakOff;
use super::{Answer, Context, Plan, Reply, Request};
use crate::drain::Phase;
use crate::metrics::{Counter, Latency};
use crate::placement::{Demand, Placement, Unplaced};
use crate::prelude::*;
use crate::routes::Kind;
use crate::upstream::{Call, Error};
use futures::StreamExt as _;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use hyper::StatusCode;

/// Maximum number of unreachable upstreams before a request is refused.
const MAX_UNSENT: u32 = 3;
/// Retry delay in refusals, in milliseconds: about the time in which a replica restarts or has a
/// free place.
const RETRY_AFTER_MS: u64 = 250;

/// Outcome of one attempt at an upstream.
enum AttemptOutcome {
    /// The upstream sent an answer for the caller to a request that was sent after `asked_at`.
    Answered { answer: Answer, asked_at: Duration },
    /// The upstream answered with a server error: the request ran.
    Failed(Answer),
    /// The upstream received the request and did not run it.
    Rejected,
    /// The upstream did not receive the request.
    Unsent,
    /// The answer was lost: the request may have run.
    Unknown,
    /// No upstream could be chosen.
    Unplaced(Unplaced),
    /// The request has meanwhile been found to crash upstreams, and was not sent.
    Quarantined,
}

/// Serves a lookup or an action that arrived at `arrived_at`.
pub async fn run(
    context: &Context,
    request: &Arc<Request>,
    plan: &Plan,
    arrived_at: Duration,
) -> Reply {
    let race = Race {
        context,
        request,
        plan,
        attempts: FuturesUnordered::new(),
        avoid: Vec::new(),
        sent: 0,
        unsent: 0,
        error_answer: None,
        may_have_run: false,
        unplaced: None,
        is_quarantined: false,
    };
    let reply = race.run().await;
    let took = context.clock.now().saturating_sub(arrived_at);
    let status = match &reply {
        Reply::Answered(answer) => answer.status.as_u16(),
        Reply::Refused(refusal) => refusal.code.status(),
        Reply::Streaming(_) => 200,
    };
    context.metrics.record(Latency::Call, took);
    info!("request_ended", kv: {
        request = request.id, route = plan.route.name, status, took_ms = took.as_millis() as u64
    });
    reply
}

/// Attempts of one request, of which several may be in progress for a lookup.
struct Race<'a> {
    context: &'a Context,
    request: &'a Arc<Request>,
    plan: &'a Plan,
    attempts: FuturesUnordered<BoxFuture<'a, (Option<String>, AttemptOutcome)>>,
    avoid: Vec<String>,
    /// Number of attempts, less those at unreachable upstreams.
    sent: u32,
    /// Number of attempts at unreachable upstreams.
    unsent: u32,
    error_answer: Option<Answer>,
    may_have_run: bool,
    unplaced: Option<Unplaced>,
    is_quarantined: bool,
}

impl Race<'_> {
    async fn run(mut self) -> Reply {
        let context = self.context;
        let lookup = self.plan.route.kind == Kind::Lookup;
        let delay = context.pacer.hedge_delay(&self.plan.service).await;
        self.start_attempt().await;
        let mut hedge_at = context.clock.now() + delay;
        loop {
            let may_hedge = self.sent < self.plan.route.attempts && !self.is_deadly();
            tokio::select! {
                biased;
                Some((upstream, outcome)) = self.attempts.next() => {
                    if let Some(reply) = self.handle_outcome(upstream, outcome) {
                        return reply;
                    }
                    if !self.attempts.is_empty() {
                        continue;
                    }
                    let may_retry = self.sent < self.plan.route.attempts
                        && self.unsent < MAX_UNSENT
                        && self.unplaced.is_none()
                        && !self.is_deadly()
                        && context.drain.phase() < Phase::Finishing
                        && (lookup || !self.may_have_run);
                    if !may_retry || !self.may_repeat().await {
                        return self.final_reply();
                    }
                }
                () = context.clock.sleep_until(hedge_at), if lookup && may_hedge => {
                    hedge_at = context.clock.now() + delay;
                    if !context.pacer.may_repeat(&self.plan.service).await {
                        continue;
                    }
                }
                () = context.clock.sleep_until(self.plan.deadline) => return self.handle_timeout(),
                () = context.drain.wait_for_phase(Phase::Finishing) => return self.handle_exit(),
            }
            self.start_attempt().await;
        }
    }

    /// Whether another attempt is within the retry budget. A request that no upstream received is
    /// not a repeat.
    async fn may_repeat(&mut self) -> bool {
        self.sent == 0 || self.context.pacer.may_repeat(&self.plan.service).await
    }

    /// Whether the request is quarantined, or was sent and has crashed so many upstreams that its
    /// caller gets no second attempt.
    fn is_deadly(&self) -> bool {
        let quarantine = &self.context.quarantine;
        let is_suspected = self.sent > 0 && quarantine.has_suspected();
        self.is_quarantined
            || is_suspected && !quarantine.is_repeatable(self.plan.repeatable(self.request))
    }

    async fn start_attempt(&mut self) {
        let demand = Demand {
            service: self.plan.service.clone(),
            account: self.plan.account.clone().unwrap_or_default(),
            avoid: self.avoid.clone(),
            run: None,
        };
        let placement = match self.context.placer.place(demand).await {
            Ok(placement) => placement,
            Err(unplaced) => {
                self.attempts
                    .push(Box::pin(async move { (None, AttemptOutcome::Unplaced(unplaced)) }));
                return;
            }
        };
        if self.context.is_quarantined(self.request, self.plan) {
            self.attempts.push(Box::pin(async { (None, AttemptOutcome::Quarantined) }));
            return;
        }
        self.sent += 1;
        if self.sent > 1 {
            self.context.metrics.count(Counter::LookupRetried);
            info!("request_repeated", kv: {
                request = self.request.id, upstream = placement.upstream.id, attempt = self.sent
            });
        }
        let id = placement.upstream.id.clone();
        self.avoid.push(id.clone());
        let (context, request, plan) =
            (self.context.clone(), self.request.clone(), self.plan.clone());
        self.attempts.push(Box::pin(async move {
            (Some(id), attempt(&context, &request, &plan, placement).await)
        }));
    }

    fn handle_outcome(
        &mut self,
        upstream: Option<String>,
        outcome: AttemptOutcome,
    ) -> Option<Reply> {
        let id = upstream.unwrap_or_default();
        let placer = &self.context.placer;
        let cause = match outcome {
            AttemptOutcome::Answered { answer, asked_at } => {
                placer.record_success(&id, asked_at);
                self.context.record_answered(self.request, self.plan);
                self.context.metrics.count(Counter::CallAnswered);
                return Some(Reply::Answered(answer));
            }
            AttemptOutcome::Failed(answer) => {
                placer.record_failure(&id);
                self.may_have_run = true;
                self.error_answer = Some(answer);
                "failed"
            }
            AttemptOutcome::Rejected => {
                placer.record_failure(&id);
                "rejected"
            }
            AttemptOutcome::Unsent => {
                placer.record_unreachable(&id);
                self.sent -= 1;
                self.unsent += 1;
                "unreachable"
            }
            AttemptOutcome::Unknown => {
                placer.record_disconnect(&id);
                self.may_have_run = true;
                "no_answer"
            }
            AttemptOutcome::Unplaced(unplaced) => {
                self.unplaced = Some(unplaced);
                "unplaced"
            }
            AttemptOutcome::Quarantined => {
                self.is_quarantined = true;
                "quarantined"
            }
        };
        info!("try_failed", kv: { request = self.request.id, upstream = id, cause });
        None
    }

    fn final_reply(self) -> Reply {
        if let Some(answer) = self.error_answer {
            return Reply::Answered(answer);
        }
        let refusal = if self.may_have_run {
            Refusal::new(Code::UpstreamFailed, Ran::Unknown, "the upstream did not answer")
        } else if self.is_quarantined {
            Refusal::not_run(Code::Quarantined, "the request crashes upstreams")
        } else {
            let code = self.unplaced.map_or(Code::Overloaded, Unplaced::code);
            let retry_after_ms = match self.unplaced {
                Some(Unplaced::Full { retry_after }) => retry_after.as_millis() as u64,
                _ => RETRY_AFTER_MS,
            };
            let refusal = Refusal::not_run(code, "no replica takes the request now");
            Refusal { retry_after_ms, ..refusal }
        };
        self.refuse(refusal)
    }

    fn handle_timeout(self) -> Reply {
        let refusal = if self.attempts.is_empty() && !self.may_have_run {
            Refusal::not_run(Code::Overloaded, "no replica took the request in time")
        } else {
            Refusal::new(Code::OutcomeUnknown, Ran::Unknown, "no answer in time")
        };
        self.refuse(refusal)
    }

    /// Ends the request because the process ends.
    fn handle_exit(self) -> Reply {
        let refusal = if self.attempts.is_empty() && !self.may_have_run {
            Refusal::not_run(Code::Leaving, "this entry VM is leaving; use another")
        } else {
            Refusal::new(Code::OutcomeUnknown, Ran::Unknown, "no answer before this entry VM ends")
        };
        self.refuse(refusal)
    }

    fn refuse(&self, refusal: Refusal) -> Reply {
        self.context.metrics.count(Counter::Refused);
        info!("request_refused", kv: {
            request = self.request.id, route = self.plan.route.name, code:? = refusal.code,
            ran:? = refusal.ran, sent = self.sent
        });
        Reply::Refused(refusal)
    }
}

async fn attempt(
    context: &Context,
    request: &Arc<Request>,
    plan: &Plan,
    placement: Placement,
) -> AttemptOutcome {
    let (sent_at, asked_at) = (context.clock.now(), context.clock.uptime());
    let call = Call {
        upstream: &placement.upstream,
        request,
        deadline: plan.deadline.saturating_sub(sent_at),
        account: plan.account.as_deref(),
        urgency: None,
        backup: None,
        copy: None,
        last_event: None,
        new_connection: false,
    };
    let response = match context.client.send(call).await {
        Ok(response) => response,
        Err(Error::Unsent | Error::Misdirected) => return AttemptOutcome::Unsent,
        Err(reason) => {
            if reason == Error::Broken {
                break_off(context, request, plan, &placement, sent_at).investigate(context);
            }
            return AttemptOutcome::Unknown;
        }
    };
    if response.not_run {
        return AttemptOutcome::Rejected;
    }
    let (status, headers) = (response.status, response.headers.clone());
    let body = match response.collect().await {
        Ok(body) => body,
        Err(reason) => {
            debug!("answer_broke", kv: {
                request = request.id, upstream = placement.upstream.id, reason:? = reason
            });
            if reason == Error::Broken {
                break_off(context, request, plan, &placement, sent_at).investigate(context);
            }
            return AttemptOutcome::Unknown;
        }
    };
    context.pacer.record_latency(&plan.service, context.clock.now().saturating_sub(sent_at));
    let answer = Answer { status, headers, body };
    if status >= StatusCode::INTERNAL_SERVER_ERROR {
        AttemptOutcome::Failed(answer)
    } else {
        AttemptOutcome::Answered { answer, asked_at }
    }
}

fn break_off(
    context: &Context,
    request: &Arc<Request>,
    plan: &Plan,
    placement: &Placement,
    sent_at: Duration,
) -> BreakOff {
    BreakOff {
        request: request.clone(),
        subjects: plan.subjects(request),
        upstream: placement.upstream.clone(),
        has_head: false,
        age: context.clock.now().saturating_sub(sent_at),
        events: 0,
    }
}
