//! Derives the demand on an upstream and the machine's settings from a request and its pool.

use crate::config::Timing;
use crate::dispatch::{Demand, Placement};
use crate::generation::{Probe, Request, Settings};
use crate::objects::Labels;
use coordination::detector::Bounds;
use coordination::wait_policy::WaitPolicy;
use std::time::Duration;

/// Estimated bytes of prompt per token.
const BYTES_PER_TOKEN: usize = 5;
/// Length in bytes of the prompt's beginning that is the affinity key; requests with equal
/// beginnings go to the same upstream.
const AFFINITY_BYTES: usize = 512;
/// Prefill speed in tokens per second that is assumed until the pool is known.
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// Demand of a request on an upstream.
pub fn demand(account: &str, labels: Labels, request: &Request) -> Demand {
    let mut end = request.prompt.len().min(AFFINITY_BYTES);
    while !request.prompt.is_char_boundary(end) {
        end -= 1;
    }
    Demand {
        account: account.to_owned(),
        model: Some(request.model.clone()),
        adapter: request.adapter.clone(),
        labels,
        affinity: request.prompt[..end].to_owned(),
        ..Demand::default()
    }
}

/// Settings of the machine until the pool is known.
pub fn initial_settings(timing: &Timing, request: &Request, deadline: Duration) -> Settings {
    let prompt_tokens = (request.prompt.len() / BYTES_PER_TOKEN) as u32;
    Settings {
        wait_policy: WaitPolicy { weight: 1.0, max: timing.open_timeout },
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        prompt_tokens,
        open_timeout: timing.open_timeout,
        deadline,
        silence: Bounds { min: timing.min_silence, max: timing.max_silence },
        probe: Probe::Reattach,
        pause: None,
        resumable: true,
    }
}

/// Settings of the machine for the pool of `placement`.
pub fn pool_settings(
    timing: &Timing,
    request: &Request,
    placement: &Placement,
    deadline: Duration,
) -> Settings {
    let pool = &placement.pool;
    let max = Duration::from_millis(pool.max_silence_ms);
    Settings {
        wait_policy: WaitPolicy { weight: pool.resume_weight, max },
        prefill_tokens_per_s: pool.prefill_tokens_per_s as f64,
        ..initial_settings(timing, request, deadline)
    }
}
