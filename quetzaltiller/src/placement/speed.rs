//! Measured speed of engines and lengths of prompts and runs.
//!
//! The reading speed is learned from prompts that did not wait for others. All engines are assumed
//! to be equally fast.

use std::time::Duration;

/// Initial reading speed in prompt tokens per millisecond (users' sheet of engines).
const INITIAL_TOKENS_PER_MS: f64 = 8.0;
/// Bounds of a measured reading speed, in tokens per millisecond.
const TOKENS_PER_MS_BOUNDS: std::ops::RangeInclusive<f64> = 0.25..=400.0;
/// Number of prompts whose median is the reading speed. A median, because a partly cached prompt
/// seems to be read faster, and one that others in its batch slow down seems to be read slower.
const SAMPLES: usize = 9;
/// Minimum length in tokens of a measured prompt. The times of shorter ones depend more on round
/// trips and first steps than on reading.
const MIN_SAMPLE_TOKENS: u32 = 1_000;
/// Minimum time of a measured prompt. Faster ones were cached, or engines are so fast that reading
/// does not matter for the choice.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(50);
/// Initial mean length of prompts in tokens (users' sheet of requests).
const INITIAL_PROMPT_TOKENS: f64 = 8_000.0;
/// Weight of the newest prompt in the mean length of prompts.
const PROMPT_GAIN: f64 = 0.05;
/// Mean share of the prompt that is left to read for a request that has not generated anything:
/// some of these are queued, one is being read.
const UNREAD_SHARE: f64 = 0.7;

/// Initial mean time from the first event of a run to its last (users' sheet of engines).
const INITIAL_RUN: Duration = Duration::from_millis(5_000);
/// Weight of the newest run in the mean length of runs, and in the mean deviation from it.
const RUN_GAIN: f64 = 0.1;

/// Measured speed of engines, and mean lengths of prompts and runs.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    tokens_per_ms: f64,
    /// Reading speeds of the last prompts in tokens per millisecond, as a ring that starts with the
    /// initial speed.
    samples: [f64; SAMPLES],
    /// Number of speeds recorded in `samples`, including the initial one.
    sampled: usize,
    /// Mean length of prompts in tokens.
    prompt_tokens: f64,
    /// Mean length of runs, in seconds.
    run_s: f64,
    /// Mean absolute deviation from the mean length of runs, in seconds.
    run_deviation_s: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            samples: [INITIAL_TOKENS_PER_MS; SAMPLES],
            sampled: 1,
            prompt_tokens: INITIAL_PROMPT_TOKENS,
            run_s: INITIAL_RUN.as_secs_f64(),
            run_deviation_s: 0.0,
        }
    }
}

impl Speed {
    /// Time in which an engine reads `tokens`.
    pub fn prefill(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.tokens_per_ms / 1_000.0)
    }

    /// Mean time to read what is left of the prompt of a request that has not generated anything.
    pub fn unread_prefill(&self) -> Duration {
        self.prefill((self.prompt_tokens * UNREAD_SHARE) as u32)
    }

    /// Reading speed in tokens per second.
    pub fn tokens_per_s(&self) -> f64 {
        self.tokens_per_ms * 1_000.0
    }

    /// Time from the first event of a run to its last that most runs don't exceed: the mean plus
    /// the mean deviation.
    pub fn run(&self) -> Duration {
        Duration::from_secs_f64(self.run_s + self.run_deviation_s)
    }

    /// Records the time of a finished run from its first event to its last.
    pub fn observe_run(&mut self, took: Duration) {
        let deviation = took.as_secs_f64() - self.run_s;
        self.run_s += RUN_GAIN * deviation;
        self.run_deviation_s += RUN_GAIN * (deviation.abs() - self.run_deviation_s);
    }

    /// Records the length in tokens of a prompt that is to be read.
    pub fn observe_prompt(&mut self, tokens: u32) {
        self.prompt_tokens += PROMPT_GAIN * (f64::from(tokens) - self.prompt_tokens);
    }

    /// Records the prefill time of a prompt that did not wait for others.
    pub fn observe_prefill(&mut self, tokens: u32, took: Duration) {
        if tokens < MIN_SAMPLE_TOKENS || took < MIN_SAMPLE_TIME {
            return;
        }
        let tokens_per_ms = f64::from(tokens) / (took.as_secs_f64() * 1_000.0);
        self.samples[self.sampled % SAMPLES] =
            tokens_per_ms.clamp(*TOKENS_PER_MS_BOUNDS.start(), *TOKENS_PER_MS_BOUNDS.end());
        self.sampled += 1;
        let mut samples = self.samples;
        let samples = &mut samples[..self.sampled.min(SAMPLES)];
        samples.sort_by(f64::total_cmp);
        self.tokens_per_ms = samples[(samples.len() - 1) / 2];
    }
}
