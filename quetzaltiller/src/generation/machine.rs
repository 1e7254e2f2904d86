//! State machine of one generation: reacts to engines that fail, fall silent or come back.
//!
//! A broken connection is handled at once; silence alone doesn't count as a failure. In both cases
//! the machine first reattaches at the next index on a new connection, which costs no engine work.
//! An engine that no longer has the stream, or that refuses connections, is replaced at once. For
//! an engine that does not answer, the machine waits as long as
//! [`WaitPolicy`](coordination::wait_policy::WaitPolicy) allows: until the wait has cost as much as
//! the prefill that a replacement would repeat.
//!
//! Engines that drop a run with its connection can't be reattached to ([`Probe::Connect`]). There a
//! broken connection leads to replacement, and silence to a check whether the engine still accepts
//! connections. If it does not, it is replaced at once; if it does, the machine waits until the
//! pause would exceed what the caller accepts. Where another engine holds a copy of the run's
//! memory, replacement is cheap and happens early. The connection of a silent run stays open until
//! another engine takes the run: if none does, a silent engine that goes on completes the answer.
//! An answer that has begun waits for an engine until its deadline, as it can't be refused any more.

use super::answer::{Answer, Verdict};
use super::copies::Copies;
use super::protocol::{Effect, Input, Opening, Outcome, Place, Probe, Settings, Start, Stats};
use super::splice::Splice;
use crate::engine::Error;
use crate::refusal::Code;
use coordination::detector::Detector;
use std::time::Duration;

/// Minimum time for a reattach or a check, also where the pool's wait policy allows less.
const MIN_PROBE: Duration = Duration::from_millis(100);
/// Pause between reattaches to an engine that does not answer, and base of the pause between
/// checks.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Maximum factor on the silence threshold while an engine answers reattaches without new tokens.
const MAX_BACKOFF: u32 = 16;
/// Gaps and broken connections without a new token in between after which one more replaces the
/// engine.
const MAX_FAILURES_WITHOUT_PROGRESS: u32 = 3;
/// Share of the longest pause that the caller accepts after which a silent run with a copy is
/// replaced; the rest is left for the replacement to start.
const REPLACE_AT_PAUSE_SHARE: f64 = 0.6;
/// Maximum factor on the pause between checks of an engine that answered the last one.
const MAX_CHECK_BACKOFF: u32 = 4;
/// Maximum number of inspections in a row that leave a silent run at an engine that may still have
/// it. Before the first piece the prompt may still be queued, so more are allowed than after it.
const MAX_CONFIRMATIONS_BEFORE_PIECE: u32 = 4;
const MAX_CONFIRMATIONS_AFTER_PIECE: u32 = 1;
/// Pause between checks before the first piece; the caller sees no output yet, so a loss may be
/// detected later.
const CHECK_PAUSE_BEFORE_PIECE: Duration = Duration::from_millis(600);
/// Pause after no engine was found for a run that must go on: a fraction of the time in which
/// engines restart.
const PLACE_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Number of engines in a row that turn a begun answer's run away before it pauses.
const MAX_TURNED_AWAY: u32 = 3;
/// Number of times that this pause doubles, from [`PLACE_RETRY_PAUSE`].
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// Time for which an answer that has begun waits although no further run is allowed: engines that
/// have ended, whose runs don't count, are known within it.
const EXHAUSTED_WAIT: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Placing,
    Submitting,
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct PendingProbe {
    conn: u32,
    since: Duration,
}

/// State machine of one generation; inputs go to [`Machine::advance`], which returns effects.
pub struct Machine<A = Splice> {
    splice: A,
    settings: Settings,
    phase: Phase,
    upstream: Option<String>,
    version: Option<String>,
    avoid: Vec<String>,
    copies: Copies,
    /// Engine that has read the prompt and has not been lost since.
    cached: Option<String>,
    current_conn: Option<u32>,
    probe: Option<PendingProbe>,
    probe_at: Option<Duration>,
    opened_conns: u32,
    detector: Detector,
    last_activity: Duration,
    last_progress: Duration,
    /// A piece of the current run has arrived.
    streaming: bool,
    /// A piece of the answer was admitted.
    begun: bool,
    /// When another engine was requested for a run that is silent and still connected; none if no
    /// such request is pending.
    replacing_since: Option<Duration>,
    /// Time before which no other engine is requested, after none was found.
    replace_after: Duration,
    /// Nothing is requested while placing; at `replace_after`, an engine is requested again.
    awaits_retry: bool,
    /// Number of engines that turned the run away since the last piece.
    turned_away: u32,
    /// When a further run was first refused since the last one.
    exhausted_since: Option<Duration>,
    suspected: bool,
    /// When an inspection last found the run at its engine; the wait starts anew from then.
    confirmed_at: Duration,
    /// Number of inspections since the last activity that found the run at its engine.
    confirmations: u32,
    /// The next or pending probe is [`Opening::Inspect`].
    inspecting: bool,
    backoff: u32,
    failures_without_progress: u32,
    stats: Stats,
}

impl<A: Answer> Machine<A> {
    /// Starts a generation at `now`; returns the machine and the first effects.
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
            current_conn: None,
            probe: None,
            probe_at: None,
            opened_conns: 0,
            last_activity: now,
            last_progress: now,
            streaming: false,
            begun: false,
            replacing_since: None,
            replace_after: Duration::ZERO,
            awaits_retry: false,
            turned_away: 0,
            exhausted_since: None,
            suspected: false,
            confirmed_at: Duration::ZERO,
            confirmations: 0,
            inspecting: false,
            backoff: 1,
            failures_without_progress: 0,
            stats: Stats::default(),
        };
        let effects = machine.begin(now, start);
        (machine, effects)
    }

    /// Answer received so far.
    pub fn splice(&self) -> &A {
        &self.splice
    }

    /// Upstream that runs the current attempt.
    pub fn upstream(&self) -> Option<&str> {
        self.upstream.as_deref()
    }

    /// Engine that holds a copy of the current run's memory.
    pub fn copy(&self) -> Option<&str> {
        self.copies.current()
    }

    /// Whether a piece of the current run has arrived.
    pub fn is_streaming(&self) -> bool {
        self.streaming
    }

    /// Whether `engine` runs the generation, or holds a copy from which it may be restored.
    pub fn uses_engine(&self, engine: &str) -> bool {
        self.copies.is_held_by(engine) || self.upstream() == Some(engine)
    }

    /// Version of the model that generates the answer, once it is known.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Numbers of reattaches, redispatches and false suspicions.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Time since the last activity of the engine.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_activity)
    }

    /// Whether the engine is suspected to have failed.
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Replaces the settings once the pool is known.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Handles an input at `now`; returns the effects to carry out, none once the generation has
    /// ended.
    pub fn advance(&mut self, now: Duration, input: Input<A::Piece>) -> Vec<Effect> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        match input {
            Input::Placed(place) => self.handle_placed(now, place),
            Input::Unplaced(code) => self.handle_unplaced(now, code),
            Input::Exhausted(code) => self.handle_exhausted(now, code),
            Input::Opened(conn) => self.handle_opened(now, conn),
            Input::Chunk(conn, chunk) => self.handle_chunk(now, conn, &chunk),
            Input::Failed(conn, error) => self.handle_failure(now, conn, error),
            Input::EngineLost(upstream) => self.handle_engine_lost(now, &upstream),
            Input::Copied(Some(holder)) => {
                self.copies.record_copy(holder);
                Vec::new()
            }
            Input::Copied(None) => {
                self.copies.record_failure(now);
                Vec::new()
            }
            Input::Cancel => self.cancel(Outcome::Cancelled),
            Input::Fenced => self.finish(Outcome::Superseded),
            Input::HandOver => self.finish(Outcome::HandedOver),
            Input::Tick => self.tick(now),
        }
    }

    /// Time at which [`Input::Tick`] is due; `None` while the machine waits for a placement or has
    /// ended.
    pub fn wake_at(&self) -> Option<Duration> {
        match self.phase {
            Phase::Ended => None,
            Phase::Placing => self.awaits_retry.then_some(self.replace_after),
            Phase::Submitting if self.settings.probe == Probe::Reattach => {
                Some(self.last_activity + self.settings.open_timeout)
            }
            Phase::Submitting | Phase::Running if self.replacing_since.is_some() => {
                Some(self.expires_at())
            }
            Phase::Submitting | Phase::Running => {
                let due = match (self.probe, self.probe_at) {
                    (Some(probe), _) => self.probe_ends_at(probe),
                    (None, Some(at)) => at,
                    (None, None) => self.suspect_at(),
                };
                let due = due.min(self.expires_at());
                Some(if self.inspecting { due } else { due.min(self.stalls_at()) })
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
        self.retire_copy();
        let copy = self.copies.restorable().map(str::to_owned);
        let (avoid, cached) = (self.avoid.clone(), self.cached.clone());
        vec![Effect::Place { avoid, copy, cached, resumed }]
    }

    /// Makes the copy of a run that has ended the one to restore from.
    fn retire_copy(&mut self) {
        if std::mem::take(&mut self.streaming) {
            self.copies.retire_current();
        }
    }

    /// Moves the run to the engine that was found, unless its own engine has gone on meanwhile.
    fn handle_placed(&mut self, now: Duration, place: Place) -> Vec<Effect> {
        match self.replacing_since.take() {
            Some(since) if self.last_activity >= since => Vec::new(),
            Some(_) => {
                let mut effects = self.give_up_run();
                effects.extend(self.submit(now, place));
                effects
            }
            None => self.submit(now, place),
        }
    }

    /// Leaves a connected run at its engine, and lets an answer that has begun wait; a request
    /// without an answer is refused.
    fn handle_unplaced(&mut self, now: Duration, code: Code) -> Vec<Effect> {
        let connected = self.replacing_since.take().is_some();
        let waits = connected || self.begun && self.settings.probe == Probe::Connect;
        if !waits {
            return self.finish(Outcome::Failed(code));
        }
        if connected {
            self.replace_after = now + PLACE_RETRY_PAUSE;
        } else {
            self.await_retry(now + PLACE_RETRY_PAUSE);
        }
        Vec::new()
    }

    /// Leaves a connected run at its engine; an answer that has lost its run waits for
    /// [`EXHAUSTED_WAIT`] at most.
    fn handle_exhausted(&mut self, now: Duration, code: Code) -> Vec<Effect> {
        let since = *self.exhausted_since.get_or_insert(now);
        if self.replacing_since.is_none() && now >= since + EXHAUSTED_WAIT {
            return self.finish(Outcome::Failed(code));
        }
        self.handle_unplaced(now, code)
    }

    fn submit(&mut self, now: Duration, place: Place) -> Vec<Effect> {
        if self.phase != Phase::Placing {
            return Vec::new();
        }
        let Place { upstream, version, has_copy, backup } = place;
        self.phase = Phase::Submitting;
        self.replace_after = Duration::ZERO;
        self.exhausted_since = None;
        self.upstream = Some(upstream.clone());
        self.version.get_or_insert(version);
        self.copies.begin(backup, has_copy);
        self.last_activity = now;
        self.streaming = false;
        self.suspected = false;
        self.confirmations = 0;
        self.probe_at = None;
        self.backoff = 1;
        let conn = self.next_conn();
        self.current_conn = Some(conn);
        let opening = if has_copy { Opening::Restore } else { Opening::Submit };
        vec![Effect::Open { conn, opening, upstream }]
    }

    fn handle_opened(&mut self, now: Duration, conn: u32) -> Vec<Effect> {
        if self.probe.is_some_and(|probe| probe.conn == conn) {
            return self.switch_to_probe(now, conn);
        }
        if self.current_conn == Some(conn) && self.phase == Phase::Submitting {
            self.phase = Phase::Running;
            self.last_activity = now;
        }
        Vec::new()
    }

    fn switch_to_probe(&mut self, now: Duration, conn: u32) -> Vec<Effect> {
        if self.settings.probe == Probe::Connect {
            return self.handle_engine_alive(now, conn);
        }
        let old = self.current_conn.replace(conn);
        self.probe = None;
        self.stats.reattached += 1;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.record_activity(now);
        old.map(Effect::Close).into_iter().collect()
    }

    /// Handles a check or an inspection that succeeded: the engine accepts connections, or has the
    /// run.
    fn handle_engine_alive(&mut self, now: Duration, conn: u32) -> Vec<Effect> {
        self.probe = None;
        let mut effects = vec![Effect::Close(conn)];
        if self.current_conn.is_none() {
            effects.extend(self.place_again());
            return effects;
        }
        if std::mem::take(&mut self.inspecting) {
            let limit = if self.streaming {
                MAX_CONFIRMATIONS_AFTER_PIECE
            } else {
                MAX_CONFIRMATIONS_BEFORE_PIECE
            };
            if self.confirmations >= limit {
                effects.extend(self.replace_silent_engine(now));
                return effects;
            }
            self.confirmations += 1;
            self.confirmed_at = now;
        }
        let pause =
            if self.streaming { PROBE_PAUSE * self.backoff } else { CHECK_PAUSE_BEFORE_PIECE };
        self.probe_at = Some(now + pause);
        self.backoff = (self.backoff * 2).min(MAX_CHECK_BACKOFF);
        effects
    }

    fn handle_chunk(&mut self, now: Duration, conn: u32, chunk: &A::Piece) -> Vec<Effect> {
        let probing = self.probe.is_some_and(|probe| probe.conn == conn);
        if !probing && self.current_conn != Some(conn) {
            return Vec::new();
        }
        let mut effects = self.close_obsolete_probe(conn);
        match self.splice.accept(chunk) {
            Verdict::Nothing => self.record_activity(now),
            Verdict::Admitted(_) => {
                self.record_progress(now);
                effects.extend(self.request_copy(now));
            }
            Verdict::Gap => effects.extend(self.handle_broken_connection(now, conn)),
            Verdict::Foreign => effects.extend(self.replace_engine()),
            Verdict::Whole => effects.extend(self.finish(Outcome::Whole)),
            Verdict::Inconsistent => {
                effects.extend(self.cancel(Outcome::Failed(Code::EngineInconsistent)));
            }
        }
        effects
    }

    fn close_obsolete_probe(&mut self, conn: u32) -> Vec<Effect> {
        let obsolete = self.probe.filter(|probe| probe.conn != conn);
        if obsolete.is_none() {
            return Vec::new();
        }
        self.probe = None;
        obsolete.map(|probe| Effect::Close(probe.conn)).into_iter().collect()
    }

    fn record_progress(&mut self, now: Duration) {
        let is_token_gap = self.streaming || self.settings.probe == Probe::Reattach;
        if is_token_gap && !self.suspected && self.last_progress == self.last_activity {
            self.detector.observe(now - self.last_activity);
        }
        self.streaming = true;
        self.begun = true;
        if self.cached != self.upstream {
            self.cached.clone_from(&self.upstream);
        }
        self.record_activity(now);
        self.phase = Phase::Running;
        self.last_progress = now;
        self.backoff = 1;
        self.failures_without_progress = 0;
        self.turned_away = 0;
    }

    fn record_activity(&mut self, now: Duration) {
        if self.suspected {
            self.stats.false_suspicions += 1;
        }
        self.suspected = false;
        self.confirmations = 0;
        self.probe_at = None;
        self.last_activity = now;
    }

    fn handle_failure(&mut self, now: Duration, conn: u32, error: Error) -> Vec<Effect> {
        if self.probe.is_some_and(|probe| probe.conn == conn) {
            return self.probe_failed(now, error);
        }
        if self.current_conn != Some(conn) {
            return Vec::new();
        }
        match (self.phase, error) {
            (Phase::Submitting, Error::Rejected(_)) => {
                self.finish(Outcome::Failed(Code::EngineRejected))
            }
            (Phase::Submitting, Error::Refused | Error::Busy | Error::OtherVersion)
                if self.replacing_since.is_none() =>
            {
                self.handle_turned_away(now)
            }
            _ if !self.settings.resumable => self.finish(Outcome::Failed(Code::UpstreamFailed)),
            _ if self.replacing_since.is_some() => self.replace_engine(),
            (Phase::Submitting, _) => self.replace_engine(),
            _ => self.handle_broken_connection(now, conn),
        }
    }

    /// Closes the current connection and probes the engine, which may still have the run.
    fn handle_broken_connection(&mut self, now: Duration, conn: u32) -> Vec<Effect> {
        if self.replacing_since.is_some() || !self.settings.resumable {
            return self.replace_engine();
        }
        self.current_conn = None;
        self.failures_without_progress += 1;
        let mut effects = vec![Effect::Close(conn)];
        let has_copy = self.streaming && self.copy().is_some();
        if self.settings.probe == Probe::Connect && has_copy {
            effects.extend(self.place_again());
        } else if self.failures_without_progress > MAX_FAILURES_WITHOUT_PROGRESS {
            effects.extend(self.replace_engine());
        } else if self.probe.is_none() {
            effects.extend(self.start_probe(now));
        }
        effects
    }

    /// Forgets the cached prompt and the copies at a lost engine; requests a new copy if the
    /// current run's was among them.
    fn handle_engine_lost(&mut self, now: Duration, upstream: &str) -> Vec<Effect> {
        if self.cached.as_deref() == Some(upstream) {
            self.cached = None;
        }
        if self.copies.remove_holder(upstream) { self.request_copy(now) } else { Vec::new() }
    }

    /// Requests a copy of a run that streams and has none.
    fn request_copy(&mut self, now: Duration) -> Vec<Effect> {
        let supports_copies = self.settings.probe == Probe::Connect && self.settings.resumable;
        let due = supports_copies && self.streaming && self.copies.request(now);
        due.then_some(Effect::Copy).into_iter().collect()
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
        self.probe = Some(PendingProbe { conn, since: now });
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
                    && now + PROBE_PAUSE < self.wait_ends_at() =>
            {
                self.probe_at = Some(now + PROBE_PAUSE);
                probe.map(|probe| Effect::Close(probe.conn)).into_iter().collect()
            }
            _ if self.current_conn.is_some() => {
                let mut effects: Vec<_> =
                    probe.map(|probe| Effect::Close(probe.conn)).into_iter().collect();
                effects.extend(self.replace_silent_engine(now));
                effects
            }
            _ => self.replace_engine(),
        }
    }

    /// Replaces an engine that did not take the run. An answer that has begun pauses after a few of
    /// them, for longer each time, as each request draws on the retry budget.
    fn handle_turned_away(&mut self, now: Duration) -> Vec<Effect> {
        let failed = self.upstream.take();
        self.avoid.extend(failed);
        let mut effects = self.close_all();
        self.splice.begin_attempt();
        self.turned_away += 1;
        let waits = self.begun && self.settings.probe == Probe::Connect;
        match self.turned_away.checked_sub(MAX_TURNED_AWAY) {
            Some(more) if waits => {
                self.phase = Phase::Placing;
                self.retire_copy();
                self.await_retry(
                    now + PLACE_RETRY_PAUSE * 2_u32.pow(more.min(MAX_PAUSE_DOUBLINGS)),
                );
            }
            _ => effects.extend(self.place()),
        }
        effects
    }

    /// Requests an engine again at `at`. Those that failed earlier may have recovered.
    fn await_retry(&mut self, at: Duration) {
        self.replace_after = at;
        self.awaits_retry = true;
        self.avoid.clear();
    }

    /// Starts another attempt at any engine, also the same one: only the connection is known to be
    /// broken.
    fn place_again(&mut self) -> Vec<Effect> {
        self.stats.redispatched += 1;
        self.upstream = None;
        self.suspected = false;
        let mut effects = self.close_all();
        self.splice.begin_attempt();
        effects.extend(self.place());
        effects
    }

    /// Gives up the run and requests another engine, unless one was requested already.
    fn replace_engine(&mut self) -> Vec<Effect> {
        if !self.settings.resumable {
            return self.cancel(Outcome::Failed(Code::UpstreamFailed));
        }
        let requested = self.replacing_since.take().is_some();
        let mut effects = self.give_up_run();
        if !requested {
            effects.extend(self.place());
        }
        effects
    }

    /// Requests another engine for a run that is silent. Where engines drop a run with its
    /// connection, that stays open until one is found; a run that can't be resumed stays where it
    /// is.
    fn replace_silent_engine(&mut self, now: Duration) -> Vec<Effect> {
        if self.settings.probe == Probe::Reattach {
            return self.replace_engine();
        }
        self.inspecting = false;
        if !self.settings.resumable {
            self.probe_at = Some(now + self.max_wait().max(CHECK_PAUSE_BEFORE_PIECE));
            self.confirmed_at = now;
            return Vec::new();
        }
        if now < self.replace_after {
            self.probe_at = Some(self.replace_after);
            return Vec::new();
        }
        self.replacing_since = Some(now);
        let avoid = self.avoid.iter().chain(&self.upstream).cloned().collect();
        let copy = if self.streaming { self.copies.current() } else { self.copies.restorable() };
        let copy = copy.map(str::to_owned);
        let cached = self.cached.clone().filter(|cached| Some(cached) != self.upstream.as_ref());
        vec![Effect::Place { avoid, copy, cached, resumed: true }]
    }

    /// Ends the current run, after which another engine is to be placed.
    fn give_up_run(&mut self) -> Vec<Effect> {
        let attempt = self.splice.attempt();
        let cancel = self.upstream.clone().map(|upstream| Effect::Cancel { upstream, attempt });
        self.stats.redispatched += 1;
        self.suspected = false;
        self.failures_without_progress = 0;
        if self.cached == self.upstream {
            self.cached = None;
        }
        self.inspecting = false;
        self.phase = Phase::Placing;
        self.retire_copy();
        let failed = self.upstream.take();
        self.avoid.extend(failed);
        let mut effects = self.close_all();
        self.splice.begin_attempt();
        effects.extend(cancel);
        effects
    }

    fn tick(&mut self, now: Duration) -> Vec<Effect> {
        if self.phase == Phase::Running && now >= self.expires_at() {
            return self.cancel(Outcome::Failed(Code::NoUpstream));
        }
        match self.phase {
            Phase::Placing if self.awaits_retry && now >= self.replace_after => {
                self.awaits_retry = false;
                self.place()
            }
            Phase::Placing | Phase::Ended => Vec::new(),
            _ if self.replacing_since.is_some() => Vec::new(),
            Phase::Submitting if self.settings.probe == Probe::Reattach => {
                let late = now >= self.last_activity + self.settings.open_timeout;
                if late { self.replace_engine() } else { Vec::new() }
            }
            _ if now >= self.stalls_at() => self.handle_stall(now),
            _ => self.tick_running(now),
        }
    }

    /// Handles a run that was silent for too long: replaces the engine where a copy makes that
    /// cheap, otherwise inspects the engine first.
    fn handle_stall(&mut self, now: Duration) -> Vec<Effect> {
        if self.inspecting && self.probe.is_some() {
            return self.tick_running(now);
        }
        let mut effects: Vec<_> =
            self.probe.take().map(|probe| Effect::Close(probe.conn)).into_iter().collect();
        if self.streaming && self.copy().is_some() {
            effects.extend(self.replace_silent_engine(now));
            return effects;
        }
        self.inspecting = true;
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
        let due = self.probe_at.unwrap_or_else(|| self.suspect_at());
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
        self.current_conn.take().into_iter().chain(probe).map(Effect::Close).collect()
    }

    fn next_conn(&mut self) -> u32 {
        self.opened_conns += 1;
        self.opened_conns
    }

    /// Time at which a silent run counts as stalled although its engine accepts connections.
    fn stalls_at(&self) -> Duration {
        if self.settings.probe == Probe::Reattach {
            return Duration::MAX;
        }
        let stalls_at = match (self.settings.pause, self.copy()) {
            (Some(pause), Some(_)) if self.streaming => {
                self.last_activity + pause.mul_f64(REPLACE_AT_PAUSE_SHARE)
            }
            _ => self.wait_ends_at().max(self.confirmed_at + self.max_wait()),
        };
        stalls_at.max(self.replace_after)
    }

    /// Time at which an unanswered probe counts as failed.
    fn probe_ends_at(&self, probe: PendingProbe) -> Duration {
        if self.settings.probe == Probe::Connect {
            return probe.since + MIN_PROBE;
        }
        let ends_at = self.wait_ends_at().max(probe.since + MIN_PROBE);
        ends_at.min(probe.since + self.settings.open_timeout)
    }

    fn wait_ends_at(&self) -> Duration {
        self.last_activity + self.max_wait()
    }

    fn max_wait(&self) -> Duration {
        self.settings.wait_policy.wait(self.prefill_s())
    }

    /// Time in seconds that an engine needs to prefill the prompt and the answer so far.
    fn prefill_s(&self) -> f64 {
        let tokens = f64::from(self.settings.prompt_tokens + self.splice.next());
        tokens / self.settings.prefill_tokens_per_s
    }

    /// Time at which a silent engine is probed. Before the first token the silence may be prefill;
    /// a probe costs a working engine nothing, so twice the prefill time is a sufficient threshold.
    fn suspect_at(&self) -> Duration {
        let probes_by_connecting = self.settings.probe == Probe::Connect;
        let threshold = if self.detector.has_observed() && (self.streaming || !probes_by_connecting)
        {
            self.detector.threshold()
        } else if probes_by_connecting {
            self.settings.silence.max
        } else {
            let silence = self.settings.silence;
            let prefill = Duration::from_secs_f64(2.0 * self.prefill_s());
            prefill.clamp(silence.min, silence.max)
        };
        self.last_activity + threshold * self.backoff
    }

    fn expires_at(&self) -> Duration {
        self.last_progress + self.settings.deadline
    }
}
