//! Settings of a generation's machine: how long it waits for a silent engine, and what a loss costs.

use super::{Plan, Request};
use crate::generation::{Probe, Settings};
use crate::placement::Speed;
use crate::prelude::*;
use crate::routes::Kind;
use coordination::detector::Bounds;
use coordination::wait_policy::WaitPolicy;

/// Bounds of the silence after which an engine is probed. An event takes 30 ms on an idle engine
/// and 180 ms beside one prefill (users' sheet of engines).
const SILENCE: Bounds = Bounds { min: Duration::from_millis(120), max: Duration::from_millis(300) };
/// Weight of waiting in the wait policy. A run that can't resume from a copy may wait four times
/// its prefill, as the engine may run other prefills first.
const WAIT_WEIGHT: f64 = 0.25;
/// Maximum wait for an engine that accepts connections and sends nothing. Twice the prefill time
/// applies instead where that is longer.
const MAX_WAIT: Duration = Duration::from_millis(2_500);

/// Settings of a generation's machine for engines of the given prefill speed; `deadline` is the
/// time left.
pub fn machine_settings(
    request: &Request,
    plan: &Plan,
    deadline: Duration,
    speed: Speed,
) -> Settings {
    let prompt_tokens = request.prompt.as_ref().map_or(0, |prompt| prompt.tokens);
    let max_wait = MAX_WAIT.max(speed.prefill(prompt_tokens) * 2);
    Settings {
        wait_policy: WaitPolicy { weight: WAIT_WEIGHT, max: max_wait },
        prefill_tokens_per_s: speed.tokens_per_s(),
        prompt_tokens,
        open_timeout: MAX_WAIT,
        deadline,
        silence: SILENCE,
        probe: Probe::Connect,
        pause: plan.route.pause_ms.map(Duration::from_millis),
        resumable: plan.route.kind == Kind::Generation { resumable: true },
    }
}
