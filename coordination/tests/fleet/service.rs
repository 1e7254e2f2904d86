//! Requests of a plain service beside the engines, some of which crash each replica that runs them.

use super::{BAD_FROM_MS, Cause, Event, Fleet, Run};
use coordination::quarantine::Subject;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;

/// Requests that crash each upstream which begins to run them.
pub const DEADLY: [Subject; 2] = [Subject::Request(666), Subject::Request(667)];
/// Sound lookup that comes at all VMs all the time.
const POPULAR: Subject = Subject::Request(500);
/// Digests of the requests that are sent by one caller each.
const FIRST_UNIQUE: u64 = 10_000;
/// Other requests that a replica runs when it crashes.
const BESIDE: usize = 6;
/// Time in which a VM finds that a replica has ended.
pub const CHECK_MS: std::ops::Range<u64> = 5..100;
/// Time from the end of a replica to its next start.
const RETURN_MS: std::ops::Range<u64> = 2_900..3_300;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// One attempt.
    Order,
    /// Two attempts, the second soon after the first.
    Lookup,
    /// Several attempts at engines, one after the other.
    Draft,
}

/// Number of replicas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Size {
    Three,
    TwoEach,
}

/// Requests that come to a plain service and to engines.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    pub size: Size,
    /// Kind of the deadly requests, their number and how often each comes a second.
    pub kind: Kind,
    pub deadly: usize,
    pub rate: f64,
}

impl Service {
    /// Replicas beside `vms` entry VMs.
    pub fn replicas(&self, vms: usize) -> usize {
        match self.size {
            Size::Three => 3,
            Size::TwoEach => 2 * vms,
        }
    }
}

/// A request of one caller.
#[derive(Clone, Debug)]
pub struct Request {
    pub subject: Subject,
    pub kind: Kind,
    vm: usize,
    vm_start: u32,
    tried: BTreeSet<usize>,
    unbroken: usize,
    is_answered: bool,
    /// Times that its caller sends it again.
    retries: u32,
}

/// Whether a request crashes what runs it.
pub fn is_deadly(subject: &Subject) -> bool {
    DEADLY.contains(subject)
}

impl Fleet {
    pub fn schedule_service(&mut self) {
        let Some(service) = self.plan.service else { return };
        self.push(0, Event::Popular);
        for request in 0..service.deadly {
            let at = BAD_FROM_MS + self.random.random_range(0..500);
            self.push(at, Event::Deadly(request));
        }
    }

    pub fn unique(&mut self) -> Subject {
        self.uniques += 1;
        Subject::Request(FIRST_UNIQUE + self.uniques)
    }

    pub fn receive_popular(&mut self) {
        let rate = if self.plan.vms < 10 { 10 } else { 3 };
        self.after(0..2_000 / (rate * self.plan.vms as u64), Event::Popular);
        self.receive_request(Kind::Lookup, POPULAR, 2);
    }

    pub fn receive_deadly(&mut self, request: usize) {
        let service = self.plan.service.unwrap();
        let interval = 1_000.0 / service.rate;
        self.after((interval * 0.5) as u64..(interval * 1.5) as u64, Event::Deadly(request));
        match service.kind {
            Kind::Order => self.receive_request(Kind::Order, DEADLY[request], 0),
            Kind::Lookup => self.receive_request(Kind::Lookup, DEADLY[request], 1),
            Kind::Draft => {
                let mut subjects = self.shared_parts();
                subjects.push(DEADLY[request]);
                self.receive(subjects);
            }
        }
    }

    /// A request for the plain service comes at one of the VMs that run.
    fn receive_request(&mut self, kind: Kind, subject: Subject, retries: u32) {
        let Some(vm) = self.any_vm() else { return };
        if self.refuses(vm, subject) {
            return;
        }
        let vm_start = self.vms[vm].start;
        let tried = BTreeSet::new();
        let request = Request {
            subject,
            kind,
            vm,
            vm_start,
            tried,
            unbroken: 0,
            is_answered: false,
            retries,
        };
        self.requests.push(request);
        self.attempt(self.requests.len() - 1);
    }

    fn refuses(&mut self, vm: usize, subject: Subject) -> bool {
        let is_counted = !is_deadly(&subject) && self.is_in_touch(vm);
        let is_refused = self.vms[vm].verdicts.refused(&[subject]).is_some();
        self.outcome.requests += usize::from(is_counted);
        // Without a replica it is lost all the same.
        let is_lost = self.engines[self.first_replica..].iter().all(|replica| !replica.is_up);
        self.outcome.requests_refused += usize::from(is_counted && is_refused && !is_lost);
        is_refused
    }

    /// Sends a request to a replica that it has not been at.
    fn attempt(&mut self, index: usize) {
        let request = &self.requests[index];
        let is_first = request.tried.is_empty();
        let usable =
            |replica: &usize| self.engines[*replica].is_up && !request.tried.contains(replica);
        let usable = (self.first_replica..self.engines.len()).filter(usable).collect::<Vec<_>>();
        let Some(replica) = usable.choose(&mut self.random).copied() else { return };
        let (vm, subject, kind) = (request.vm, request.subject, request.kind);
        self.count_deadly(vm, &[subject]);
        self.requests[index].tried.insert(replica);
        self.requests[index].unbroken += 1;
        let run = self.add_service_run(index, replica);
        self.after(1..6, Event::Begin(run));
        if kind == Kind::Lookup && is_first {
            self.after(20..100, Event::Hedge(index));
        }
    }

    fn add_service_run(&mut self, index: usize, replica: usize) -> usize {
        let request = &self.requests[index];
        self.runs.push(Run {
            parts: vec![request.subject],
            request: Some(index),
            vm: request.vm,
            vm_start: request.vm_start,
            engine: replica,
            engine_start: self.engines[replica].start,
            attempt: 0,
            tried: BTreeSet::new(),
            begun_at: None,
            is_settled: false,
            is_over: false,
        });
        self.runs.len() - 1
    }

    /// Sends a lookup that is not answered to another replica.
    pub fn hedge(&mut self, index: usize) {
        let request = self.requests[index].clone();
        let is_same_vm = self.vms[request.vm].start == request.vm_start;
        if request.is_answered || request.tried.len() >= 2 || !is_same_vm {
            return;
        }
        if !self.vms[request.vm].runs(self.now)
            || !self.vms[request.vm].verdicts.is_repeatable(request.subject)
            || self.refuses(request.vm, request.subject)
        {
            return;
        }
        self.attempt(index);
    }

    pub fn begin_service_run(&mut self, run: usize) {
        if is_deadly(&self.runs[run].parts[0]) {
            let (replica, start) = (self.runs[run].engine, self.runs[run].engine_start);
            self.after(8..20, Event::Crash(replica, start));
        } else {
            self.after(10..60, Event::Finish(run));
        }
    }

    /// A VM has the whole answer of a run.
    pub fn finish(&mut self, index: usize) {
        let run = self.runs[index].clone();
        if run.is_over || !self.is_same_vm(&run) {
            return;
        }
        if let Some(thaw) = self.thaw(run.vm) {
            self.push(thaw, Event::Finish(index));
            return;
        }
        self.runs[index].is_over = true;
        if let Some(request) = run.request {
            self.requests[request].is_answered = true;
        }
        let requests = run.parts.iter().copied().filter(|subject| subject.is_request());
        let requests = requests.collect::<Vec<_>>();
        self.vms[run.vm].record_settled(self.now, &requests);
        self.flush(run.vm, run.vm_start);
    }

    /// Lets requests that nobody else sends run on a replica which crashes.
    pub fn add_victims(&mut self, replica: usize) {
        for _ in 0..BESIDE {
            let Some(vm) = self.any_vm() else { return };
            let kind = if self.random.random_bool(0.5) { Kind::Order } else { Kind::Lookup };
            let subject = self.unique();
            self.requests.push(Request {
                subject,
                kind,
                vm,
                vm_start: self.vms[vm].start,
                tried: BTreeSet::from([replica]),
                unbroken: 1,
                is_answered: false,
                retries: 2,
            });
            let run = self.add_service_run(self.requests.len() - 1, replica);
            self.runs[run].begun_at = Some(self.now);
        }
    }

    /// What follows at its VM and its caller when a run breaks.
    pub fn break_service_run(&mut self, run: usize) {
        let index = self.runs[run].request.unwrap();
        self.requests[index].unbroken -= 1;
        if self.requests[index].kind == Kind::Lookup {
            self.hedge(index);
        }
        let request = &self.requests[index];
        if !request.is_answered && request.unbroken == 0 && request.retries > 0 {
            self.after(50..500, Event::Retry(index));
        }
    }

    pub fn retry(&mut self, index: usize) {
        let request = self.requests[index].clone();
        self.receive_request(request.kind, request.subject, request.retries - 1);
    }

    /// Counts a deadly request that is sent to an upstream.
    pub fn count_deadly(&mut self, vm: usize, subjects: &[Subject]) {
        for (index, subject) in DEADLY.iter().enumerate() {
            if subjects.contains(subject) && self.is_in_touch(vm) {
                self.outcome.deadly_sent[index].push(self.now);
            }
        }
    }

    pub fn count_deadly_crash(&mut self, runs: &[usize]) {
        for (index, subject) in DEADLY.iter().enumerate() {
            let has_begun = |run: &Run| run.begun_at.is_some() && run.parts.contains(subject);
            if runs.iter().any(|run| has_begun(&self.runs[*run])) {
                self.outcome.deadly_crashes[index].push(self.now);
            }
        }
    }

    /// Time until a replica or an engine starts again.
    pub fn return_ms(&self, upstream: usize) -> std::ops::Range<u64> {
        let is_replica = upstream >= self.first_replica;
        if is_replica && self.plan.cause != Cause::Overload { RETURN_MS } else { 1_500..4_000 }
    }
}
