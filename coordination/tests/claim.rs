//! Explores every interleaving of two claimants, one store and one service to a stated depth.
//!
//! The store may lose answers and apply writes late, the service may lose requests and answers,
//! claimants may crash between any two steps and start again; a budget bounds the faults of a
//! path. Each claimant makes up to two attempts at the same key.

use coordination::claim::{Event, Machine, Owner, OwnerState, Record, Refusal, State, Step};
use std::collections::{BTreeSet, HashSet};

const CLAIMANTS: usize = 2;
const ATTEMPTS: u64 = 2;
const FAULTS: u8 = 3;
/// Reads of a record that another claimant is at work on, in one attempt.
const WAITS: u8 = 1;
/// The search must see this many states at the least, or it explores less than it says.
const MIN_STATES: usize = 50_000;

type Answer = u8;

/// What a caller was told.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Told {
    Answered,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Claiming(Step<Answer>),
    Recording { version: u64, state: State<Answer>, told: Told },
    Finished(Told),
    Crashed,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Claimant {
    name: usize,
    incarnation: u64,
    attempt: u64,
    machine: Machine<Answer>,
    phase: Phase,
    waits: u8,
    abandoned: BTreeSet<u64>,
}

impl Claimant {
    fn new(name: usize, incarnation: u64, attempt: u64) -> Self {
        let owner = Owner { name: name.to_string(), incarnation };
        let nonce = name as u64 * 10 + attempt;
        let mut machine = Machine::new(owner, nonce, "digest".into());
        let phase = Phase::Claiming(machine.start());
        let abandoned = BTreeSet::new();
        Self { name, incarnation, attempt, machine, phase, waits: 0, abandoned }
    }

    fn again(&self, incarnation: u64) -> Self {
        let mut next = Self::new(self.name, incarnation, self.attempt + 1);
        if incarnation == self.incarnation {
            next.abandoned.clone_from(&self.abandoned);
        }
        next
    }

    fn feed(&mut self, event: Event<Answer>) {
        let step = self.machine.advance(event);
        self.enter(step);
    }

    fn enter(&mut self, step: Step<Answer>) {
        self.phase = match step {
            Step::Replay(_) => Phase::Finished(Told::Answered),
            Step::Refuse(refusal) => {
                self.abandoned.insert(self.machine.nonce());
                Phase::Finished(match refusal {
                    Refusal::StoreUnavailable | Refusal::KeyReused => Told::NotRun,
                    Refusal::Unknown => Told::Unknown,
                })
            }
            step => Phase::Claiming(step),
        };
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Write {
    expected: Option<u64>,
    record: Record<Answer>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    record: Option<(u64, Record<Answer>)>,
    version: u64,
    late: Vec<Write>,
    /// Attempts that the service ran, by nonce.
    ran: Vec<u64>,
    faults: u8,
    claimants: Vec<Claimant>,
    /// What each attempt was told, by nonce.
    told: Vec<(u64, Told)>,
}

impl World {
    fn new() -> Self {
        Self {
            record: None,
            version: 0,
            late: Vec::new(),
            ran: Vec::new(),
            faults: FAULTS,
            claimants: (0..CLAIMANTS).map(|name| Claimant::new(name, 1, 0)).collect(),
            told: Vec::new(),
        }
    }

    fn apply(&mut self, write: &Write) -> Option<u64> {
        if self.record.as_ref().map(|(version, _)| *version) != write.expected {
            return None;
        }
        self.version += 1;
        self.record = Some((self.version, write.record.clone()));
        Some(self.version)
    }

    /// All states that can follow.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.late.len() {
            let mut landed = self.clone();
            let write = landed.late.remove(index);
            landed.apply(&write);
            next.push(landed);
        }
        for index in 0..self.claimants.len() {
            next.extend(self.advance(index));
        }
        next.iter_mut().for_each(Self::note_told);
        next
    }

    fn advance(&self, index: usize) -> Vec<Self> {
        let claimant = &self.claimants[index];
        let mut next = match &claimant.phase {
            Phase::Claiming(step) => self.claim(index, step),
            Phase::Recording { version, state, told } => self.record(index, *version, state, *told),
            Phase::Finished(_) | Phase::Crashed => return self.start_again(index),
        };
        next.extend(self.with_fault(|world| world.claimants[index].phase = Phase::Crashed));
        next
    }

    fn claim(&self, index: usize, step: &Step<Answer>) -> Vec<Self> {
        match step {
            Step::Create(record) => {
                self.write(index, &Write { expected: None, record: record.clone() })
            }
            Step::Replace(version, record) => {
                self.write(index, &Write { expected: Some(*version), record: record.clone() })
            }
            Step::Read => {
                let found = match &self.record {
                    Some((version, record)) => Event::Found(*version, record.clone()),
                    None => Event::Absent,
                };
                let mut next = vec![self.fed(index, found)];
                next.extend(self.faulty(index, Event::Unreachable));
                next
            }
            Step::AskOwner(owner, nonce) => {
                let mut next =
                    vec![self.fed(index, Event::OwnerAnswered(self.owner_state(owner, *nonce)))];
                next.extend(self.faulty(index, Event::OwnerAnswered(OwnerState::Silent)));
                next
            }
            Step::Wait => self.wait(index),
            Step::Send(version) => self.send(index, *version),
            Step::Replay(_) | Step::Refuse(_) => Vec::new(),
        }
    }

    fn write(&self, index: usize, write: &Write) -> Vec<Self> {
        let mut done = self.clone();
        let event = done.apply(write).map_or(Event::Conflict, Event::Written);
        let mut next = vec![done.fed(index, event)];
        next.extend(done.faulty(index, Event::Lost));
        let mut late = self.clone();
        late.late.push(write.clone());
        next.extend(late.faulty(index, Event::Lost));
        next.extend(self.faulty(index, Event::Unreachable));
        next
    }

    fn owner_state(&self, owner: &Owner, nonce: u64) -> OwnerState {
        let asked = &self.claimants[owner.name.parse::<usize>().unwrap()];
        match asked.phase {
            Phase::Crashed => OwnerState::Silent,
            _ if asked.incarnation != owner.incarnation => OwnerState::Gone,
            _ if asked.abandoned.contains(&nonce) => OwnerState::Abandoned,
            _ => OwnerState::Running,
        }
    }

    fn wait(&self, index: usize) -> Vec<Self> {
        let mut next = self.clone();
        let claimant = &mut next.claimants[index];
        if claimant.waits == WAITS {
            // The caller's deadline passes.
            claimant.enter(Step::Refuse(Refusal::Unknown));
        } else {
            claimant.waits += 1;
            let step = claimant.machine.resume();
            claimant.enter(step);
        }
        vec![next]
    }

    fn send(&self, index: usize, version: u64) -> Vec<Self> {
        let with = |ran: bool, state: State<Answer>, told: Told| {
            let mut next = self.clone();
            let claimant = &mut next.claimants[index];
            next.ran.extend(ran.then(|| claimant.machine.nonce()));
            if told == Told::NotRun {
                claimant.abandoned.insert(claimant.machine.nonce());
            }
            claimant.phase = Phase::Recording { version, state, told };
            next
        };
        let mut next = vec![with(true, State::Done(1), Told::Answered)];
        if self.faults > 0 {
            let silent = [true, false].map(|ran| with(ran, State::Unknown, Told::Unknown));
            let refused = with(false, State::Aborted, Told::NotRun);
            next.extend(silent.into_iter().chain([refused]).map(Self::spend));
        }
        next
    }

    /// Records an outcome; the answer may be given although the store does not take it.
    fn record(&self, index: usize, version: u64, state: &State<Answer>, told: Told) -> Vec<Self> {
        let record = self.claimants[index].machine.outcome(state.clone());
        let mut done = self.clone();
        done.apply(&Write { expected: Some(version), record });
        done.claimants[index].phase = Phase::Finished(told);
        let mut next = vec![done];
        next.extend(self.with_fault(|world| world.claimants[index].phase = Phase::Finished(told)));
        next
    }

    fn start_again(&self, index: usize) -> Vec<Self> {
        let claimant = &self.claimants[index];
        if claimant.attempt + 1 == ATTEMPTS {
            return Vec::new();
        }
        let crashed = claimant.phase == Phase::Crashed;
        let mut next = self.clone();
        next.claimants[index] = claimant.again(claimant.incarnation + u64::from(crashed));
        vec![next]
    }

    fn fed(&self, index: usize, event: Event<Answer>) -> Self {
        let mut next = self.clone();
        next.claimants[index].feed(event);
        next
    }

    fn faulty(&self, index: usize, event: Event<Answer>) -> Option<Self> {
        (self.faults > 0).then(|| self.fed(index, event).spend())
    }

    fn with_fault(&self, change: impl FnOnce(&mut Self)) -> Option<Self> {
        if self.faults == 0 {
            return None;
        }
        let mut next = self.clone();
        change(&mut next);
        Some(next.spend())
    }

    fn spend(mut self) -> Self {
        self.faults -= 1;
        self
    }

    fn note_told(&mut self) {
        for claimant in &self.claimants {
            let nonce = claimant.machine.nonce();
            if let Phase::Finished(told) = claimant.phase
                && !self.told.contains(&(nonce, told))
            {
                self.told.push((nonce, told));
            }
        }
        self.told.sort_by_key(|(nonce, _)| *nonce);
    }

    fn check(&self) {
        assert!(self.ran.len() <= 1, "the action ran twice: {self:#?}");
        let denied = |nonce: &u64| self.told.contains(&(*nonce, Told::NotRun));
        assert!(!self.ran.iter().any(denied), "an attempt that ran was denied: {self:#?}");
        if self.claimants.iter().all(|claimant| matches!(claimant.phase, Phase::Finished(_))) {
            self.check_end();
        }
    }

    /// When all attempts have ended and their owners live, the key can still be used: a further
    /// attempt without faults sends, replays, or says unknown where someone was told so.
    fn check_end(&self) {
        let all_denied = self.told.iter().all(|(_, told)| *told == Told::NotRun);
        let crashed = self.claimants.iter().any(|claimant| claimant.incarnation > 1);
        if !all_denied || crashed {
            return;
        }
        assert!(self.ran.is_empty(), "all were denied and it ran: {self:#?}");
        let mut world = Self { faults: 0, ..self.clone() };
        world.claimants.push(Claimant::new(CLAIMANTS, 1, 0));
        while let Phase::Claiming(step) = world.claimants[CLAIMANTS].phase.clone() {
            if matches!(step, Step::Send(_)) {
                return;
            }
            world = world.claim(CLAIMANTS, &step).remove(0);
        }
        panic!("the key is stuck: {world:#?}");
    }
}

#[test]
fn no_interleaving_runs_an_action_twice_or_denies_one_that_ran() {
    let mut seen = HashSet::new();
    let mut open = vec![World::new()];
    while let Some(world) = open.pop() {
        if !seen.insert(world.clone()) {
            continue;
        }
        world.check();
        open.extend(world.successors());
    }

    println!("{} states", seen.len());
    assert!(seen.len() >= MIN_STATES, "only {} states", seen.len());
}
