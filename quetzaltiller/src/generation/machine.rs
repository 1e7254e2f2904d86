//! Decides how a generation goes on when its engine fails, falls silent or comes back.
//!
//! A broken connection is acted on at once; silence is not taken for death. Either way the first
//! answer is to reattach at the next index on a new connection, which costs no engine work. An
//! engine that forgot the stream, or that refuses connections, is replaced at once. One that does
//! not answer is waited for as long as [`WaitPolicy`](coordination::wait_policy::WaitPolicy) says: until the wait has cost as much as the
//! prefill that a replacement would repeat.
//!
//! Engines that drop a run with its connection can't be reattached to ([`Probe::Connect`]). There a
//! broken connection means replacement, and silence is answered by asking whether the engine still
//! accepts connections: no means replacement at once, yes means to wait until the pause would
//! become longer than the caller accepts. Where another engine holds a copy of the run's memory,
//! replacement is cheap and comes early.

use super::answer::{Answer, Verdict};
use super::copies::Copies;
use super::protocol::{Effect, Input, Opening, Outcome, Place, Probe, Settings, Start, Stats};
use super::splice::Splice;
use crate::engine::Error;
use crate::refusal::Code;
use coordination::detector::Detector;
use std::time::Duration;

/// Time that a reattach gets at the least, however impatient the pool.
const MIN_PROBE: Duration = Duration::from_millis(100);
/// Pause between reattaches to an engine that does not answer.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Growth of the silence threshold while an engine answers reattaches without new tokens.
const MAX_BACKOFF: u32 = 16;
/// Gaps and broken connections without a new token in between before the engine is replaced.
const MAX_FRUITLESS: u32 = 3;
/// Share of the longest pause that the caller accepts after which a silent run is replaced; the
/// rest is for the replacement to begin.
const PAUSE_SHARE: f64 = 0.6;
/// Checks of an engine that answered the last one, at the most seldom.
const MAX_CHECK_BACKOFF: u32 = 4;
/// How often a silent run is left with its engine because the engine was asked and may have it: prompts
/// that wait to be read, and a run that was heard before.
const MAX_EXCUSES_UNREAD: u32 = 4;
const MAX_EXCUSES_BEGUN: u32 = 1;
/// Pause between checks before the first piece: nothing is shown yet, so a loss may be noticed later.
const UNREAD_CHECK_PAUSE: Duration = Duration::from_millis(600);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Placing,
    Submitting,
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    conn: u32,
    since: Duration,
}

/// State of one generation.
pub struct Machine<A = Splice> {
    splice: A,
    settings: Settings,
    phase: Phase,
    upstream: Option<String>,
    version: Option<String>,
    avoid: Vec<String>,
    copies: Copies,
    /// Engine that has read the prompt and was not found dead since.
    cached: Option<String>,
    current: Option<u32>,
    probe: Option<Pending>,
    probe_at: Option<Duration>,
    conns: u32,
    detector: Detector,
    last_life: Duration,
    last_progress: Duration,
    /// A piece of the current run has come.
    flowing: bool,
    suspected: bool,
    /// The engine was asked and has the run; silence counts from then.
    excused_at: Duration,
    /// How often it was.
    excuses: u32,
    /// The probe asks for the run.
    inspecting: bool,
    backoff: u32,
    fruitless: u32,
    stats: Stats,
}

impl<A: Answer> Machine<A> {
    /// Starts a generation at `now`; returns the first effects.
    pub fn new(now: Duration, splice: A, settings: Settings, start: Start) -> (Self, Vec<Effect>) {
        let mut machine = Self {
            detector: Detector::new(settings.silence),
            splice,
            settings,
            phase: Phase::Placing,
            upstream: None,
            version: None,
            avoid: Vec::new(),
            copies: Copies::default(),
            cached: None,
            current: None,
            probe: None,
            probe_at: None,
            conns: 0,
            last_life: now,
            last_progress: now,
            flowing: false,
            suspected: false,
            excused_at: Duration::ZERO,
            excuses: 0,
            inspecting: false,
            backoff: 1,
            fruitless: 0,
            stats: Stats::default(),
        };
        let effects = machine.begin(now, start);
        (machine, effects)
    }

    /// The answer so far.
    pub fn splice(&self) -> &A {
        &self.splice
    }

    /// Upstream at work.
    pub fn upstream(&self) -> Option<&str> {
        self.upstream.as_deref()
    }

    /// Engine that holds a copy of the current run's memory.
    pub fn copy(&self) -> Option<&str> {
        self.copies.current()
    }

    /// Whether a piece of the current run has come.
    pub fn is_streaming(&self) -> bool {
        self.flowing
    }

    /// Whether an engine holds a copy that may still be gone on from, or runs the generation itself.
    pub fn uses_engine(&self, engine: &str) -> bool {
        self.copies.lie_at(engine) || self.upstream() == Some(engine)
    }

    /// Version that generated the tokens.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Counts of what happened.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Time since the last sign of life.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_life)
    }

    /// Whether the engine is suspected.
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Replaces the settings once the pool is known.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes an input; returns what to do.
    pub fn advance(&mut self, now: Duration, input: Input<A::Piece>) -> Vec<Effect> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        match input {
            Input::Placed(place) => self.submit(now, place),
            Input::Unplaced(code) => self.finish(Outcome::Failed(code)),
            Input::Opened(conn) => self.opened(now, conn),
            Input::Chunk(conn, chunk) => self.chunk(now, conn, &chunk),
            Input::Failed(conn, error) => self.failed(now, conn, error),
            Input::EngineLost(upstream) => self.gone(now, &upstream),
            Input::Copied(Some(holder)) => {
                self.copies.made(holder);
                Vec::new()
            }
            Input::Copied(None) => {
                self.copies.failed(now);
                Vec::new()
            }
            Input::Cancel => self.cancel(Outcome::Cancelled),
            Input::Fenced => self.finish(Outcome::Superseded),
            Input::HandOver => self.finish(Outcome::HandedOver),
            Input::Tick => self.tick(now),
        }
    }

    /// When [`Input::Tick`] is due.
    pub fn wake_at(&self) -> Option<Duration> {
        match self.phase {
            Phase::Ended | Phase::Placing => None,
            Phase::Submitting if self.settings.probe == Probe::Reattach => {
                Some(self.last_life + self.settings.open_timeout)
            }
            Phase::Submitting | Phase::Running => {
                let due = match (self.probe, self.probe_at) {
                    (Some(probe), _) => self.probe_ends_at(probe),
                    (None, Some(at)) => at,
                    (None, None) => self.silent_at(),
                };
                let due = due.min(self.expires_at());
                Some(if self.inspecting { due } else { due.min(self.stuck_at()) })
            }
        }
    }

    fn begin(&mut self, now: Duration, start: Start) -> Vec<Effect> {
        match start {
            Start::Fresh => self.place(),
            Start::Returned(version) => {
                self.version = Some(version);
                self.splice.begin_attempt();
                self.place()
            }
            Start::TakenOver(upstream, version) => {
                self.upstream = Some(upstream);
                self.version = Some(version);
                self.phase = Phase::Running;
                self.start_probe(now)
            }
        }
    }

    fn place(&mut self) -> Vec<Effect> {
        self.phase = Phase::Placing;
        let resumed = self.splice.next() > 0 || self.splice.attempt() > 1;
        if self.flowing {
            self.copies.retire();
        }
        let copy = self.copies.usable().map(str::to_owned);
        let (avoid, cached) = (self.avoid.clone(), self.cached.clone());
        vec![Effect::Place { avoid, copy, cached, resumed }]
    }

    fn submit(&mut self, now: Duration, place: Place) -> Vec<Effect> {
        if self.phase != Phase::Placing {
            return Vec::new();
        }
        let Place { upstream, version, has_copy, backup } = place;
        self.phase = Phase::Submitting;
        self.upstream = Some(upstream.clone());
        self.version.get_or_insert(version);
        self.copies.begin(backup, has_copy);
        self.last_life = now;
        self.flowing = false;
        self.suspected = false;
        self.excuses = 0;
        self.probe_at = None;
        self.backoff = 1;
        let conn = self.next_conn();
        self.current = Some(conn);
        let opening = if has_copy { Opening::Restore } else { Opening::Submit };
        vec![Effect::Open { conn, opening, upstream }]
    }

    fn opened(&mut self, now: Duration, conn: u32) -> Vec<Effect> {
        if self.probe.is_some_and(|probe| probe.conn == conn) {
            return self.switch_to_probe(now, conn);
        }
        if self.current == Some(conn) && self.phase == Phase::Submitting {
            self.phase = Phase::Running;
            self.last_life = now;
        }
        Vec::new()
    }

    fn switch_to_probe(&mut self, now: Duration, conn: u32) -> Vec<Effect> {
        if self.settings.probe == Probe::Connect {
            return self.engine_lives(now, conn);
        }
        let old = self.current.replace(conn);
        self.probe = None;
        self.stats.reattached += 1;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.show_life(now);
        old.map(Effect::Close).into_iter().collect()
    }

    /// The engine accepts connections, or has the run.
    fn engine_lives(&mut self, now: Duration, conn: u32) -> Vec<Effect> {
        self.probe = None;
        let mut effects = vec![Effect::Close(conn)];
        if self.current.is_none() {
            effects.extend(self.place_again());
            return effects;
        }
        if std::mem::take(&mut self.inspecting) {
            let most = if self.flowing { MAX_EXCUSES_BEGUN } else { MAX_EXCUSES_UNREAD };
            if self.excuses >= most {
                return self.replace_engine();
            }
            self.excuses += 1;
            self.excused_at = now;
        }
        let pause = if self.flowing { PROBE_PAUSE * self.backoff } else { UNREAD_CHECK_PAUSE };
        self.probe_at = Some(now + pause);
        self.backoff = (self.backoff * 2).min(MAX_CHECK_BACKOFF);
        effects
    }

    fn chunk(&mut self, now: Duration, conn: u32, chunk: &A::Piece) -> Vec<Effect> {
        let probing = self.probe.is_some_and(|probe| probe.conn == conn);
        if !probing && self.current != Some(conn) {
            return Vec::new();
        }
        let mut effects = self.drop_needless_probe(conn);
        match self.splice.take(chunk) {
            Verdict::Nothing => self.show_life(now),
            Verdict::Admitted(_) => {
                self.progress(now);
                effects.extend(self.order_copy(now));
            }
            Verdict::Gap => effects.extend(self.broken(now, conn)),
            Verdict::Foreign => effects.extend(self.replace_engine()),
            Verdict::Whole => effects.extend(self.finish(Outcome::Whole)),
            Verdict::Inconsistent => {
                effects.extend(self.cancel(Outcome::Failed(Code::EngineInconsistent)));
            }
        }
        effects
    }

    fn drop_needless_probe(&mut self, conn: u32) -> Vec<Effect> {
        let needless = self.probe.filter(|probe| probe.conn != conn);
        if needless.is_none() {
            return Vec::new();
        }
        self.probe = None;
        needless.map(|probe| Effect::Close(probe.conn)).into_iter().collect()
    }

    fn progress(&mut self, now: Duration) {
        let comparable = self.flowing || self.settings.probe == Probe::Reattach;
        if comparable && !self.suspected && self.last_progress == self.last_life {
            self.detector.observe(now - self.last_life);
        }
        self.flowing = true;
        if self.cached != self.upstream {
            self.cached.clone_from(&self.upstream);
        }
        self.show_life(now);
        self.phase = Phase::Running;
        self.last_progress = now;
        self.backoff = 1;
        self.fruitless = 0;
    }

    fn show_life(&mut self, now: Duration) {
        if self.suspected {
            self.stats.false_suspicions += 1;
        }
        self.suspected = false;
        self.excuses = 0;
        self.probe_at = None;
        self.last_life = now;
    }

    fn failed(&mut self, now: Duration, conn: u32, error: Error) -> Vec<Effect> {
        if self.probe.is_some_and(|probe| probe.conn == conn) {
            return self.probe_failed(now, error);
        }
        if self.current != Some(conn) {
            return Vec::new();
        }
        match (self.phase, error) {
            (Phase::Submitting, Error::Rejected(_)) => {
                self.finish(Outcome::Failed(Code::EngineRejected))
            }
            (Phase::Submitting, Error::Refused | Error::Busy | Error::OtherVersion) => {
                self.replace_unused_engine()
            }
            _ if !self.settings.resumable => self.finish(Outcome::Failed(Code::UpstreamFailed)),
            (Phase::Submitting, _) => self.replace_engine(),
            _ => self.broken(now, conn),
        }
    }

    /// The current connection is of no more use; the engine may well be.
    fn broken(&mut self, now: Duration, conn: u32) -> Vec<Effect> {
        self.current = None;
        self.fruitless += 1;
        let mut effects = vec![Effect::Close(conn)];
        let has_copy = self.flowing && self.copy().is_some();
        if self.settings.probe == Probe::Connect && has_copy {
            effects.extend(self.place_again());
        } else if self.fruitless > MAX_FRUITLESS {
            effects.extend(self.replace_engine());
        } else if self.probe.is_none() {
            effects.extend(self.start_probe(now));
        }
        effects
    }

    /// An engine is gone: what lay there is lost, and copied again while the run still can be.
    fn gone(&mut self, now: Duration, upstream: &str) -> Vec<Effect> {
        if self.cached.as_deref() == Some(upstream) {
            self.cached = None;
        }
        if self.copies.lose(upstream) { self.order_copy(now) } else { Vec::new() }
    }

    /// Orders a copy of a run that generates and has none.
    fn order_copy(&mut self, now: Duration) -> Vec<Effect> {
        let copies = self.settings.probe == Probe::Connect && self.settings.resumable;
        let orders = copies && self.flowing && self.copies.order(now);
        orders.then_some(Effect::Copy).into_iter().collect()
    }

    fn start_probe(&mut self, now: Duration) -> Vec<Effect> {
        let Some(upstream) = self.upstream.clone() else {
            return self.place();
        };
        if !self.suspected {
            self.suspected = true;
        }
        self.probe_at = None;
        let conn = self.next_conn();
        self.probe = Some(Pending { conn, since: now });
        let opening = match self.settings.probe {
            Probe::Reattach => Opening::Reattach,
            Probe::Connect if self.inspecting => Opening::Inspect,
            Probe::Connect => Opening::Check,
        };
        vec![Effect::Open { conn, opening, upstream }]
    }

    fn probe_failed(&mut self, now: Duration, error: Error) -> Vec<Effect> {
        let probe = self.probe.take();
        match error {
            Error::Reset | Error::Timeout
                if self.settings.probe == Probe::Reattach
                    && now + PROBE_PAUSE < self.patience_ends_at() =>
            {
                self.probe_at = Some(now + PROBE_PAUSE);
                probe.map(|probe| Effect::Close(probe.conn)).into_iter().collect()
            }
            _ => self.replace_engine(),
        }
    }

    fn replace_unused_engine(&mut self) -> Vec<Effect> {
        let failed = self.upstream.take();
        self.avoid.extend(failed);
        let mut effects = self.close_all();
        self.splice.begin_attempt();
        effects.extend(self.place());
        effects
    }

    /// Goes on anywhere, at the same engine too if it lives: the connection broke, not the engine.
    fn place_again(&mut self) -> Vec<Effect> {
        self.stats.redispatched += 1;
        self.upstream = None;
        self.suspected = false;
        let mut effects = self.close_all();
        self.splice.begin_attempt();
        effects.extend(self.place());
        effects
    }

    fn replace_engine(&mut self) -> Vec<Effect> {
        let attempt = self.splice.attempt();
        if !self.settings.resumable {
            return self.cancel(Outcome::Failed(Code::UpstreamFailed));
        }
        let cancel = self.upstream.clone().map(|upstream| Effect::Cancel { upstream, attempt });
        self.stats.redispatched += 1;
        self.suspected = false;
        self.fruitless = 0;
        if self.cached == self.upstream {
            self.cached = None;
        }
        self.inspecting = false;
        let mut effects = self.replace_unused_engine();
        effects.extend(cancel);
        effects
    }

    fn tick(&mut self, now: Duration) -> Vec<Effect> {
        if self.phase == Phase::Running && now >= self.expires_at() {
            return self.cancel(Outcome::Failed(Code::NoUpstream));
        }
        match self.phase {
            Phase::Placing | Phase::Ended => Vec::new(),
            Phase::Submitting if self.settings.probe == Probe::Reattach => {
                let late = now >= self.last_life + self.settings.open_timeout;
                if late { self.replace_engine() } else { Vec::new() }
            }
            _ if now >= self.stuck_at() => self.stuck(now),
            _ => self.tick_running(now),
        }
    }

    /// Silent for too long: replaced where that is cheap, otherwise the engine is asked first.
    fn stuck(&mut self, now: Duration) -> Vec<Effect> {
        if self.inspecting && self.probe.is_some() {
            return self.tick_running(now);
        }
        if self.flowing && self.copy().is_some() {
            return self.replace_engine();
        }
        self.inspecting = true;
        let mut effects: Vec<_> =
            self.probe.take().map(|probe| Effect::Close(probe.conn)).into_iter().collect();
        effects.extend(self.start_probe(now));
        effects
    }

    fn tick_running(&mut self, now: Duration) -> Vec<Effect> {
        if let Some(probe) = self.probe {
            if now < self.probe_ends_at(probe) {
                return Vec::new();
            }
            return self.probe_failed(now, Error::Timeout);
        }
        let due = self.probe_at.unwrap_or_else(|| self.silent_at());
        if now >= due { self.start_probe(now) } else { Vec::new() }
    }

    fn cancel(&mut self, outcome: Outcome) -> Vec<Effect> {
        let attempt = self.splice.attempt();
        let mut effects = self.finish(outcome);
        let upstream = self.upstream.clone();
        effects.extend(upstream.map(|upstream| Effect::Cancel { upstream, attempt }));
        effects
    }

    fn finish(&mut self, outcome: Outcome) -> Vec<Effect> {
        let mut effects = self.close_all();
        self.phase = Phase::Ended;
        effects.push(Effect::Finish(outcome));
        effects
    }

    fn close_all(&mut self) -> Vec<Effect> {
        let probe = self.probe.take().map(|probe| probe.conn);
        self.probe_at = None;
        self.current.take().into_iter().chain(probe).map(Effect::Close).collect()
    }

    fn next_conn(&mut self) -> u32 {
        self.conns += 1;
        self.conns
    }

    /// When a run is replaced although its engine accepts connections.
    fn stuck_at(&self) -> Duration {
        if self.settings.probe == Probe::Reattach {
            return Duration::MAX;
        }
        match (self.settings.pause, self.copy()) {
            (Some(pause), Some(_)) if self.flowing => self.last_life + pause.mul_f64(PAUSE_SHARE),
            _ => self.patience_ends_at().max(self.excused_at + self.wait()),
        }
    }

    /// End of a probe that is not answered.
    fn probe_ends_at(&self, probe: Pending) -> Duration {
        if self.settings.probe == Probe::Connect {
            return probe.since + MIN_PROBE;
        }
        let hurried = self.patience_ends_at().max(probe.since + MIN_PROBE);
        hurried.min(probe.since + self.settings.open_timeout)
    }

    fn patience_ends_at(&self) -> Duration {
        self.last_life + self.wait()
    }

    fn wait(&self) -> Duration {
        self.settings.wait_policy.wait(self.prefill_s())
    }

    /// Time that an engine needs to prefill prompt and answer.
    fn prefill_s(&self) -> f64 {
        let tokens = f64::from(self.settings.prompt_tokens + self.splice.next());
        tokens / self.settings.prefill_tokens_per_s
    }

    /// When silence is acted on. Before the first token it may be prefill; asking an engine that
    /// is at work costs it nothing, so twice the time of that is enough.
    fn silent_at(&self) -> Duration {
        let connects = self.settings.probe == Probe::Connect;
        let threshold = if self.detector.has_observed() && (self.flowing || !connects) {
            self.detector.threshold()
        } else if connects {
            self.settings.silence.max
        } else {
            let silence = self.settings.silence;
            let prefill = Duration::from_secs_f64(2.0 * self.prefill_s());
            prefill.clamp(silence.min, silence.max)
        };
        self.last_life + threshold * self.backoff
    }

    fn expires_at(&self) -> Duration {
        self.last_progress + self.settings.deadline
    }
}
