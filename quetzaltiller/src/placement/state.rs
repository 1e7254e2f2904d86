//! What this entry VM knows of one upstream from its own requests.

use super::speed::Speed;
use crate::fleet::Upstream;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// First time for which a failed upstream is avoided; doubles with each failure in a row.
const FIRST_SUSPICION: Duration = Duration::from_millis(300);
/// An engine restarts in a second or two; longer suspicion would waste it.
const MAX_SUSPICION: Duration = Duration::from_millis(2_400);
/// Time for which a peer's word counts that an upstream is gone; it is repeated with heartbeats.
const RUMOUR: Duration = Duration::from_millis(1_500);
/// An upstream that is gone stays listed for three of its heartbeats of 1.2 s (users' settings).
const LOSS: Duration = Duration::from_millis(4_000);
/// Weight of the newest outcome in the failure rate.
const FAILURE_GAIN: f64 = 0.15;
/// Time in which evidence of failures fades to a third, so that an upstream is tried again.
const FAILURE_FADES: Duration = Duration::from_secs(4);

/// A report says nothing about memory after half of the length of a run.
const REPORT_TERM: Duration = Duration::from_millis(2_500);
/// Tokens that were booked show in reports after this time: their period and lag.
const BOOKED_TERM: Duration = Duration::from_millis(1_000);
/// A report is told to others while it is about as new as the period of reports.
const REPORT_FRESH: Duration = Duration::from_millis(1_000);

/// What another entry VM has given to an upstream.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Load {
    /// Requests.
    pub in_flight: u32,
    /// Time until the prefill is done, when it was told.
    pub backlog: Duration,
    /// Tokens held, copies of other engines' runs included.
    pub tokens: u32,
    /// What the upstream itself told lately.
    pub reported: Option<Reported>,
}

/// What an upstream told of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Reported {
    /// Tokens in its memory that can't be dropped.
    pub tokens: u32,
    /// Requests that run or wait.
    pub requests: u32,
    /// Of these, those that have not generated anything yet.
    pub unread: u32,
}

/// State of an upstream.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct State {
    /// The upstream.
    #[serde(skip)]
    pub upstream: Arc<Upstream>,
    /// Requests of this entry VM.
    pub in_flight: u32,
    /// Tokens that those hold, or will hold.
    pub held_tokens: u32,
    /// Tokens that copies of other engines' runs hold, or will hold.
    pub copied_tokens: u32,
    /// End of the prefill that this entry VM gave it.
    pub prefill_until: Duration,
    /// End of the prefill that all entry VMs have booked, as far as this one knows it.
    pub booked_until: Duration,
    /// Tokens that were booked, and when, as its registrar.
    booked: Vec<(Duration, u32)>,
    /// Memory by the word of its registrar, and when.
    corrected: Option<(Duration, u32)>,
    /// Chosen only for want of another until then.
    pub suspect_until: Duration,
    /// When its address last accepted a connection or sent something.
    pub alive_at: Duration,
    /// When its own process last showed life.
    pub proven_at: Duration,
    /// It has said itself that it takes no new work.
    departing: bool,
    /// It has turned this VM away until then.
    closed_until: Duration,
    /// When it was found to be gone, while it has not answered since.
    lost_at: Option<Duration>,
    /// Last report, when it was made, and what this entry VM held then.
    reported: Option<(Reported, Duration, u32)>,
    /// What other entry VMs told that they have given to it, and when.
    others: BTreeMap<String, (Load, Duration)>,
    failures: u32,
    failure_rate: f64,
    judged_at: Duration,
}

impl State {
    /// Nothing known.
    pub fn new(upstream: Arc<Upstream>) -> Self {
        Self {
            upstream,
            in_flight: 0,
            held_tokens: 0,
            copied_tokens: 0,
            prefill_until: Duration::ZERO,
            booked_until: Duration::ZERO,
            booked: Vec::new(),
            corrected: None,
            suspect_until: Duration::ZERO,
            alive_at: Duration::ZERO,
            proven_at: Duration::ZERO,
            departing: false,
            closed_until: Duration::ZERO,
            lost_at: None,
            reported: None,
            others: BTreeMap::new(),
            failures: 0,
            failure_rate: 0.0,
            judged_at: Duration::ZERO,
        }
    }

    /// Whether it failed lately.
    pub fn is_suspect(&self, now: Duration) -> bool {
        now < self.suspect_until || self.is_lost(now)
    }

    /// Whether it takes no new work, by the directory or by its own word.
    pub fn is_leaving(&self) -> bool {
        self.upstream.leaving || self.departing
    }

    /// Whether only its own word, or that of a peer that heard it, tells that it leaves.
    pub fn is_departing_unlisted(&self) -> bool {
        self.departing && !self.upstream.leaving
    }

    /// Notes its word that it takes no new work; true when that is news.
    pub fn depart(&mut self) -> bool {
        !std::mem::replace(&mut self.departing, true)
    }

    /// Whether it wants nothing from this VM now.
    pub fn is_closed(&self, now: Duration) -> bool {
        now < self.closed_until
    }

    /// Time until it may be asked again.
    pub fn closed_for(&self, now: Duration) -> Duration {
        self.closed_until.saturating_sub(now)
    }

    /// Notes that it wants nothing from this VM until then.
    pub fn close(&mut self, until: Duration) {
        self.closed_until = self.closed_until.max(until);
    }

    /// Whether it was found to be gone within `LOSS`.
    pub fn is_lost(&self, now: Duration) -> bool {
        self.lost_within(now, LOSS)
    }

    /// Whether it was found to be gone within `age`.
    pub fn lost_within(&self, now: Duration, age: Duration) -> bool {
        self.lost_at.is_some_and(|lost_at| now < lost_at + age)
    }

    /// Whether it was found to be gone and has not shown life since: another process may have its
    /// address by now, to which a copy would go unseen.
    pub fn is_unproven(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Notes that it is gone; true when that is news.
    pub fn lose(&mut self, now: Duration) -> bool {
        let news = !self.is_lost(now);
        self.lost_at = Some(now);
        news
    }

    /// Whether `told` may be the incarnation that is listed; 0 stands for unknown.
    pub fn is_incarnation(&self, told: u64) -> bool {
        let listed = self.upstream.incarnation;
        told == 0 || listed == 0 || told == listed
    }

    /// Notes that some process accepts connections at its address.
    pub fn reach(&mut self, now: Duration) {
        self.alive_at = now;
        if self.lost_at.is_none() {
            self.suspect_until = Duration::ZERO;
        }
    }

    /// Notes a sign of life of the process itself.
    pub fn show_life(&mut self, now: Duration) {
        self.alive_at = now;
        self.proven_at = now;
        self.lost_at = None;
        self.suspect_until = Duration::ZERO;
    }

    /// Share of lately failed requests; evidence fades with time.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.judged_at).as_secs_f64();
        self.failure_rate * (-age_s / FAILURE_FADES.as_secs_f64()).exp()
    }

    /// Notes an answer.
    pub fn succeed(&mut self, now: Duration) {
        self.failures = 0;
        self.show_life(now);
        self.judge(now, 0.0);
    }

    /// Notes that a connection to it broke.
    pub fn fail(&mut self, now: Duration) {
        let suspicion = FIRST_SUSPICION * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.suspect_until = now + suspicion.min(MAX_SUSPICION);
        self.judge(now, 1.0);
    }

    /// Notes a peer's word that it is gone.
    pub fn doubt(&mut self, now: Duration) {
        self.suspect_until = self.suspect_until.max(now + RUMOUR);
    }

    /// Notes a request that it failed while it could be reached.
    pub fn disappoint(&mut self, now: Duration) {
        self.judge(now, 1.0);
    }

    fn judge(&mut self, now: Duration, outcome: f64) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_GAIN * (outcome - rate);
        self.judged_at = now;
    }

    /// Time until the prefill it was given is done: by what entry VMs have given to it, or by its
    /// own report. Engines read one prompt after the other.
    pub fn backlog(&self, now: Duration, speed: Speed) -> Duration {
        let told = self
            .others
            .values()
            .map(|(load, told_at)| load.backlog.saturating_sub(now.saturating_sub(*told_at)));
        let given = self.own_backlog(now) + told.sum::<Duration>();
        let reported = self.reported.map_or(Duration::ZERO, |(reported, at, _)| {
            (speed.unread() * reported.unread).saturating_sub(now.saturating_sub(at))
        });
        given.max(reported).max(self.booked_until.saturating_sub(now))
    }

    /// Notes as the registrar that a prompt is to be read after what was booked before.
    pub fn book(&mut self, now: Duration, prefill: Duration, tokens: u32) {
        self.booked_until = self.booked_until.max(now) + prefill;
        self.booked.retain(|(at, _)| now < *at + BOOKED_TERM);
        self.booked.push((now, tokens));
    }

    /// Takes the word of the registrar.
    pub fn correct(&mut self, now: Duration, backlog: Duration, memory: u32) {
        self.booked_until = self.booked_until.max(now + backlog);
        self.corrected = Some((now, memory));
    }

    /// Tokens that were booked lately, which its report may not show yet.
    fn booked_tokens(&self, now: Duration) -> u32 {
        let recent = self.booked.iter().filter(|(at, _)| now < *at + BOOKED_TERM);
        recent.map(|(_, tokens)| tokens).sum()
    }

    /// Time until the prefill that this entry VM gave it is done.
    pub fn own_backlog(&self, now: Duration) -> Duration {
        self.prefill_until.saturating_sub(now)
    }

    /// Requests of all entry VMs.
    pub fn total_in_flight(&self, now: Duration) -> u32 {
        let others = self.others.values().map(|(load, _)| load.in_flight).sum::<u32>();
        let reported = self.reported.filter(|(_, at, _)| now < *at + REPORT_TERM);
        let reported = reported.map_or(0, |(reported, ..)| reported.requests);
        (self.in_flight + others).max(reported)
    }

    /// Tokens that its memory holds or will hold: by what entry VMs have given to it, and by what it
    /// reported with what this one has given since.
    pub fn memory(&self, now: Duration) -> u32 {
        let others = self.others.values().map(|(load, _)| load.tokens).sum::<u32>();
        let given = self.own_memory() + others;
        let reported = self.reported.filter(|(_, at, _)| now < *at + REPORT_TERM);
        let by_report = reported.map_or(0, |(reported, _, held)| {
            reported.tokens + self.own_memory().saturating_sub(held).max(self.booked_tokens(now))
        });
        let corrected = self.corrected.filter(|(at, _)| now < *at + BOOKED_TERM);
        given.max(by_report).max(corrected.map_or(0, |(_, memory)| memory))
    }

    /// Takes a report of its own.
    pub fn report(&mut self, now: Duration, reported: Reported) {
        self.reported = Some((reported, now, self.own_memory()));
        self.show_life(now);
    }

    /// Whether it can run one more.
    pub fn has_slot(&self, now: Duration) -> bool {
        self.total_in_flight(now) < self.upstream.slots.max(1)
    }

    /// Whether so many more tokens stay within `limit`. An empty engine takes any run.
    pub fn has_room(&self, now: Duration, tokens: u32, limit: f64) -> bool {
        let memory = self.memory(now);
        memory == 0 || f64::from(memory + tokens) <= limit
    }

    /// Age of its last report.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        self.reported.map(|(_, at, _)| now.saturating_sub(at))
    }

    /// Its last report, if that is not too old to tell others.
    pub fn fresh_report(&self, now: Duration) -> Option<Reported> {
        let (reported, at, _) = self.reported?;
        (now < at + REPORT_FRESH).then_some(reported)
    }

    /// Tokens that its memory holds or will hold for this entry VM.
    pub fn own_memory(&self) -> u32 {
        self.held_tokens + self.copied_tokens
    }

    /// Takes what another entry VM has given to it.
    pub fn hear(&mut self, now: Duration, member: &str, load: Load) {
        if let Some(reported) = load.reported {
            self.reported = Some((reported, now, self.own_memory()));
        }
        self.others.insert(member.to_owned(), (load, now));
    }

    /// Forgets what another entry VM had given to it.
    pub fn forget(&mut self, member: &str) {
        self.others.remove(member);
    }
}
