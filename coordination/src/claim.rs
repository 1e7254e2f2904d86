//! At most one run of a non-idempotent action, on a store with conditional updates.
//!
//! One record per action. The process that creates the record, or replaces an `Aborted` one,
//! may send the action once; nobody sends it again, whatever happens to that process. A store
//! answer that was lost is settled by reading; when the record is absent, a tombstone makes the
//! late create fail before anything is concluded from its absence.
//!
//! [`Machine`] drives one attempt: perform the [`Step`] it returns and feed back the [`Event`].
//!
//! ```
//! use coordination::claim::{Event, Machine, Owner, Step};
//!
//! let owner = Owner { name: "vm-1".into(), incarnation: 1 };
//! let mut machine = Machine::<String>::new(owner, 42, "digest".into());
//! assert!(matches!(machine.start(), Step::Create(_)));
//! assert!(matches!(machine.advance(Event::Written(1)), Step::Send(1)));
//! ```

use serde::{Deserialize, Serialize};

/// Process that holds a claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Owner {
    /// Name of its VM.
    pub name: String,
    /// Start of its process.
    pub incarnation: u64,
}

/// How far an action has come.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State<A> {
    /// Claimed; may have been sent.
    Dispatched,
    /// Ran; every repeat gets this answer.
    Done(A),
    /// Sent without an answer; may have run.
    Unknown,
    /// Was not run and will not be under this nonce.
    Aborted,
}

/// The stored record of one action.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Record<A> {
    /// Claimant.
    pub owner: Owner,
    /// Tells this claim from any other of the same owner.
    pub nonce: u64,
    /// Digest of the request.
    pub digest: String,
    /// Progress.
    pub state: State<A>,
}

/// What an owner says of a claim of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OwnerState {
    /// It was given up before anything was sent, for good.
    Abandoned,
    /// It is at work, or its outcome is being recorded.
    Running,
    /// The incarnation that claimed it has ended.
    Gone,
    /// The owner gave no answer.
    Silent,
}

/// Result of the last step.
#[derive(Clone, Debug)]
pub enum Event<A> {
    /// The write took effect; the version it made.
    Written(u64),
    /// The write was refused: the record exists or has another version.
    Conflict,
    /// No answer to the write; it may take effect later.
    Lost,
    /// The step was certainly not performed.
    Unreachable,
    /// The record as read.
    Found(u64, Record<A>),
    /// There is no record.
    Absent,
    /// The owner's state, for [`Step::AskOwner`].
    OwnerAnswered(OwnerState),
}

/// What to do next.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Step<A> {
    /// Create the record if absent.
    Create(Record<A>),
    /// Replace the record at the given version.
    Replace(u64, Record<A>),
    /// Read the record.
    Read,
    /// Ask the owner of a claim what became of it.
    AskOwner(Owner, u64),
    /// Send the action now, once; the record has the given version.
    Send(u64),
    /// Someone else is at work: read again after a pause.
    Wait,
    /// Answer the caller with the recorded outcome.
    Replay(A),
    /// Give up; the caller is told why.
    Refuse(Refusal),
}

/// Why the action was not sent by this attempt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The store can't be reached; this attempt sent nothing and never will. The nonce must be
    /// remembered as abandoned.
    StoreUnavailable,
    /// The key was used for another request.
    KeyReused,
    /// The action was sent earlier and its outcome is not known.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Creating,
    Reading,
    CreatingTombstone,
    Replacing,
    Asking(u64),
    Marking,
    Ended,
}

/// One attempt to run an action.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Machine<A> {
    mine: Record<A>,
    phase: Phase,
    contested: bool,
}

impl<A: Clone> Machine<A> {
    /// Prepares a claim of `owner`; `nonce` must never be used by it again.
    pub fn new(owner: Owner, nonce: u64, digest: String) -> Self {
        let mine = Record { owner, nonce, digest, state: State::Dispatched };
        Self { mine, phase: Phase::Creating, contested: false }
    }

    /// First step.
    pub fn start(&mut self) -> Step<A> {
        self.phase = Phase::Creating;
        Step::Create(self.mine.clone())
    }

    /// Takes the result of the last step and returns the next.
    pub fn advance(&mut self, event: Event<A>) -> Step<A> {
        self.contested |= self.phase == Phase::Creating && matches!(event, Event::Conflict);
        match (self.phase, event) {
            (Phase::Creating | Phase::Replacing, Event::Written(version)) => self.send(version),
            (Phase::CreatingTombstone, Event::Written(version)) => self.replace(version),
            (Phase::Marking, Event::Written(_)) => self.refuse(Refusal::Unknown),
            (Phase::Reading, Event::Found(version, record)) => self.judge(version, record),
            (Phase::Reading, Event::Absent) => self.create_tombstone(),
            (Phase::Asking(version), Event::OwnerAnswered(state)) => {
                self.on_owner_state(version, state)
            }
            (
                Phase::Creating | Phase::CreatingTombstone | Phase::Replacing,
                Event::Conflict | Event::Lost,
            )
            | (Phase::Marking, Event::Conflict | Event::Lost) => self.read(),
            _ if self.contested => self.refuse(Refusal::Unknown),
            _ => self.refuse(Refusal::StoreUnavailable),
        }
    }

    /// Record of this claim in another state, to be stored at the version that was sent under.
    pub fn outcome(&self, state: State<A>) -> Record<A> {
        Record { state, ..self.mine.clone() }
    }

    /// Number that tells this claim from others of the owner.
    pub fn nonce(&self) -> u64 {
        self.mine.nonce
    }

    /// Whether an earlier attempt under the same key may have run.
    pub fn is_contested(&self) -> bool {
        self.contested
    }

    /// Reads again after [`Step::Wait`].
    pub fn resume(&mut self) -> Step<A> {
        self.read()
    }

    fn judge(&mut self, version: u64, record: Record<A>) -> Step<A> {
        if record.nonce == self.mine.nonce && record.owner == self.mine.owner {
            return match record.state {
                State::Dispatched => self.send(version),
                State::Aborted => self.replace(version),
                State::Done(answer) => Step::Replay(answer),
                State::Unknown => self.refuse(Refusal::Unknown),
            };
        }
        self.contested = !matches!(record.state, State::Aborted);
        if !self.contested {
            return self.replace(version);
        }
        if record.digest != self.mine.digest {
            return self.refuse(Refusal::KeyReused);
        }
        match record.state {
            State::Done(answer) => {
                self.phase = Phase::Ended;
                Step::Replay(answer)
            }
            State::Unknown => self.refuse(Refusal::Unknown),
            State::Dispatched | State::Aborted => self.ask(version, record),
        }
    }

    fn ask(&mut self, version: u64, record: Record<A>) -> Step<A> {
        self.phase = Phase::Asking(version);
        Step::AskOwner(record.owner, record.nonce)
    }

    fn on_owner_state(&mut self, version: u64, state: OwnerState) -> Step<A> {
        match state {
            OwnerState::Abandoned => {
                self.contested = false;
                self.replace(version)
            }
            OwnerState::Running => Step::Wait,
            OwnerState::Silent => self.refuse(Refusal::Unknown),
            OwnerState::Gone => self.mark_unknown(version),
        }
    }

    fn mark_unknown(&mut self, version: u64) -> Step<A> {
        self.phase = Phase::Marking;
        Step::Replace(version, self.outcome(State::Unknown))
    }

    fn create_tombstone(&mut self) -> Step<A> {
        self.phase = Phase::CreatingTombstone;
        Step::Create(self.outcome(State::Aborted))
    }

    fn replace(&mut self, version: u64) -> Step<A> {
        self.phase = Phase::Replacing;
        Step::Replace(version, self.mine.clone())
    }

    fn read(&mut self) -> Step<A> {
        self.phase = Phase::Reading;
        Step::Read
    }

    fn send(&mut self, version: u64) -> Step<A> {
        self.phase = Phase::Ended;
        Step::Send(version)
    }

    fn refuse(&mut self, refusal: Refusal) -> Step<A> {
        self.phase = Phase::Ended;
        Step::Refuse(refusal)
    }
}
