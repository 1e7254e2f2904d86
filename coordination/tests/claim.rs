//! Explores every interleaving of two claimants, one store and one service up to a number of
//! faults.
//!
//! The store may lose answers and delay writes, the service may lose requests and answers, and
//! claimants may crash between any two steps and restart. [`MAX_FAULTS`] limits the faults on a
//! path. Each claimant makes up to two attempts with the same key.

use coordination::claim::{Event, Machine, Owner, OwnerState, Record, Refusal, State, Step};
use std::collections::{BTreeSet, HashSet};

const CLAIMANTS: usize = 2;
const ATTEMPTS: u64 = 2;
const MAX_FAULTS: u8 = 3;
/// Maximum number of pauses in one attempt while another claimant is running the action.
const MAX_WAITS: u8 = 1;
/// Minimum number of states that the search must visit; fewer mean that interleavings are missing.
const MIN_STATES: usize = 50_000;

type Answer = u8;

/// Result that an attempt returned to its caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum CallerResult {
    Answered,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Claiming(Step<Answer>),
    Recording { version: u64, state: State<Answer>, result: CallerResult },
    Finished(CallerResult),
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

    fn next_attempt(&self, incarnation: u64) -> Self {
        let mut next = Self::new(self.name, incarnation, self.attempt + 1);
        if incarnation == self.incarnation {
            next.abandoned.clone_from(&self.abandoned);
        }
        next
    }

    fn handle_event(&mut self, event: Event<Answer>) {
        let step = self.machine.advance(event);
        self.handle_step(step);
    }

    fn handle_step(&mut self, step: Step<Answer>) {
        self.phase = match step {
            Step::Replay(_) => Phase::Finished(CallerResult::Answered),
            Step::Refuse(refusal) => {
                self.abandoned.insert(self.machine.nonce());
                Phase::Finished(match refusal {
                    Refusal::StoreUnavailable | Refusal::KeyReused => CallerResult::NotRun,
                    Refusal::Unknown => CallerResult::Unknown,
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
    delayed: Vec<Write>,
    /// Nonces of the attempts that the service ran.
    ran: Vec<u64>,
    faults: u8,
    claimants: Vec<Claimant>,
    /// Result of each finished attempt, by nonce.
    results: Vec<(u64, CallerResult)>,
}

impl World {
    fn new() -> Self {
        Self {
            record: None,
            version: 0,
            delayed: Vec::new(),
            ran: Vec::new(),
            faults: MAX_FAULTS,
            claimants: (0..CLAIMANTS).map(|name| Claimant::new(name, 1, 0)).collect(),
            results: Vec::new(),
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

    /// All states that can follow this one.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.delayed.len() {
            let mut landed = self.clone();
            let write = landed.delayed.remove(index);
            landed.apply(&write);
            next.push(landed);
        }
        for index in 0..self.claimants.len() {
            next.extend(self.advance(index));
        }
        next.iter_mut().for_each(Self::record_results);
        next
    }

    fn advance(&self, index: usize) -> Vec<Self> {
        let claimant = &self.claimants[index];
        let mut next = match &claimant.phase {
            Phase::Claiming(step) => self.claim(index, step),
            Phase::Recording { version, state, result } => {
                self.record(index, *version, state, *result)
            }
            Phase::Finished(_) | Phase::Crashed => return self.start_next_attempt(index),
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
                let mut next = vec![self.after_event(index, found)];
                next.extend(self.after_faulty_event(index, Event::Unreachable));
                next
            }
            Step::AskOwner(owner, nonce) => {
                let mut next = vec![
                    self.after_event(index, Event::OwnerAnswered(self.owner_state(owner, *nonce))),
                ];
                next.extend(
                    self.after_faulty_event(index, Event::OwnerAnswered(OwnerState::Silent)),
                );
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
        let mut next = vec![done.after_event(index, event)];
        next.extend(done.after_faulty_event(index, Event::Lost));
        let mut delayed = self.clone();
        delayed.delayed.push(write.clone());
        next.extend(delayed.after_faulty_event(index, Event::Lost));
        next.extend(self.after_faulty_event(index, Event::Unreachable));
        next
    }

    fn owner_state(&self, owner: &Owner, nonce: u64) -> OwnerState {
        let holder = &self.claimants[owner.name.parse::<usize>().unwrap()];
        match holder.phase {
            Phase::Crashed => OwnerState::Silent,
            _ if holder.incarnation != owner.incarnation => OwnerState::Gone,
            _ if holder.abandoned.contains(&nonce) => OwnerState::Abandoned,
            _ => OwnerState::Running,
        }
    }

    fn wait(&self, index: usize) -> Vec<Self> {
        let mut next = self.clone();
        let claimant = &mut next.claimants[index];
        if claimant.waits == MAX_WAITS {
            // The caller's deadline has passed.
            claimant.handle_step(Step::Refuse(Refusal::Unknown));
        } else {
            claimant.waits += 1;
            let step = claimant.machine.resume();
            claimant.handle_step(step);
        }
        vec![next]
    }

    fn send(&self, index: usize, version: u64) -> Vec<Self> {
        let with = |ran: bool, state: State<Answer>, result: CallerResult| {
            let mut next = self.clone();
            let claimant = &mut next.claimants[index];
            next.ran.extend(ran.then(|| claimant.machine.nonce()));
            if result == CallerResult::NotRun {
                claimant.abandoned.insert(claimant.machine.nonce());
            }
            claimant.phase = Phase::Recording { version, state, result };
            next
        };
        let mut next = vec![with(true, State::Done(1), CallerResult::Answered)];
        if self.faults > 0 {
            let silent = [true, false].map(|ran| with(ran, State::Unknown, CallerResult::Unknown));
            let refused = with(false, State::Aborted, CallerResult::NotRun);
            next.extend(silent.into_iter().chain([refused]).map(Self::with_fault_used));
        }
        next
    }

    /// Records an outcome. The caller may get its result even if the store rejects or loses the
    /// record.
    fn record(
        &self,
        index: usize,
        version: u64,
        state: &State<Answer>,
        result: CallerResult,
    ) -> Vec<Self> {
        let record = self.claimants[index].machine.outcome(state.clone());
        let mut done = self.clone();
        done.apply(&Write { expected: Some(version), record });
        done.claimants[index].phase = Phase::Finished(result);
        let mut next = vec![done];
        next.extend(
            self.with_fault(|world| world.claimants[index].phase = Phase::Finished(result)),
        );
        next
    }

    fn start_next_attempt(&self, index: usize) -> Vec<Self> {
        let claimant = &self.claimants[index];
        if claimant.attempt + 1 == ATTEMPTS {
            return Vec::new();
        }
        let crashed = claimant.phase == Phase::Crashed;
        let mut next = self.clone();
        next.claimants[index] = claimant.next_attempt(claimant.incarnation + u64::from(crashed));
        vec![next]
    }

    fn after_event(&self, index: usize, event: Event<Answer>) -> Self {
        let mut next = self.clone();
        next.claimants[index].handle_event(event);
        next
    }

    fn after_faulty_event(&self, index: usize, event: Event<Answer>) -> Option<Self> {
        (self.faults > 0).then(|| self.after_event(index, event).with_fault_used())
    }

    fn with_fault(&self, change: impl FnOnce(&mut Self)) -> Option<Self> {
        if self.faults == 0 {
            return None;
        }
        let mut next = self.clone();
        change(&mut next);
        Some(next.with_fault_used())
    }

    fn with_fault_used(mut self) -> Self {
        self.faults -= 1;
        self
    }

    fn record_results(&mut self) {
        for claimant in &self.claimants {
            let nonce = claimant.machine.nonce();
            if let Phase::Finished(result) = claimant.phase
                && !self.results.contains(&(nonce, result))
            {
                self.results.push((nonce, result));
            }
        }
        self.results.sort_by_key(|(nonce, _)| *nonce);
    }

    fn check(&self) {
        assert!(self.ran.len() <= 1, "the action ran twice: {self:#?}");
        let reported_not_run = |nonce: &u64| self.results.contains(&(*nonce, CallerResult::NotRun));
        assert!(
            !self.ran.iter().any(reported_not_run),
            "an attempt that ran was reported as not run: {self:#?}"
        );
        if self.claimants.iter().all(|claimant| matches!(claimant.phase, Phase::Finished(_))) {
            self.check_key_usable();
        }
    }

    /// Checks that a key stays usable if all attempts were reported as not run and no owner
    /// crashed: a further attempt without faults sends the action.
    fn check_key_usable(&self) {
        let all_reported_not_run =
            self.results.iter().all(|(_, result)| *result == CallerResult::NotRun);
        let crashed = self.claimants.iter().any(|claimant| claimant.incarnation > 1);
        if !all_reported_not_run || crashed {
            return;
        }
        assert!(
            self.ran.is_empty(),
            "all attempts were reported as not run, but the action ran: {self:#?}"
        );
        let mut world = Self { faults: 0, ..self.clone() };
        world.claimants.push(Claimant::new(CLAIMANTS, 1, 0));
        while let Phase::Claiming(step) = world.claimants[CLAIMANTS].phase.clone() {
            if matches!(step, Step::Send(_)) {
                return;
            }
            world = world.claim(CLAIMANTS, &step).remove(0);
        }
        panic!("the key can no longer be used: {world:#?}");
    }
}

#[test]
fn no_interleaving_runs_an_action_twice_or_reports_one_that_ran_as_not_run() {
    let mut explored = HashSet::new();
    let mut pending = vec![World::new()];
    while let Some(world) = pending.pop() {
        if !explored.insert(world.clone()) {
            continue;
        }
        world.check();
        pending.extend(world.successors());
    }

    println!("{} states", explored.len());
    assert!(explored.len() >= MIN_STATES, "only {} states", explored.len());
}
