//! A fleet of entry VMs and engines on virtual time, with one store. VMs learn of each other only
//! through the store.

mod service;
mod store;
mod vm;

use coordination::quarantine::Subject;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use service::Request;
pub use service::{Kind, Service, Size};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use store::{Object, Store};
use vm::{Vm, Write};

/// Bound of the users' rules, at its least.
pub const TOUCH_MS: u64 = 3_000;
/// Time at which the first request with the part that crashes engines comes.
const BAD_FROM_MS: u64 = 10_000;
const END_MS: u64 = 45_000;
/// Times at which trouble begins, at the earliest and at the latest.
const TROUBLE_MS: std::ops::Range<u64> = 8_000..16_000;
const SETTLING_MS: u64 = 300;
/// Fraction of runs that seem settled while connections are delayed.
const FALSE_SETTLED: f64 = 0.05;
/// Attempts of one request, each at another engine.
const ATTEMPTS: usize = 6;
/// The same for a request that comes again as it is.
const DRAFT_ATTEMPTS: usize = 5;
/// Pause of a VM between the end of a watch and the next one.
const WATCH_PAUSE_MS: u64 = 200;
/// Minimum interval between writes of a VM, where a plain service is played.
const WRITE_INTERVAL_MS: u64 = 100;
const STORE_TIMEOUT_MS: u64 = 1_000;
/// The part that crashes engines.
pub const BAD: Subject = Subject::Part(666);
/// First parts that are in use from the start.
const KNOWN: [Subject; 3] = [Subject::Part(1), Subject::Part(2), Subject::Part(3)];
/// First parts that come into use together with the bad part.
const FRESH: [Subject; 3] = [Subject::Part(11), Subject::Part(12), Subject::Part(13)];
/// Other parts, each shared by the requests of a session.
const SESSIONS: std::ops::Range<u64> = 1_000..1_040;

/// Trouble of VMs and store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Calm,
    /// VMs come one after the other.
    Starting,
    /// VMs are replaced one after the other.
    Replaced,
    /// A third of the VMs freezes for seconds, again and again.
    Frozen,
    /// A third of the VMs loses its path to the store, again and again.
    Cut,
    /// All VMs lose their path to the store for seconds.
    StoreDown,
    /// All VMs are killed at once.
    Killed,
    /// The store goes back to a copy.
    Restored,
    /// Answers of the store are lost, or calls are executed late.
    Lossy,
    /// Delayed connections make runs seem settled whose engine has crashed.
    Delayed,
}

/// What the requests with the bad part hold besides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    /// One first part that others use too.
    Known,
    /// One first part that came into use with the bad part.
    Fresh,
    /// Several first parts that others use too.
    KnownVaried,
    /// Several first parts that came into use with the bad part.
    FreshVaried,
    /// The bad part comes first, before a part of others.
    First,
}

/// What else crashes engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cause {
    None,
    /// A third of the engines at once.
    Rack,
    /// The engines of all zones, one zone after the other.
    Zones,
    /// All engines, one after the other.
    Release,
    /// Each engine again and again, at random.
    Overload,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub vms: usize,
    pub seed: u64,
    pub trouble: Trouble,
    /// Requests with the bad part a second.
    pub bad_rate: f64,
    pub shape: Shape,
    pub cause: Cause,
    pub service: Option<Service>,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Engines that crashed under the bad part.
    pub crashes: Vec<u64>,
    /// Times at which VMs in touch sent requests with the bad part to engines.
    pub bad_sent: Vec<u64>,
    /// Times at which sound requests came to VMs in touch.
    pub sound: Vec<u64>,
    /// Those of them that were refused at the first attempt.
    pub refused: Vec<u64>,
    /// By deadly request, the times at which upstreams crashed under it.
    pub deadly_crashes: [Vec<u64>; 2],
    /// The same for the times at which VMs in touch sent it to upstreams.
    pub deadly_sent: [Vec<u64>; 2],
    /// Attempts of sound requests of the plain service at VMs in touch, and those refused while a
    /// replica ran.
    pub requests: usize,
    pub requests_refused: usize,
    /// Calls of the store, ended watches included.
    pub calls: u64,
    pub store_records: usize,
    pub store_bytes: usize,
}

impl Outcome {
    /// Time of the fifth crash, or of the last if there are fewer.
    pub fn known_at(&self) -> Option<u64> {
        self.crashes.get(4).or(self.crashes.last()).copied()
    }

    /// Requests with the bad part that VMs in touch sent too late.
    pub fn late(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else { return 0 };
        self.bad_sent.iter().filter(|sent| **sent > fifth + TOUCH_MS).count()
    }

    /// Most times that VMs in touch sent a deadly request too late.
    pub fn deadly_late(&self) -> usize {
        let late = self.deadly_crashes.iter().zip(&self.deadly_sent).map(|(crashes, sent)| {
            let Some(third) = crashes.get(2) else { return 0 };
            sent.iter().filter(|sent| **sent > third + TOUCH_MS).count()
        });
        late.max().unwrap_or(0)
    }

    /// Sound requests that came after the bad part should be known, and those refused.
    pub fn sound_late(&self) -> (usize, usize) {
        let from = self.known_at().unwrap_or(END_MS) + 2 * TOUCH_MS;
        let count = |times: &[u64]| times.iter().filter(|time| **time > from).count();
        (count(&self.sound), count(&self.refused))
    }
}

#[derive(Clone, Debug, Default)]
struct Engine {
    start: u32,
    is_up: bool,
}

#[derive(Clone, Debug)]
struct Run {
    parts: Vec<Subject>,
    /// The request of the plain service, if it is one.
    request: Option<usize>,
    vm: usize,
    vm_start: u32,
    engine: usize,
    engine_start: u32,
    attempt: usize,
    tried: BTreeSet<usize>,
    begun_at: Option<u64>,
    is_settled: bool,
    is_over: bool,
}

#[derive(Clone, Debug)]
enum Event {
    BadRequest,
    SoundRequest,
    Popular,
    Deadly(usize),
    Hedge(usize),
    Retry(usize),
    Begin(usize),
    Settle(usize),
    Finish(usize),
    Crash(usize, u32),
    EngineStart(usize),
    /// A VM sees a connection break.
    Break(usize),
    /// A VM finds that the engine of a run has ended.
    Found(usize),
    Sync(usize, u32),
    Flush(usize, u32),
    Arrive(usize, u32, Write),
    Answer(usize, u32, Subject, Option<Result<u64, Option<Object>>>),
    VmStart(usize),
    VmKill(usize),
    Freeze(usize, u64),
    Cut(usize),
    Join(usize),
    Restore,
    Lossy(bool),
    Delayed(bool),
}

/// Whether a request crashes the engines that begin to answer it.
fn is_bad(subjects: &[Subject]) -> bool {
    subjects.contains(&BAD) || subjects.iter().any(service::is_deadly)
}

/// Parts of the prompt of a run, which come before the request.
fn parts(run: &Run) -> &[Subject] {
    let count = run.parts.iter().take_while(|subject| !subject.is_request()).count();
    &run.parts[..count]
}

struct Fleet {
    plan: Plan,
    random: ChaCha8Rng,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    vms: Vec<Vm>,
    /// Engines, then the replicas of the plain service.
    engines: Vec<Engine>,
    first_replica: usize,
    requests: Vec<Request>,
    uniques: u64,
    runs: Vec<Run>,
    store: Store,
    store_disturbed_at: Option<u64>,
    is_lossy: bool,
    is_delayed: bool,
    outcome: Outcome,
}

/// Plays a fleet to its end.
pub fn play(plan: Plan) -> Outcome {
    let mut fleet = Fleet::new(plan);
    fleet.schedule_trouble();
    fleet.schedule_crashes();
    fleet.schedule_service();
    while let Some(Reverse((at, _, index))) = fleet.queue.pop() {
        if at > END_MS {
            break;
        }
        fleet.now = at;
        let event = fleet.events[index].take().unwrap();
        fleet.handle(event);
    }
    let store = &fleet.store;
    Outcome {
        calls: store.calls,
        store_records: store.objects().len(),
        store_bytes: store.bytes(),
        ..fleet.outcome
    }
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let first_replica = 12 + plan.vms * 2;
        let replicas = plan.service.map_or(0, |service| service.replicas(plan.vms));
        let upstreams = first_replica + replicas;
        let mut fleet = Self {
            plan,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            vms: vec![Vm::default(); plan.vms],
            engines: vec![Engine { start: 1, is_up: true }; upstreams],
            first_replica,
            requests: Vec::new(),
            uniques: 0,
            runs: Vec::new(),
            store: Store::default(),
            store_disturbed_at: None,
            is_lossy: false,
            is_delayed: false,
            outcome: Outcome::default(),
        };
        fleet.push(0, Event::SoundRequest);
        if plan.bad_rate > 0.0 {
            fleet.push(BAD_FROM_MS, Event::BadRequest);
        }
        fleet
    }

    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, self.events.len())));
        self.events.push(Some(event));
    }

    fn after(&mut self, delay: std::ops::Range<u64>, event: Event) {
        let at = self.now + self.random.random_range(delay);
        self.push(at, event);
    }

    fn schedule_trouble(&mut self) {
        let from = self.random.random_range(TROUBLE_MS);
        let count = self.plan.vms;
        let late = |vm: usize| self.plan.trouble == Trouble::Starting && vm >= count.div_ceil(4);
        let starts = (0..count).map(|vm| if late(vm) { from + 200 * vm as u64 } else { 0 });
        for (vm, at) in starts.collect::<Vec<_>>().into_iter().enumerate() {
            self.push(at, Event::VmStart(vm));
        }
        let third = |round: u64| (0..count).filter(move |vm| *vm as u64 % 3 == round % 3);
        match self.plan.trouble {
            Trouble::Calm | Trouble::Starting => {}
            Trouble::Replaced => {
                let pause = 12_000 / count as u64;
                for vm in 0..count {
                    self.push(from + pause * vm as u64, Event::VmKill(vm));
                }
            }
            Trouble::Frozen => {
                for round in 0..6 {
                    for vm in third(round) {
                        let length = self.random.random_range(500..4_000);
                        self.push(from + 2_500 * round, Event::Freeze(vm, length));
                    }
                }
            }
            Trouble::Cut => {
                for round in 0..6 {
                    for vm in third(round) {
                        let length = self.random.random_range(500..6_000);
                        self.push(from + 2_500 * round, Event::Cut(vm));
                        self.push(from + 2_500 * round + length, Event::Join(vm));
                    }
                }
            }
            Trouble::StoreDown => {
                for vm in 0..count {
                    self.push(from, Event::Cut(vm));
                    self.push(from + 8_000, Event::Join(vm));
                }
            }
            Trouble::Killed => {
                for vm in 0..count {
                    self.push(from, Event::VmKill(vm));
                }
            }
            Trouble::Restored => self.push(from, Event::Restore),
            Trouble::Lossy => {
                self.push(from, Event::Lossy(true));
                self.push(from + 10_000, Event::Lossy(false));
            }
            Trouble::Delayed => {
                self.push(from, Event::Delayed(true));
                self.push(from + 10_000, Event::Delayed(false));
            }
        }
    }

    fn schedule_crashes(&mut self) {
        let mut order = (0..self.engines.len()).collect::<Vec<_>>();
        order.shuffle(&mut self.random);
        let third = order.len() / 3;
        match self.plan.cause {
            Cause::None => {}
            Cause::Rack => {
                order[..third].iter().for_each(|engine| self.push(12_000, Event::Crash(*engine, 1)))
            }
            Cause::Zones => {
                for (index, engine) in order.into_iter().enumerate() {
                    let wave = (index / third.max(1)) as u64;
                    self.push(12_000 + 700 * wave, Event::Crash(engine, 1));
                }
            }
            Cause::Release => {
                let pause = (20_000 / order.len() as u64).min(600);
                for (index, engine) in order.into_iter().enumerate() {
                    self.push(12_000 + pause * index as u64, Event::Crash(engine, 1));
                }
            }
            Cause::Overload => {
                for engine in order {
                    let at = self.random.random_range(12_000..16_000);
                    self.push(at, Event::Crash(engine, 1));
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::BadRequest => {
                let interval = 1_000.0 / self.plan.bad_rate;
                self.after((interval * 0.5) as u64..(interval * 1.5) as u64, Event::BadRequest);
                let parts = self.bad_parts();
                self.receive(parts);
            }
            Event::SoundRequest => {
                let interval = 2_000 / (4 + self.plan.vms as u64);
                self.after(0..interval, Event::SoundRequest);
                let parts = self.sound_parts();
                self.receive(parts);
            }
            Event::Popular => self.receive_popular(),
            Event::Deadly(request) => self.receive_deadly(request),
            Event::Hedge(request) => self.hedge(request),
            Event::Retry(request) => self.retry(request),
            Event::Begin(run) => self.begin(run),
            Event::Settle(run) => self.settle(run),
            Event::Finish(run) => self.finish(run),
            Event::Crash(engine, start) => self.crash(engine, start),
            Event::EngineStart(engine) => {
                self.engines[engine].start += 1;
                self.engines[engine].is_up = true;
                let start = self.engines[engine].start;
                if self.plan.cause == Cause::Overload && self.now < 32_000 {
                    self.after(500..6_000, Event::Crash(engine, start));
                }
            }
            Event::Break(run) => self.break_run(run),
            Event::Found(run) => self.find(run),
            Event::Sync(vm, start) => self.sync(vm, start),
            Event::Flush(vm, start) => {
                self.vms[vm].is_flush_due = false;
                match self.thaw(vm) {
                    Some(thaw) => self.push(thaw, Event::Flush(vm, start)),
                    None => self.flush(vm, start),
                }
            }
            Event::Arrive(vm, start, write) => self.arrive(vm, start, write),
            Event::Answer(vm, start, part, answer) => self.answer(vm, start, part, answer),
            Event::VmStart(vm) => {
                let clock = self.random.random_range(0..100_000);
                self.vms[vm].start(self.now, clock);
                let start = self.vms[vm].start;
                self.after(50..300, Event::Sync(vm, start));
            }
            Event::VmKill(vm) => {
                self.vms[vm].is_up = false;
                // Engines drop a run whose connection closes.
                self.runs.iter_mut().filter(|run| run.vm == vm).for_each(|run| run.is_over = true);
                self.after(300..2_000, Event::VmStart(vm));
            }
            Event::Freeze(vm, length) => self.vms[vm].frozen_until = self.now + length,
            Event::Cut(vm) => self.vms[vm].is_cut = true,
            Event::Join(vm) => {
                self.vms[vm].is_cut = false;
                self.vms[vm].disturbed_at = Some(self.now);
                let start = self.vms[vm].start;
                self.after(20..1_000, Event::Sync(vm, start));
            }
            Event::Restore => {
                self.store.restore(self.now);
                self.store_disturbed_at = Some(self.now);
                for vm in 0..self.vms.len() {
                    let start = self.vms[vm].start;
                    self.after(20..1_000, Event::Sync(vm, start));
                }
            }
            Event::Lossy(is_lossy) => {
                self.is_lossy = is_lossy;
                self.store_disturbed_at = Some(self.now);
            }
            Event::Delayed(is_delayed) => self.is_delayed = is_delayed,
        }
    }

    fn bad_parts(&mut self) -> Vec<Subject> {
        let mut parts = self.shared_parts();
        parts.insert(if self.plan.shape == Shape::First { 0 } else { 1 }, BAD);
        parts
    }

    /// What a bad request shares with others.
    fn shared_parts(&mut self) -> Vec<Subject> {
        vec![match self.plan.shape {
            Shape::Known => KNOWN[0],
            Shape::Fresh => FRESH[0],
            Shape::KnownVaried => *KNOWN.choose(&mut self.random).unwrap(),
            Shape::FreshVaried => *FRESH.choose(&mut self.random).unwrap(),
            Shape::First => self.session(),
        }]
    }

    fn sound_parts(&mut self) -> Vec<Subject> {
        let is_fresh = matches!(self.plan.shape, Shape::Fresh | Shape::FreshVaried)
            && self.now > BAD_FROM_MS
            && self.random.random_bool(0.5);
        let first = if is_fresh { FRESH } else { KNOWN }.choose(&mut self.random).copied();
        let mut subjects = vec![first.unwrap(), self.session()];
        if self.plan.service.is_some() {
            subjects.push(self.unique());
        }
        subjects
    }

    /// Part of a session, by lot.
    fn session(&mut self) -> Subject {
        Subject::Part(self.random.random_range(SESSIONS))
    }

    fn is_in_touch(&self, vm: usize) -> bool {
        let is_calm = |at: Option<u64>| at.is_none_or(|at| self.now >= at + TOUCH_MS);
        let state = &self.vms[vm];
        let lossy = self.is_lossy;
        state.reaches_store(self.now)
            && is_calm(state.disturbed_at.max(Some(state.frozen_until)).filter(|at| *at > 0))
            && is_calm(self.store_disturbed_at)
            && !lossy
    }

    /// One of the VMs that run, by lot.
    fn any_vm(&mut self) -> Option<usize> {
        let ready = (0..self.vms.len()).filter(|vm| self.vms[*vm].runs(self.now));
        ready.collect::<Vec<_>>().choose(&mut self.random).copied()
    }

    /// A request comes at one of the VMs that run.
    fn receive(&mut self, parts: Vec<Subject>) {
        let Some(vm) = self.any_vm() else { return };
        let is_counted = !is_bad(&parts) && self.is_in_touch(vm);
        if is_counted {
            self.outcome.sound.push(self.now);
        }
        if self.vms[vm].verdicts.refused(&parts).is_some() {
            if is_counted {
                self.outcome.refused.push(self.now);
            }
            return;
        }
        self.send(parts, vm, 0, BTreeSet::new());
    }

    /// Sends a request to an engine that it has not been at.
    fn send(&mut self, parts: Vec<Subject>, vm: usize, attempt: usize, mut tried: BTreeSet<usize>) {
        let usable = |engine: &usize| self.engines[*engine].is_up && !tried.contains(engine);
        let usable = (0..self.first_replica).filter(usable).collect::<Vec<_>>();
        let Some(engine) = usable.choose(&mut self.random).copied() else { return };
        if parts.contains(&BAD) && self.is_in_touch(vm) {
            self.outcome.bad_sent.push(self.now);
        }
        self.count_deadly(vm, &parts);
        tried.insert(engine);
        self.runs.push(Run {
            parts,
            request: None,
            vm,
            vm_start: self.vms[vm].start,
            engine,
            engine_start: self.engines[engine].start,
            attempt,
            tried,
            begun_at: None,
            is_settled: false,
            is_over: false,
        });
        self.after(700..1_300, Event::Begin(self.runs.len() - 1));
    }

    fn begin(&mut self, index: usize) {
        let run = &mut self.runs[index];
        if run.is_over {
            return;
        }
        run.begun_at = Some(self.now);
        let (engine, start) = (run.engine, run.engine_start);
        if run.request.is_some() {
            self.begin_service_run(index);
            return;
        }
        if is_bad(&run.parts) {
            self.after(40..110, Event::Crash(engine, start));
            return;
        }
        self.push(self.now + SETTLING_MS, Event::Settle(index));
        self.after(1_000..6_000, Event::Finish(index));
    }

    fn settle(&mut self, index: usize) {
        let run = self.runs[index].clone();
        if run.is_over || !self.is_same_vm(&run) {
            return;
        }
        if let Some(thaw) = self.thaw(run.vm) {
            self.push(thaw, Event::Settle(index));
            return;
        }
        self.runs[index].is_settled = true;
        self.vms[run.vm].record_settled(self.now, parts(&run));
        self.flush(run.vm, run.vm_start);
    }

    fn crash(&mut self, engine: usize, start: u32) {
        let state = &mut self.engines[engine];
        if !state.is_up || state.start != start {
            return;
        }
        state.is_up = false;
        self.after(self.return_ms(engine), Event::EngineStart(engine));
        if engine >= self.first_replica {
            self.add_victims(engine);
        }
        let is_hit = |run: &Run| run.engine == engine && run.engine_start == start && !run.is_over;
        let runs = (0..self.runs.len()).filter(|run| is_hit(&self.runs[*run])).collect::<Vec<_>>();
        let is_bad = |run: &usize| {
            self.runs[*run].begun_at.is_some() && self.runs[*run].parts.contains(&BAD)
        };
        if runs.iter().any(is_bad) {
            self.outcome.crashes.push(self.now);
        }
        self.count_deadly_crash(&runs);
        // Where a rack or a zone loses its power, connections break only at their time-outs.
        let is_silent = matches!(self.plan.cause, Cause::Rack | Cause::Zones);
        for run in runs {
            self.runs[run].is_over = true;
            let delay = if is_silent { 1..1_500 } else { 1..4 };
            self.after(delay, Event::Break(run));
        }
    }

    fn break_run(&mut self, index: usize) {
        let run = self.runs[index].clone();
        if !self.is_same_vm(&run) {
            return;
        }
        if let Some(thaw) = self.thaw(run.vm) {
            self.push(thaw, Event::Break(index));
            return;
        }
        if run.begun_at.is_some() && !run.is_settled {
            let check = if run.request.is_some() { service::CHECK_MS } else { 20..300 };
            self.after(check, Event::Found(index));
        }
        if run.request.is_some() {
            self.break_service_run(index);
            return;
        }
        let is_refused = self.vms[run.vm].verdicts.refused(&run.parts).is_some();
        let is_request = run.parts.iter().any(|part| part.is_request());
        let attempts = if is_request { DRAFT_ATTEMPTS } else { ATTEMPTS };
        let is_repeatable =
            run.parts.iter().all(|part| self.vms[run.vm].verdicts.is_repeatable(*part));
        let is_refused = is_refused || !is_repeatable;
        if run.attempt + 1 < attempts && !is_refused {
            self.send(run.parts, run.vm, run.attempt + 1, run.tried);
        }
    }

    /// Records the end of an engine if the run had not settled.
    fn find(&mut self, index: usize) {
        let run = self.runs[index].clone();
        if !self.is_same_vm(&run) {
            return;
        }
        if let Some(thaw) = self.thaw(run.vm) {
            self.push(thaw, Event::Found(index));
            return;
        }
        // A request settles only when its answer is whole.
        if self.is_delayed && run.request.is_none() && self.random.random_bool(FALSE_SETTLED) {
            self.vms[run.vm].record_settled(self.now, parts(&run));
        } else {
            let engine = format!("i-{:010x}/{}", run.engine, run.engine_start);
            self.vms[run.vm].record_crash(self.now, &run.parts, &engine);
        }
        self.flush(run.vm, run.vm_start);
    }

    fn is_same_vm(&self, run: &Run) -> bool {
        self.vms[run.vm].is_up && self.vms[run.vm].start == run.vm_start
    }

    /// When a frozen VM goes on.
    fn thaw(&self, vm: usize) -> Option<u64> {
        Some(self.vms[vm].frozen_until).filter(|thaw| *thaw > self.now)
    }

    fn sync(&mut self, vm: usize, start: u32) {
        if self.vms[vm].start != start || !self.vms[vm].is_up {
            return;
        }
        if let Some(thaw) = self.thaw(vm) {
            self.push(thaw + 50, Event::Sync(vm, start));
            return;
        }
        if self.vms[vm].is_cut {
            return;
        }
        self.vms[vm].sync(self.now, &mut self.store);
        self.flush(vm, start);
    }

    /// Sends the writes of a VM.
    fn flush(&mut self, vm: usize, start: u32) {
        if self.vms[vm].start != start || !self.vms[vm].runs(self.now) {
            return;
        }
        let state = &mut self.vms[vm];
        let writes = if self.plan.service.is_some() {
            if self.now < state.next_write_at {
                let at = state.next_write_at;
                if !std::mem::replace(&mut state.is_flush_due, true) {
                    self.push(at, Event::Flush(vm, start));
                }
                return;
            }
            let write = state.take_write();
            if write.is_some() {
                state.next_write_at = self.now + WRITE_INTERVAL_MS;
            }
            write.into_iter().collect()
        } else {
            state.take_writes()
        };
        for write in writes {
            let part = write.part;
            if self.vms[vm].is_cut {
                let event = Event::Answer(vm, start, part, None);
                self.push(self.now + STORE_TIMEOUT_MS, event);
            } else if self.is_lossy && self.random.random_bool(0.5) {
                // Executed soon or late, and not answered.
                self.after(1..3_000, Event::Arrive(vm, 0, write));
                let event = Event::Answer(vm, start, part, None);
                self.push(self.now + STORE_TIMEOUT_MS, event);
            } else {
                self.after(1..10, Event::Arrive(vm, start, write));
            }
        }
    }

    /// Lets a VM watch for changes, which it does with pauses.
    fn notify(&mut self, vm: usize) {
        if self.vms[vm].is_notified {
            return;
        }
        self.vms[vm].is_notified = true;
        let next = self.vms[vm].synced_at.map_or(0, |at| at + WATCH_PAUSE_MS);
        let at = next.max(self.now) + self.random.random_range(2..30);
        let start = self.vms[vm].start;
        self.push(at, Event::Sync(vm, start));
    }

    fn arrive(&mut self, vm: usize, start: u32, write: Write) {
        let answer = self.store.put(self.now, write.part, write.known, &write.record);
        if answer.is_ok() {
            for watcher in 0..self.vms.len() {
                self.notify(watcher);
            }
        }
        if start > 0 {
            self.after(1..10, Event::Answer(vm, start, write.part, Some(answer)));
        }
    }

    fn answer(
        &mut self,
        vm: usize,
        start: u32,
        part: Subject,
        answer: Option<Result<u64, Option<Object>>>,
    ) {
        if self.vms[vm].start != start || !self.vms[vm].is_up {
            return;
        }
        if let Some(thaw) = self.thaw(vm) {
            self.push(thaw, Event::Answer(vm, start, part, answer));
            return;
        }
        // An answer that is under way when the path is cut is lost.
        let answer = answer.filter(|_| !self.vms[vm].is_cut);
        let is_lost = answer.is_none();
        self.vms[vm].finish(self.now, part, answer);
        if is_lost {
            self.after(100..400, Event::Flush(vm, start));
        } else {
            self.flush(vm, start);
        }
    }
}
