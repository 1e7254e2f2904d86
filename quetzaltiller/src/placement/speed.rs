//! How fast engines read prompts, learned from runs that had an engine to themselves, and how long
//! prompts and runs are.

use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond, until that is learned (users' sheet of
/// engines).
const FIRST_GUESS: f64 = 8.0;
/// Bounds on what is learned, in tokens a millisecond.
const BOUNDS: std::ops::RangeInclusive<f64> = 0.25..=400.0;
/// Prompts whose median tells the speed: one that was partly cached seems to be read faster, one that others in
/// its batch slow slower.
const SAMPLES: usize = 9;
/// Shorter prompts tell more of round trips and first steps than of reading.
const MIN_TOKENS: u32 = 1_000;
/// So do those that took less: they were cached, or so fast that reading decides nothing.
const MIN_READ: Duration = Duration::from_millis(50);
/// Length of prompts in tokens, until that is learned (users' sheet of requests).
const FIRST_PROMPT: f64 = 8_000.0;
/// Weight of one prompt in their mean length.
const PROMPT_GAIN: f64 = 0.05;
/// Part that is left to read of a request that has not generated anything: some wait, one is read.
const UNREAD_SHARE: f64 = 0.7;

/// Time from the first event of a run to its last, until that is learned (users' sheet of engines).
const FIRST_RUN: Duration = Duration::from_millis(5_000);
/// Weight of one run in their mean length, and in the mean deviation from it.
const RUN_GAIN: f64 = 0.1;

/// Speed of engines.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    tokens_per_ms: f64,
    /// Speeds of the last prompts, the guess among them at first, and how many there were.
    samples: [f64; SAMPLES],
    sampled: usize,
    /// Mean length of prompts.
    prompt_tokens: f64,
    /// Mean length of runs, in seconds.
    run_s: f64,
    /// Mean deviation from that, in seconds.
    run_deviation_s: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            tokens_per_ms: FIRST_GUESS,
            samples: [FIRST_GUESS; SAMPLES],
            sampled: 1,
            prompt_tokens: FIRST_PROMPT,
            run_s: FIRST_RUN.as_secs_f64(),
            run_deviation_s: 0.0,
        }
    }
}

impl Speed {
    /// Time to read so many tokens.
    pub fn prefill(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.tokens_per_ms / 1_000.0)
    }

    /// Time to read what is left of a request that has not generated anything.
    pub fn unread(&self) -> Duration {
        self.prefill((self.prompt_tokens * UNREAD_SHARE) as u32)
    }

    /// Tokens that an engine reads in a second.
    pub fn tokens_per_s(&self) -> f64 {
        self.tokens_per_ms * 1_000.0
    }

    /// Time from the first event of a run to its last, for most runs.
    pub fn run(&self) -> Duration {
        Duration::from_secs_f64(self.run_s + self.run_deviation_s)
    }

    /// Takes how long a whole run took.
    pub fn observe_run(&mut self, took: Duration) {
        let off = took.as_secs_f64() - self.run_s;
        self.run_s += RUN_GAIN * off;
        self.run_deviation_s += RUN_GAIN * (off.abs() - self.run_deviation_s);
    }

    /// Takes the length of a prompt that is to be read.
    pub fn observe_prompt(&mut self, tokens: u32) {
        self.prompt_tokens += PROMPT_GAIN * (f64::from(tokens) - self.prompt_tokens);
    }

    /// Takes the time that a prompt took which did not wait.
    pub fn observe(&mut self, tokens: u32, took: Duration) {
        if tokens < MIN_TOKENS || took < MIN_READ {
            return;
        }
        let seen = f64::from(tokens) / (took.as_secs_f64() * 1_000.0);
        self.samples[self.sampled % SAMPLES] = seen.clamp(*BOUNDS.start(), *BOUNDS.end());
        self.sampled += 1;
        let mut known = self.samples;
        let known = &mut known[..self.sampled.min(SAMPLES)];
        known.sort_by(f64::total_cmp);
        self.tokens_per_ms = known[(known.len() - 1) / 2];
    }
}
