//! Lookups and actions: requests whose answer is short.
//!
//! The answer is read to its end before it is passed on, so one that breaks off can't look whole.
//! A lookup that failed or that takes longer than most is sent to another replica as well, within
//! the route's attempts and the retry budget. An action goes on only where it certainly did not run.

use super::{Answer, Context, Plan, Reply, Request};
use crate::metrics::{Counter, Latency};
use crate::placement::{Demand, Placement, Unplaced};
use crate::prelude::*;
use crate::routes::Kind;
use crate::upstream::{Call, Error};
use futures::StreamExt as _;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use hyper::StatusCode;

/// Upstreams that could not be reached at all before a request is given up.
const MAX_UNSENT: u32 = 3;
/// Wait that a refused caller is told, about the time in which a replica restarts or has room.
const RETRY_AFTER_MS: u64 = 250;

/// What became of one try.
enum Tried {
    /// An answer for the caller.
    Answered(Answer),
    /// An upstream's own failure: it ran.
    Failed(Answer),
    /// It did not run; the upstream got it.
    Rejected,
    /// The upstream did not get it.
    Unsent,
    /// It may have run.
    Unknown,
    /// No upstream could be chosen.
    Unplaced(Unplaced),
}

/// Serves a lookup or an action that came at `began`.
pub async fn run(context: &Context, request: &Arc<Request>, plan: &Plan, began: Duration) -> Reply {
    let race = Race {
        context,
        request,
        plan,
        tries: FuturesUnordered::new(),
        avoid: Vec::new(),
        sent: 0,
        unsent: 0,
        failure: None,
        may_have_run: false,
        unplaced: None,
    };
    let reply = race.run().await;
    let took = context.clock.now().saturating_sub(began);
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

struct Race<'a> {
    context: &'a Context,
    request: &'a Arc<Request>,
    plan: &'a Plan,
    tries: FuturesUnordered<BoxFuture<'a, (Option<String>, Tried)>>,
    avoid: Vec<String>,
    sent: u32,
    unsent: u32,
    failure: Option<Answer>,
    may_have_run: bool,
    unplaced: Option<Unplaced>,
}

impl Race<'_> {
    async fn run(mut self) -> Reply {
        let context = self.context;
        let lookup = self.plan.route.kind == Kind::Lookup;
        let delay = context.pacer.hedge_delay(&self.plan.service).await;
        self.begin().await;
        let mut hedge_at = context.clock.now() + delay;
        loop {
            let may_begin = self.sent < self.plan.route.attempts;
            tokio::select! {
                biased;
                Some((upstream, tried)) = self.tries.next() => {
                    if let Some(reply) = self.take(upstream, tried) {
                        return reply;
                    }
                    if !self.tries.is_empty() {
                        continue;
                    }
                    let may_go_on = self.sent < self.plan.route.attempts
                        && self.unsent < MAX_UNSENT
                        && self.unplaced.is_none()
                        && (lookup || !self.may_have_run);
                    if !may_go_on || !self.may_repeat().await {
                        return self.give_up();
                    }
                }
                () = context.clock.sleep_until(hedge_at), if lookup && may_begin => {
                    hedge_at = context.clock.now() + delay;
                    if !context.pacer.may_repeat(&self.plan.service).await {
                        continue;
                    }
                }
                () = context.clock.sleep_until(self.plan.until) => return self.time_out(),
            }
            self.begin().await;
        }
    }

    /// Whether another try is within the budget; what was never sent is no repeat.
    async fn may_repeat(&mut self) -> bool {
        self.sent == 0 || self.context.pacer.may_repeat(&self.plan.service).await
    }

    async fn begin(&mut self) {
        let demand = Demand {
            service: self.plan.service.clone(),
            account: self.plan.account.clone().unwrap_or_default(),
            avoid: self.avoid.clone(),
            run: None,
        };
        let placement = match self.context.placer.place(demand).await {
            Ok(placement) => placement,
            Err(unplaced) => {
                self.tries.push(Box::pin(async move { (None, Tried::Unplaced(unplaced)) }));
                return;
            }
        };
        self.sent += 1;
        if self.sent > 1 {
            self.context.metrics.count(Counter::LookupRetried);
            info!("request_repeated", kv: {
                request = self.request.id, upstream = placement.upstream.id, attempt = self.sent
            });
        }
        self.avoid.push(placement.upstream.id.clone());
        let (context, request, plan) =
            (self.context.clone(), self.request.clone(), self.plan.clone());
        self.tries.push(Box::pin(async move {
            let id = placement.upstream.id.clone();
            (Some(id), attempt(&context, &request, &plan, placement).await)
        }));
    }

    fn take(&mut self, upstream: Option<String>, tried: Tried) -> Option<Reply> {
        let id = upstream.unwrap_or_default();
        let placer = &self.context.placer;
        let cause = match tried {
            Tried::Answered(answer) => {
                placer.record_success(&id);
                self.context.metrics.count(Counter::CallAnswered);
                return Some(Reply::Answered(answer));
            }
            Tried::Failed(answer) => {
                placer.record_failure(&id);
                self.may_have_run = true;
                self.failure = Some(answer);
                "failed"
            }
            Tried::Rejected => {
                placer.record_failure(&id);
                "rejected"
            }
            Tried::Unsent => {
                placer.record_unreachable(&id);
                self.sent -= 1;
                self.unsent += 1;
                "unreachable"
            }
            Tried::Unknown => {
                placer.record_disconnect(&id);
                self.may_have_run = true;
                "no_answer"
            }
            Tried::Unplaced(unplaced) => {
                self.unplaced = Some(unplaced);
                "unplaced"
            }
        };
        info!("try_failed", kv: { request = self.request.id, upstream = id, cause });
        None
    }

    fn give_up(self) -> Reply {
        if let Some(answer) = self.failure {
            return Reply::Answered(answer);
        }
        let refusal = if self.may_have_run {
            Refusal::new(Code::UpstreamFailed, Ran::Unknown, "the upstream did not answer")
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

    fn time_out(self) -> Reply {
        let refusal = if self.tries.is_empty() && !self.may_have_run {
            Refusal::not_run(Code::Overloaded, "no replica took the request in time")
        } else {
            Refusal::new(Code::OutcomeUnknown, Ran::Unknown, "no answer in time")
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

async fn attempt(context: &Context, request: &Request, plan: &Plan, placement: Placement) -> Tried {
    let began = context.clock.now();
    let call = Call {
        upstream: &placement.upstream,
        request,
        deadline: plan.until.saturating_sub(began),
        account: plan.account.as_deref(),
        urgency: None,
        backup: None,
        copy: None,
        last_event: None,
        new_connection: false,
    };
    let response = match context.client.send(call).await {
        Ok(response) => response,
        Err(Error::Unsent | Error::Misdirected) => return Tried::Unsent,
        Err(Error::Broken | Error::Foreign | Error::Oversized) => return Tried::Unknown,
    };
    if response.not_run {
        return Tried::Rejected;
    }
    let (status, headers) = (response.status, response.headers.clone());
    let body = match response.collect().await {
        Ok(body) => body,
        Err(reason) => {
            debug!("answer_broke", kv: {
                request = request.id, upstream = placement.upstream.id, reason:? = reason
            });
            return Tried::Unknown;
        }
    };
    context.pacer.record_latency(&plan.service, context.clock.now().saturating_sub(began));
    let answer = Answer { status, headers, body };
    if status >= StatusCode::INTERNAL_SERVER_ERROR {
        Tried::Failed(answer)
    } else {
        Tried::Answered(answer)
    }
}
