//! At most one run of a non-idempotent action, on a store with conditional updates.
//!
//! The store holds one record per action. The process that creates the record, or replaces an
//! `Aborted` one, may send the action once. No other process sends it again, even if the claimant
//! crashes. If the store's answer to a write is lost, the record is read to find out whether the
//! write took effect. If the record is absent, a tombstone is created before the claim is repeated,
//! so that a delayed create fails.
//!
//! [`Machine`] drives one attempt: perform the [`Step`] it returns and pass the resulting [`Event`]
//! to [`Machine::advance`].
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
    /// Name of the VM on which the process runs.
    pub name: String,
    /// Incarnation of the process; each start of it has another one.
    pub incarnation: u64,
}

/// Progress of an action.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State<A> {
    /// The action is claimed and may have been sent.
    Dispatched,
    /// The action ran; every repeated request gets this answer.
    Done(A),
    /// The action was sent, no answer arrived, and it may have run.
    Unknown,
    /// The action did not run under this nonce and never will.
    Aborted,
}

/// The stored record of one action.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Record<A> {
    /// Process that claimed the action.
    pub owner: Owner,
    /// Number that distinguishes this claim from all others of the same owner.
    pub nonce: u64,
    /// Digest of the request, to detect a key that is reused for another request.
    pub digest: String,
    /// Progress of the action.
    pub state: State<A>,
}

/// State of a claim as reported by its owner.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OwnerState {
    /// The claim was abandoned for good before the action was sent.
    Abandoned,
    /// The action is running, or its outcome is being recorded.
    Running,
    /// The incarnation that made the claim has ended.
    Gone,
    /// The owner did not answer.
    Silent,
}

/// Result of a [`Step`].
#[derive(Clone, Debug)]
pub enum Event<A> {
    /// The write took effect and created the given version.
    Written(u64),
    /// The write was refused: the record exists or has another version.
    Conflict,
    /// The write was not answered and may still take effect.
    Lost,
    /// The step was definitely not performed.
    Unreachable,
    /// The read returned this version and record.
    Found(u64, Record<A>),
    /// The read found no record.
    Absent,
    /// Claim state that answers [`Step::AskOwner`].
    OwnerAnswered(OwnerState),
}

/// Next operation that the driver of a [`Machine`] performs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Step<A> {
    /// Create the record if absent.
    Create(Record<A>),
    /// Replace the record at the given version.
    Replace(u64, Record<A>),
    /// Read the record.
    Read,
    /// Ask this owner for the state of its claim with the given nonce.
    AskOwner(Owner, u64),
    /// Send the action now, exactly once; the claim is stored at the given version.
    Send(u64),
    /// Another claimant is running the action: pause, then call [`Machine::resume`].
    Wait,
    /// Answer the caller with the recorded outcome.
    Replay(A),
    /// End the attempt and return the reason to the caller.
    Refuse(Refusal),
}

/// Reason why an attempt did not send the action.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The store can't be reached; this attempt did not send the action and never will. The owner
    /// must remember the nonce as abandoned.
    StoreUnavailable,
    /// The key was already used for a different request.
    KeyReused,
    /// The action may have been sent earlier, and its outcome is unknown.
    Unknown,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Creating,
    Reading,
    CreatingTombstone,
    Replacing,
    AskingOwner(u64),
    MarkingUnknown,
    Ended,
}

/// One attempt to run an action.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Machine<A> {
    own_record: Record<A>,
    phase: Phase,
    earlier_may_have_run: bool,
}

impl<A: Clone> Machine<A> {
    /// Prepares a claim of `owner`, which must never use `nonce` again.
    pub fn new(owner: Owner, nonce: u64, digest: String) -> Self {
        let own_record = Record { owner, nonce, digest, state: State::Dispatched };
        Self { own_record, phase: Phase::Creating, earlier_may_have_run: false }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> Step<A> {
        self.phase = Phase::Creating;
        Step::Create(self.own_record.clone())
    }

    /// Handles the result of the last step and returns the next step.
    pub fn advance(&mut self, event: Event<A>) -> Step<A> {
        self.earlier_may_have_run |=
            self.phase == Phase::Creating && matches!(event, Event::Conflict);
        match (self.phase, event) {
            (Phase::Creating | Phase::Replacing, Event::Written(version)) => self.send(version),
            (Phase::CreatingTombstone, Event::Written(version)) => self.replace(version),
            (Phase::MarkingUnknown, Event::Written(_)) => self.refuse(Refusal::Unknown),
            (Phase::Reading, Event::Found(version, record)) => self.handle_record(version, record),
            (Phase::Reading, Event::Absent) => self.create_tombstone(),
            (Phase::AskingOwner(version), Event::OwnerAnswered(state)) => {
                self.handle_owner_state(version, state)
            }
            (
                Phase::Creating | Phase::CreatingTombstone | Phase::Replacing,
                Event::Conflict | Event::Lost,
            )
            | (Phase::MarkingUnknown, Event::Conflict | Event::Lost) => self.read(),
            _ if self.earlier_may_have_run => self.refuse(Refusal::Unknown),
            _ => self.refuse(Refusal::StoreUnavailable),
        }
    }

    /// Record of this claim with the outcome `state`. It replaces the record at the version given
    /// by [`Step::Send`].
    pub fn outcome(&self, state: State<A>) -> Record<A> {
        Record { state, ..self.own_record.clone() }
    }

    /// Number that distinguishes this claim from all others of the same owner.
    pub fn nonce(&self) -> u64 {
        self.own_record.nonce
    }

    /// Whether an earlier attempt under the same key may have run.
    pub fn may_have_run_earlier(&self) -> bool {
        self.earlier_may_have_run
    }

    /// Returns the step that follows the pause of [`Step::Wait`]: another read.
    pub fn resume(&mut self) -> Step<A> {
        self.read()
    }

    fn handle_record(&mut self, version: u64, record: Record<A>) -> Step<A> {
        if record.nonce == self.own_record.nonce && record.owner == self.own_record.owner {
            return match record.state {
                State::Dispatched => self.send(version),
                State::Aborted => self.replace(version),
                State::Done(answer) => Step::Replay(answer),
                State::Unknown => self.refuse(Refusal::Unknown),
            };
        }
        self.earlier_may_have_run = !matches!(record.state, State::Aborted);
        if !self.earlier_may_have_run {
            return self.replace(version);
        }
        if record.digest != self.own_record.digest {
            return self.refuse(Refusal::KeyReused);
        }
        match record.state {
            State::Done(answer) => {
                self.phase = Phase::Ended;
                Step::Replay(answer)
            }
            State::Unknown => self.refuse(Refusal::Unknown),
            State::Dispatched | State::Aborted => self.ask_owner(version, record),
        }
    }

    fn ask_owner(&mut self, version: u64, record: Record<A>) -> Step<A> {
        self.phase = Phase::AskingOwner(version);
        Step::AskOwner(record.owner, record.nonce)
    }

    fn handle_owner_state(&mut self, version: u64, state: OwnerState) -> Step<A> {
        match state {
            OwnerState::Abandoned => {
                self.earlier_may_have_run = false;
                self.replace(version)
            }
            OwnerState::Running => Step::Wait,
            OwnerState::Silent => self.refuse(Refusal::Unknown),
            OwnerState::Gone => self.mark_unknown(version),
        }
    }

    fn mark_unknown(&mut self, version: u64) -> Step<A> {
        self.phase = Phase::MarkingUnknown;
        Step::Replace(version, self.outcome(State::Unknown))
    }

    fn create_tombstone(&mut self) -> Step<A> {
        self.phase = Phase::CreatingTombstone;
        Step::Create(self.outcome(State::Aborted))
    }

    fn replace(&mut self, version: u64) -> Step<A> {
        self.phase = Phase::Replacing;
        Step::Replace(version, self.own_record.clone())
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
