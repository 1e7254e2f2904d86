//! Generations of other entry VMs: taken over from a keeper, restored from their caller's tokens,
//! or cancelled at their owner.

use super::{Caller, Router};
use crate::engine::Attempt;
use crate::generation::{Request, Start};
use crate::metrics::Counter;
use crate::prelude::*;
use crate::session::{Origin, Subscription};
use crate::wire;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use tokio::time::timeout;

/// Maximum time for a peer to answer a take or a cancel.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of bits below the term in an attempt's number.
const TERM_SHIFT: u32 = 16;

impl Router {
    /// Resumes an answer that a keeper handed over; refuses if tokens up to `last` are missing.
    pub(super) fn take_over(
        &self,
        caller: &Caller,
        request: Request,
        last: EventId,
        taken: wire::Taken,
    ) -> Result<Subscription, Refusal> {
        let origin = taken.origin.clone().unwrap_or_default();
        check_same_request(&origin.digest, &request)?;
        let returned = request.emitted.clone().unwrap_or_default();
        let held = taken.tokens.len().max(returned.len());
        if (last.next as usize) > held {
            return Err(tokens_needed());
        }
        self.metrics.count(Counter::GenerationTakenOver);
        let caller_is_ahead = returned.len() > taken.tokens.len();
        let set = self.catalog.set();
        let upstream = set.upstreams().find(|upstream| upstream.name == origin.upstream);
        let same_attempt = !caller_is_ahead || last.attempt == origin.attempt;
        let start = match upstream {
            Some(upstream) if same_attempt => {
                Start::TakenOver(upstream.name.clone(), origin.version.clone())
            }
            _ if origin.version.is_empty() => Start::Fresh,
            _ => Start::Returned(origin.version.clone()),
        };
        info!("generation_taken_over", kv: {
            generation = last.generation, from = origin.owner, term = taken.term, next = held
        });
        let origin = Origin {
            generation: last.generation,
            attempt: origin.attempt.max(last.attempt),
            floor: taken.term << TERM_SHIFT,
            term: taken.term,
            tokens: if caller_is_ahead { returned } else { taken.tokens },
            whole: taken.whole,
            start,
            address: upstream.map(|upstream| upstream.address.clone()),
        };
        Ok(self.serve(caller, request, origin, last.next))
    }

    /// Resumes from the tokens that the caller returned, as no entry VM keeps the answer any more.
    pub(super) fn restore(
        &self,
        caller: &Caller,
        request: Request,
        last: EventId,
    ) -> Result<Subscription, Refusal> {
        let (Some(emitted), Some(version)) = (request.emitted.clone(), request.version.clone())
        else {
            return Err(unknown_generation());
        };
        if emitted.len() < last.next as usize {
            return Err(tokens_needed());
        }
        let generation = self.new_generation();
        info!("generation_restored", kv: { generation, lost = last.generation, next = last.next });
        let origin = Origin {
            generation,
            attempt: last.attempt,
            floor: 1,
            term: 1,
            tokens: emitted,
            whole: false,
            start: Start::Returned(version),
            address: None,
        };
        Ok(self.serve(caller, request, origin, last.next))
    }

    /// Takes an answer over from this entry VM's keeper and those of its peers; stops once one has
    /// `next` tokens. Returns the most complete answer, if any.
    pub(super) async fn take_from_keepers(
        &self,
        generation: &str,
        account: &str,
        next: u32,
    ) -> Option<wire::Taken> {
        let take = wire::Take {
            generation: generation.to_owned(),
            account: account.to_owned(),
            owner: self.config.name.clone(),
        };
        let mut best = Some(self.keeper.take_over(take.clone()).await).filter(|taken| taken.found);
        let view = self.members.view();
        let mut answers: FuturesUnordered<_> = view
            .keepers(generation, "")
            .into_iter()
            .map(|beat| {
                let ask = wire::Ask::Take(take.clone());
                timeout(PEER_CALL_TIMEOUT, self.ports.link.call(&beat.peer_address, ask))
            })
            .collect();
        while best.as_ref().is_none_or(|taken| (taken.tokens.len() as u32) < next) {
            match answers.next().await {
                None => break,
                Some(Ok(Ok(wire::Reply::Taken(taken)))) if taken.found => {
                    best = more_complete(best, taken);
                }
                Some(_) => {}
            }
        }
        best
    }

    /// Cancels a generation at the entry VM that serves it; false if that does not answer or does
    /// not have the generation.
    pub(super) async fn cancel_at_owner(&self, generation: &str, taken: &wire::Taken) -> bool {
        let Some(origin) = &taken.origin else {
            return false;
        };
        let view = self.members.view();
        let Some(owner) = view.member(&origin.owner) else {
            return false;
        };
        let (generation, account) = (generation.to_owned(), origin.account.clone());
        let ask = wire::Ask::Cancel(wire::Cancel { generation, account });
        let answer =
            timeout(PEER_CALL_TIMEOUT, self.ports.link.call(&owner.peer_address, ask)).await;
        matches!(answer, Ok(Ok(wire::Reply::Cancelled(wire::Cancelled { found: true }))))
    }

    pub(super) fn cancel_at_engine(&self, generation: &str, taken: &wire::Taken) {
        let origin = taken.origin.clone().unwrap_or_default();
        let set = self.catalog.set();
        let upstream = set.upstreams().find(|upstream| upstream.name == origin.upstream);
        let Some(address) = upstream.map(|upstream| upstream.address.clone()) else {
            return;
        };
        let generation = generation.to_owned();
        let attempt = Attempt { address, generation, number: origin.attempt };
        let engines = self.ports.engines.clone();
        self.scope.spawn(async move {
            let _ = engines.cancel(&attempt).await;
        });
    }
}

fn more_complete(best: Option<wire::Taken>, other: wire::Taken) -> Option<wire::Taken> {
    let rank = |taken: &wire::Taken| (taken.whole, taken.tokens.len(), taken.term);
    match best {
        Some(best) if rank(&best) >= rank(&other) => {
            Some(wire::Taken { term: best.term.max(other.term), ..best })
        }
        Some(best) => Some(wire::Taken { term: best.term.max(other.term), ..other }),
        None => Some(other),
    }
}

/// Refuses a body that differs from the one that began the generation.
pub fn check_same_request(digest: &str, request: &Request) -> Result<(), Refusal> {
    if digest == request.digest() {
        return Ok(());
    }
    let message = "the body differs from the one that began this generation";
    Err(Refusal::new(Code::BadRequest, Ran::No, message))
}

/// Refusal for a generation that does not exist, or not for this account.
pub fn unknown_generation() -> Refusal {
    let message =
        "no such generation; return its tokens as `emitted` with their `version` to go on";
    Refusal::new(Code::GenerationUnknown, Ran::Unknown, message)
}

fn tokens_needed() -> Refusal {
    let message = "the last tokens are not kept; return them as `emitted` with their `version`";
    Refusal::new(Code::TokensNeeded, Ran::Yes, message)
}
