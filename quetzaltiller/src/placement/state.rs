//! Health and load of one upstream, as this entry VM knows them: from its own requests, from the
//! reports of the upstream, and from other entry VMs. The table keeps one [`State`] per upstream.

use super::limit::Limit;
use super::sign::Sign;
use super::speed::Speed;
use crate::fleet::Upstream;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which an upstream is avoided after its first failure; doubles with each failure in a
/// row.
const FIRST_SUSPICION: Duration = Duration::from_millis(300);
/// Maximum time for which a failed upstream is avoided. An engine restarts in 1 to 2 s and would
/// stand idle for the rest of a longer time.
const MAX_SUSPICION: Duration = Duration::from_millis(2_400);
/// Time for which an upstream is avoided after a peer reported it as lost. Peers repeat the report
/// with each heartbeat.
const PEER_SUSPICION: Duration = Duration::from_millis(1_500);
/// Time for which an upstream counts as lost without a sign of life. The directory lists it for
/// three more heartbeats of 1.2 s (users' settings).
const LOST_DURATION: Duration = Duration::from_millis(4_000);
/// Weight of the newest outcome in the failure rate.
const FAILURE_GAIN: f64 = 0.15;
/// Time constant of the failure rate's decay (to 1/e, about a third), so that a failing upstream is
/// tried again.
const FAILURE_DECAY: Duration = Duration::from_secs(4);

/// Maximum age of a report whose memory and requests still count: half of the length of a run.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2_500);
/// Time for which booked tokens are added to a report. Later reports include them: the time is the
/// period of reports and their lag.
const BOOKING_LIFETIME: Duration = Duration::from_millis(1_000);
/// Maximum age of a report that is sent to other entry VMs: about the period of reports.
const MAX_SHARED_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Load that one entry VM has placed on an upstream, as it is sent to the others.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Load {
    /// Requests in flight.
    pub in_flight: u32,
    /// Time until the placed prompts are read, counted from when the load was sent.
    pub backlog: Duration,
    /// Tokens held in the upstream's memory, including copies of other engines' runs.
    pub tokens: u32,
    /// The upstream's own report, if a recent one is known.
    pub reported: Option<Reported>,
}

/// Load that an upstream reports of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Reported {
    /// Tokens in the upstream's memory that can't be evicted.
    pub tokens: u32,
    /// Requests that run or are queued.
    pub requests: u32,
    /// Running or queued requests that have not generated anything yet.
    pub unread: u32,
}

/// Health and load of one upstream.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct State {
    /// Upstream as the directory lists it.
    #[serde(skip)]
    pub upstream: Arc<Upstream>,
    /// When the directory listed this incarnation at its address.
    pub listed_at: Duration,
    /// Requests of this entry VM in flight at the upstream.
    pub in_flight: u32,
    /// Tokens that this entry VM's requests hold there, or will hold.
    pub held_tokens: u32,
    /// Tokens that copies of this entry VM's runs on other engines hold there, or will hold.
    pub copied_tokens: u32,
    /// Time at which the prompts that this entry VM placed are read.
    pub prefill_until: Duration,
    /// Time at which all booked prompts are read, as far as this entry VM knows.
    pub booked_until: Duration,
    /// Bookings that this entry VM accepted as the upstream's registrar: time and tokens.
    booked: Vec<(Duration, u32)>,
    /// When the registrar last answered a booking, and the tokens in memory that it counted.
    corrected: Option<(Duration, u32)>,
    /// Until this time, the upstream is chosen only if no other is available.
    pub suspect_until: Duration,
    /// When the upstream's address last accepted a connection or sent something.
    pub alive_at: Duration,
    /// Latest sign that the upstream's own process ran, not just another one at its address.
    pub proof: Option<Sign>,
    /// The upstream has announced that it takes no new work.
    departing: bool,
    /// Until this time, the upstream accepts no requests from this entry VM.
    closed_until: Duration,
    /// Limit that the upstream states for all entry VMs together.
    pub limit: Limit,
    /// When the upstream was found unreachable; none once it has given a sign of life.
    lost_at: Option<Duration>,
    /// Last report, when it arrived, and the tokens that this entry VM held there at that time.
    reported: Option<(Reported, Duration, u32)>,
    /// Load that each other entry VM has placed there, and when its message arrived.
    others: BTreeMap<String, (Load, Duration)>,
    /// Broken connections in a row.
    failures: u32,
    /// Moving average of the share of failed requests, as of `judged_at`.
    failure_rate: f64,
    /// When the failure rate was last updated.
    judged_at: Duration,
}

impl State {
    /// State of an upstream of which nothing is known but its listing at `listed_at`.
    pub fn new(listed_at: Duration, upstream: Arc<Upstream>) -> Self {
        Self {
            upstream,
            listed_at,
            in_flight: 0,
            held_tokens: 0,
            copied_tokens: 0,
            prefill_until: Duration::ZERO,
            booked_until: Duration::ZERO,
            booked: Vec::new(),
            corrected: None,
            suspect_until: Duration::ZERO,
            alive_at: Duration::ZERO,
            proof: None,
            departing: false,
            closed_until: Duration::ZERO,
            limit: Limit::default(),
            lost_at: None,
            reported: None,
            others: BTreeMap::new(),
            failures: 0,
            failure_rate: 0.0,
            judged_at: Duration::ZERO,
        }
    }

    /// Whether the upstream failed recently or is lost.
    pub fn is_suspect(&self, now: Duration) -> bool {
        now < self.suspect_until || self.is_lost(now)
    }

    /// Whether the upstream takes no new work, according to the directory or its own announcement.
    pub fn is_leaving(&self) -> bool {
        self.upstream.leaving || self.departing
    }

    /// Whether the upstream has announced that it leaves, here or to a peer, and the directory
    /// doesn't list it as leaving yet.
    pub fn is_departing_unlisted(&self) -> bool {
        self.departing && !self.upstream.leaving
    }

    /// Records that the upstream takes no new work; returns whether this was unknown.
    pub fn record_departure(&mut self) -> bool {
        !std::mem::replace(&mut self.departing, true)
    }

    /// Whether the upstream currently accepts no requests from this entry VM.
    pub fn is_closed(&self, now: Duration) -> bool {
        now < self.closed_until
    }

    /// Time until the upstream may be sent requests again.
    pub fn closed_for(&self, now: Duration) -> Duration {
        self.closed_until.saturating_sub(now)
    }

    /// Records that the upstream accepts no requests from this entry VM before `until`.
    pub fn close(&mut self, until: Duration) {
        self.closed_until = self.closed_until.max(until);
    }

    /// Whether this entry VM may send the upstream a request now.
    pub fn is_open(&self, now: Duration) -> bool {
        !self.is_closed(now) && self.limit.may_send(now)
    }

    /// Time until this entry VM may send the upstream a request.
    pub fn opens_in(&self, now: Duration) -> Duration {
        self.closed_for(now).max(self.limit.wait(now))
    }

    /// Whether the upstream was found unreachable within the last `LOST_DURATION`.
    pub fn is_lost(&self, now: Duration) -> bool {
        self.lost_within(now, LOST_DURATION)
    }

    /// Whether the upstream was found unreachable within the last `age`.
    pub fn lost_within(&self, now: Duration, age: Duration) -> bool {
        self.lost_at.is_some_and(|lost_at| now < lost_at + age)
    }

    /// Whether the upstream was found unreachable and has given no sign of life since. Another
    /// process may have its address by now, and a copy sent there would go to that one unnoticed.
    pub fn is_unproven(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Records that the upstream is unreachable; returns whether it didn't count as lost before.
    pub fn mark_lost(&mut self, now: Duration) -> bool {
        let is_new = !self.is_lost(now);
        self.lost_at = Some(now);
        is_new
    }

    /// Whether an entry is that of the same process at the same address.
    pub fn is_same_process(&self, entry: &Upstream) -> bool {
        let Upstream { incarnation, address, .. } = &*self.upstream;
        entry.incarnation == *incarnation && entry.address == *address
    }

    /// Whether `incarnation` may be the listed one; 0 stands for unknown.
    pub fn matches_incarnation(&self, incarnation: u64) -> bool {
        let listed = self.upstream.incarnation;
        incarnation == 0 || listed == 0 || incarnation == listed
    }

    /// Records that some process accepts connections at the upstream's address. This ends a
    /// suspicion, but not a loss, as the process may be another one.
    pub fn record_reachable(&mut self, now: Duration) {
        self.alive_at = now;
        if self.lost_at.is_none() {
            self.suspect_until = Duration::ZERO;
        }
    }

    /// Records a sign of the upstream's own process. It ends a suspicion, and a loss that was found
    /// before the question was sent.
    pub fn record_proof(&mut self, now: Duration, sign: Sign) {
        if self.proof.is_none_or(|proof| proof.asked_at < sign.asked_at) {
            self.proof = Some(sign);
        }
        self.lost_at = self.lost_at.filter(|lost_at| sign.asked_at < *lost_at);
        self.record_reachable(now);
    }

    /// Moving average of the share of failed requests, from 0 to 1; decays with time.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.judged_at).as_secs_f64();
        self.failure_rate * (-age_s / FAILURE_DECAY.as_secs_f64()).exp()
    }

    /// Records an answered request.
    pub fn record_success(&mut self, now: Duration, sign: Sign) {
        self.failures = 0;
        self.record_proof(now, sign);
        self.update_failure_rate(now, 0.0);
    }

    /// Records a broken connection and avoids the upstream, for longer with each failure in a row.
    pub fn record_disconnect(&mut self, now: Duration) {
        let suspicion = FIRST_SUSPICION * 2u32.pow(self.failures.min(8));
        self.failures += 1;
        self.suspect_until = now + suspicion.min(MAX_SUSPICION);
        self.update_failure_rate(now, 1.0);
    }

    /// Records that a peer reported the upstream as lost, and avoids it for a while.
    pub fn record_peer_unreachable(&mut self, now: Duration) {
        self.suspect_until = self.suspect_until.max(now + PEER_SUSPICION);
    }

    /// Records a failed request of an upstream that is still reachable.
    pub fn record_failure(&mut self, now: Duration) {
        self.update_failure_rate(now, 1.0);
    }

    fn update_failure_rate(&mut self, now: Duration, outcome: f64) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_GAIN * (outcome - rate);
        self.judged_at = now;
    }

    /// Time until the upstream has read all prompts placed on it: the longest of the sum over entry
    /// VMs, the estimate from its report, and the bookings. Engines read one prompt after the
    /// other.
    pub fn backlog(&self, now: Duration, speed: Speed) -> Duration {
        let others = self
            .others
            .values()
            .map(|(load, at)| load.backlog.saturating_sub(now.saturating_sub(*at)));
        let placed = self.own_backlog(now) + others.sum::<Duration>();
        let reported = self.reported.map_or(Duration::ZERO, |(reported, at, _)| {
            (speed.unread_prefill() * reported.unread).saturating_sub(now.saturating_sub(at))
        });
        placed.max(reported).max(self.booked_until.saturating_sub(now))
    }

    /// Appends a prompt to the bookings; called at the upstream's registrar.
    pub fn book(&mut self, now: Duration, prefill: Duration, tokens: u32) {
        self.booked_until = self.booked_until.max(now) + prefill;
        self.booked.retain(|(at, _)| now < *at + BOOKING_LIFETIME);
        self.booked.push((now, tokens));
    }

    /// Applies the backlog and memory (in tokens) that the upstream's registrar has counted.
    pub fn apply_correction(&mut self, now: Duration, backlog: Duration, memory: u32) {
        self.booked_until = self.booked_until.max(now + backlog);
        self.corrected = Some((now, memory));
    }

    /// Recently booked tokens, which the upstream's report may not include yet.
    fn booked_tokens(&self, now: Duration) -> u32 {
        let recent = self.booked.iter().filter(|(at, _)| now < *at + BOOKING_LIFETIME);
        recent.map(|(_, tokens)| tokens).sum()
    }

    /// Time until the prompts that this entry VM placed are read.
    pub fn own_backlog(&self, now: Duration) -> Duration {
        self.prefill_until.saturating_sub(now)
    }

    /// Requests of all entry VMs at the upstream.
    pub fn total_in_flight(&self, now: Duration) -> u32 {
        let others = self.others.values().map(|(load, _)| load.in_flight).sum::<u32>();
        let reported = self.reported.filter(|(_, at, _)| now < *at + MAX_REPORT_AGE);
        let reported = reported.map_or(0, |(reported, ..)| reported.requests);
        (self.in_flight + others).max(reported)
    }

    /// Tokens that the upstream's memory holds or will hold: the largest of the sum over entry VMs,
    /// the last report plus what was placed or booked since, and the registrar's count.
    pub fn memory(&self, now: Duration) -> u32 {
        let others = self.others.values().map(|(load, _)| load.tokens).sum::<u32>();
        let placed = self.own_memory() + others;
        let reported = self.reported.filter(|(_, at, _)| now < *at + MAX_REPORT_AGE);
        let by_report = reported.map_or(0, |(reported, _, held)| {
            reported.tokens + self.own_memory().saturating_sub(held).max(self.booked_tokens(now))
        });
        let corrected = self.corrected.filter(|(at, _)| now < *at + BOOKING_LIFETIME);
        placed.max(by_report).max(corrected.map_or(0, |(_, memory)| memory))
    }

    /// Records a report that the process at the upstream's address sent of itself.
    pub fn record_report(&mut self, now: Duration, reported: Reported) {
        self.reported = Some((reported, now, self.own_memory()));
        self.record_reachable(now);
    }

    /// Whether the upstream has a free slot for another request.
    pub fn has_slot(&self, now: Duration) -> bool {
        self.total_in_flight(now) < self.upstream.slots.max(1)
    }

    /// Whether `tokens` more would keep the memory within `limit` tokens. An empty engine takes any
    /// run.
    pub fn has_room(&self, now: Duration, tokens: u32, limit: f64) -> bool {
        let memory = self.memory(now);
        memory == 0 || f64::from(memory + tokens) <= limit
    }

    /// Age of the upstream's last report.
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        self.reported.map(|(_, at, _)| now.saturating_sub(at))
    }

    /// The upstream's last report, if it is recent enough to send to other entry VMs.
    pub fn fresh_report(&self, now: Duration) -> Option<Reported> {
        let (reported, at, _) = self.reported?;
        (now < at + MAX_SHARED_REPORT_AGE).then_some(reported)
    }

    /// Tokens that the upstream's memory holds or will hold for this entry VM.
    pub fn own_memory(&self) -> u32 {
        self.held_tokens + self.copied_tokens
    }

    /// Records the load that another entry VM has placed on the upstream, and the report in it.
    pub fn record_load(&mut self, now: Duration, member: &str, load: Load) {
        if let Some(reported) = load.reported {
            self.reported = Some((reported, now, self.own_memory()));
        }
        self.others.insert(member.to_owned(), (load, now));
    }

    /// Removes the load of another entry VM.
    pub fn remove_load(&mut self, member: &str) {
        self.others.remove(member);
    }
}
