//! Every order of what may happen to a generation, to a depth: never two runs at work, every piece
//! admitted once and in order, and each loss answered.

use coordination::detector::Bounds;
use coordination::wait_policy::WaitPolicy;
use quetzaltiller::engine::Error;
use quetzaltiller::generation::{
    Answer as _, Effect, Input, Machine, Opening, Outcome, Piece, Place, Probe, Sequence, Settings,
    Start,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// Inputs in a row; what can happen first is little, so this depth gives more than 100,000 orders.
const DEPTH: usize = 9;
/// Time that passes with each input.
const STEP: Duration = Duration::from_millis(90);

fn settings() -> Settings {
    Settings {
        wait_policy: WaitPolicy { weight: 0.25, max: Duration::from_millis(2_500) },
        prefill_tokens_per_s: 8_000.0,
        prompt_tokens: 8_000,
        open_timeout: Duration::from_millis(2_500),
        deadline: Duration::from_secs(25),
        silence: Bounds { min: Duration::from_millis(120), max: Duration::from_millis(300) },
        probe: Probe::Connect,
        pause: Some(Duration::from_millis(700)),
        resumable: true,
    }
}

/// What may happen.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An engine is found, where one is sought; one with the copy, if there is one.
    Placed,
    /// The connection of the newest run answers.
    Opened,
    /// Its next piece.
    Next,
    /// A piece that came before.
    Again,
    /// A piece after the next.
    Ahead,
    /// It breaks.
    Broken,
    /// It was refused: no copy, or no room.
    Busy,
    /// The newest check succeeds.
    Alive,
    /// The holder of the copy is gone.
    Gone,
    /// Time passes up to when the machine asks to be woken.
    Wake,
}

const EVENTS: [Event; 10] = [
    Event::Placed,
    Event::Opened,
    Event::Next,
    Event::Again,
    Event::Ahead,
    Event::Broken,
    Event::Busy,
    Event::Alive,
    Event::Gone,
    Event::Wake,
];

/// A generation and what an outside observer knows of it.
struct World {
    machine: Machine<Sequence>,
    now: Duration,
    seeks: bool,
    copy: Option<String>,
    placed: u32,
    /// Connections of runs and of checks that were opened and not closed.
    runs: BTreeSet<u32>,
    checks: BTreeSet<u32>,
    admitted: u32,
    finished: Option<Outcome>,
}

impl World {
    fn new() -> Self {
        let (machine, effects) =
            Machine::new(Duration::ZERO, Sequence::new(Some(0)), settings(), Start::Fresh);
        let mut world = Self {
            machine,
            now: Duration::ZERO,
            seeks: false,
            copy: None,
            placed: 0,
            runs: BTreeSet::new(),
            checks: BTreeSet::new(),
            admitted: 0,
            finished: None,
        };
        world.perform(effects);
        world
    }

    /// Lets something happen; false where it can't now.
    fn take(&mut self, event: Event) -> bool {
        let run = self.runs.last().copied();
        let check = self.checks.last().copied();
        let next = self.machine.splice().next();
        let input = match (event, run, check) {
            (Event::Placed, ..) if self.seeks => Input::Placed(self.place()),
            (Event::Opened, Some(run), _) => Input::Opened(run),
            (Event::Next, Some(run), _) => Input::Chunk(run, Piece::Numbered(next)),
            (Event::Again, Some(run), _) if next > 0 => {
                Input::Chunk(run, Piece::Numbered(next - 1))
            }
            (Event::Ahead, Some(run), _) => Input::Chunk(run, Piece::Numbered(next + 1)),
            (Event::Broken, Some(run), _) => Input::Failed(run, Error::Reset),
            (Event::Busy, Some(run), _) => Input::Failed(run, Error::Busy),
            (Event::Alive, _, Some(check)) => Input::Opened(check),
            (Event::Gone, ..) => match self.machine.copy() {
                Some(copy) => Input::EngineLost(copy.to_owned()),
                None => return false,
            },
            (Event::Wake, ..) => {
                let Some(at) = self.machine.wake_at() else {
                    return false;
                };
                self.now = self.now.max(at);
                Input::Tick
            }
            _ => return false,
        };
        self.now += STEP;
        let before = self.machine.splice().next();
        let effects = self.machine.advance(self.now, input);
        let after = self.machine.splice().next();
        assert!(after == before || after == before + 1, "{before} to {after}");
        assert!(after == before || matches!(event, Event::Next), "{event:?} admitted a piece");
        self.admitted += after - before;
        self.perform(effects);
        true
    }

    fn place(&mut self) -> Place {
        self.seeks = false;
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
                    assert!(self.runs.is_empty(), "a run is sought while {:?} is open", self.runs);
                    self.seeks = true;
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
        let acts = self.seeks || !self.runs.is_empty() || !self.checks.is_empty();
        assert!(acts || self.finished.is_some(), "nothing is sought, open or asked");
        assert_eq!(self.admitted, self.machine.splice().next());
    }
}

fn search(path: &mut Vec<Event>, orders: &mut u64) {
    for event in EVENTS {
        let mut world = World::new();
        path.iter().for_each(|past| assert!(world.take(*past)));
        if world.finished.is_some() || !world.take(event) {
            continue;
        }
        *orders += 1;
        if path.len() + 1 < DEPTH {
            path.push(event);
            search(path, orders);
            path.pop();
        }
    }
}

#[test]
fn runs_are_never_two_at_work_and_never_mixed() {
    let mut orders = 0;

    // A panic inside names the broken promise; the order is in the backtrace's arguments.
    search(&mut Vec::new(), &mut orders);

    assert!(orders > 100_000, "{orders} orders were searched");
}
