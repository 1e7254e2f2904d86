//! Exhaustive search over the orders of inputs to a generation's machine, up to a depth. Checks
//! that there is never more than one open run, that every piece is admitted once and in order, that
//! the machine acts after each loss, and that an answer does not end for lack of another engine while
//! its run is connected or after it has begun.

use coordination::detector::Bounds;
use coordination::wait_policy::WaitPolicy;
use quetzaltiller::engine::Error;
use quetzaltiller::generation::{
    Answer as _, Effect, Input, Machine, Opening, Outcome, Piece, Place, Probe, Sequence, Settings,
    Start,
};
use quetzaltiller::refusal::Code;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of inputs in a row. Few inputs are possible at first; this depth gives more than 100,000
/// orders.
const DEPTH: usize = 9;
/// Longest time for which an answer that has begun requests no engine.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Time that passes before each input.
const STEP: Duration = Duration::from_millis(90);

fn settings(resumable: bool) -> Settings {
    Settings {
        wait_policy: WaitPolicy { weight: 0.25, max: Duration::from_millis(2_500) },
        prefill_tokens_per_s: 8_000.0,
        prompt_tokens: 8_000,
        open_timeout: Duration::from_millis(2_500),
        deadline: Duration::from_secs(25),
        silence: Bounds { min: Duration::from_millis(120), max: Duration::from_millis(300) },
        probe: Probe::Connect,
        pause: Some(Duration::from_millis(700)),
        resumable,
    }
}

/// Input to the machine, as far as it is possible in its state.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A requested placement succeeds: at the engine with the copy, if there is one.
    Placed,
    /// A requested placement finds no engine.
    Unplaced,
    /// No further run is allowed.
    Exhausted,
    /// The connection of the newest run is accepted.
    Opened,
    /// The newest run sends the next piece.
    Next,
    /// The newest run repeats the last piece.
    Repeated,
    /// The newest run skips a piece.
    Skipped,
    /// The connection of the newest run breaks.
    Broken,
    /// The newest run was refused: the engine has no copy or no free slot.
    Busy,
    /// The newest check succeeds.
    Alive,
    /// The newest check fails.
    Deaf,
    /// The engine that holds the copy is lost.
    CopyLost,
    /// Time passes until the machine is to be woken.
    Woken,
}

const EVENTS: [Event; 13] = [
    Event::Placed,
    Event::Unplaced,
    Event::Exhausted,
    Event::Opened,
    Event::Next,
    Event::Repeated,
    Event::Skipped,
    Event::Broken,
    Event::Busy,
    Event::Alive,
    Event::Deaf,
    Event::CopyLost,
    Event::Woken,
];

/// A generation's machine, and its effects as an observer sees them.
struct Simulation {
    machine: Machine<Sequence>,
    now: Duration,
    awaits_placement: bool,
    copy: Option<String>,
    placed: u32,
    /// Open connections of runs.
    runs: BTreeSet<u32>,
    /// Open connections of checks.
    checks: BTreeSet<u32>,
    admitted: u32,
    finished: Option<Outcome>,
    resumable: bool,
}

impl Simulation {
    fn new(resumable: bool) -> Self {
        let settings = settings(resumable);
        let (machine, effects) =
            Machine::new(Duration::ZERO, Sequence::new(Some(0)), settings, Start::Fresh);
        let mut simulation = Self {
            machine,
            now: Duration::ZERO,
            awaits_placement: false,
            copy: None,
            placed: 0,
            runs: BTreeSet::new(),
            checks: BTreeSet::new(),
            admitted: 0,
            finished: None,
            resumable,
        };
        simulation.perform(effects);
        simulation
    }

    /// Applies an event; false if it is not possible in this state.
    fn apply(&mut self, event: Event) -> bool {
        let run = self.runs.last().copied();
        let check = self.checks.last().copied();
        let next = self.machine.splice().next();
        let input = match (event, run, check) {
            (Event::Placed, ..) if self.awaits_placement => Input::Placed(self.place()),
            (Event::Unplaced, ..) if self.awaits_placement => {
                self.awaits_placement = false;
                Input::Unplaced(Code::NoUpstream)
            }
            (Event::Exhausted, ..) if self.awaits_placement => {
                self.awaits_placement = false;
                Input::Exhausted(Code::NoUpstream)
            }
            (Event::Opened, Some(run), _) => Input::Opened(run),
            (Event::Next, Some(run), _) => Input::Chunk(run, Piece::Numbered(next)),
            (Event::Repeated, Some(run), _) if next > 0 => {
                Input::Chunk(run, Piece::Numbered(next - 1))
            }
            (Event::Skipped, Some(run), _) => Input::Chunk(run, Piece::Numbered(next + 1)),
            (Event::Broken, Some(run), _) => Input::Failed(run, Error::Reset),
            (Event::Busy, Some(run), _) => Input::Failed(run, Error::Busy),
            (Event::Alive, _, Some(check)) => Input::Opened(check),
            (Event::Deaf, _, Some(check)) => Input::Failed(check, Error::Refused),
            (Event::CopyLost, ..) => match self.machine.copy() {
                Some(copy) => Input::EngineLost(copy.to_owned()),
                None => return false,
            },
            (Event::Woken, ..) => {
                let Some(at) = self.machine.wake_at() else {
                    return false;
                };
                self.now = self.now.max(at);
                Input::Tick
            }
            _ => return false,
        };
        self.now += STEP;
        let connected = !self.runs.is_empty();
        let before = self.machine.splice().next();
        let effects = self.machine.advance(self.now, input);
        let after = self.machine.splice().next();
        assert!(after == before || after == before + 1, "{before} to {after}");
        assert!(after == before || matches!(event, Event::Next), "{event:?} admitted a piece");
        self.admitted += after - before;
        self.perform(effects);
        if matches!(event, Event::Exhausted) {
            assert!(!connected || self.finished.is_none(), "the end of attempts ended a run");
        }
        let is_silence = matches!(event, Event::Unplaced | Event::Woken | Event::Deaf);
        if is_silence && self.now < settings(self.resumable).deadline {
            let may_end = !connected && (self.admitted == 0 || !self.resumable);
            assert!(may_end || self.finished.is_none(), "{event:?} ended the answer");
        }
        true
    }

    fn place(&mut self) -> Place {
        self.awaits_placement = false;
        self.placed += 1;
        let has_copy = self.copy.is_some();
        let upstream = self.copy.take().unwrap_or_else(|| format!("engine-{}", self.placed));
        let backup = Some(format!("backup-{}", self.placed));
        Place { upstream, version: String::new(), has_copy, backup }
    }

    fn perform(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Place { copy, .. } => {
                    assert!(!self.awaits_placement, "two runs are sought");
                    self.awaits_placement = true;
                    self.copy = copy;
                }
                Effect::Open { conn, opening: Opening::Submit | Opening::Restore, .. } => {
                    assert!(self.runs.is_empty(), "{conn} beside {:?}", self.runs);
                    self.runs.insert(conn);
                }
                Effect::Open { conn, .. } => {
                    self.checks.insert(conn);
                }
                Effect::Close(conn) => {
                    self.runs.remove(&conn);
                    self.checks.remove(&conn);
                }
                Effect::Finish(outcome) => self.finished = Some(outcome),
                Effect::Copy | Effect::Cancel { .. } => {}
            }
        }
        let is_active = self.awaits_placement || !self.runs.is_empty() || !self.checks.is_empty();
        let soon = self.now + LONGEST_RETRY_PAUSE;
        let retries = self.admitted > 0 && self.machine.wake_at().is_some_and(|at| at <= soon);
        assert!(
            is_active || retries || self.finished.is_some(),
            "nothing is sought, open or asked"
        );
        assert_eq!(self.admitted, self.machine.splice().next());
    }
}

fn search(resumable: bool, path: &mut Vec<Event>, orders: &mut u64) {
    for event in EVENTS {
        let mut simulation = Simulation::new(resumable);
        path.iter().for_each(|past| assert!(simulation.apply(*past)));
        if simulation.finished.is_some() || !simulation.apply(event) {
            continue;
        }
        *orders += 1;
        if path.len() + 1 < DEPTH {
            path.push(event);
            search(resumable, path, orders);
            path.pop();
        }
    }
}

#[rstest]
#[case::resumable(true, 100_000)]
#[case::not_resumable(false, 10_000)]
fn a_generation_never_has_two_open_runs_or_mixed_pieces(
    #[case] resumable: bool,
    #[case] least: u64,
) {
    let mut orders = 0;

    // A panic names the violated property; the order is in the backtrace's arguments.
    search(resumable, &mut Vec::new(), &mut orders);

    assert!(orders > least, "{orders} orders were searched");
}
