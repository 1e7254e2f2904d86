//! Journal of unfinished answers, kept for peers in other availability zones.
//!
//! Entry VMs append the tokens of the generations that they serve; if one is lost, another takes
//! the answer over from here and resumes the generation.

use crate::clock::Clock;
use crate::mailbox::Mailbox;
use crate::prelude::*;
use crate::scope::Scope;
use crate::wire;
use coordination::journal::{Append, Error, Journal};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

/// Interval between removals of expired answers.
const EXPIRY_PERIOD: Duration = Duration::from_secs(5);

#[derive(Debug)]
enum Message {
    Append(wire::Append, oneshot::Sender<wire::Appended>),
    Take(wire::Take, oneshot::Sender<wire::Taken>),
    Dump(oneshot::Sender<State>),
}

/// Size of a keeper's journal, for the state dump.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct State {
    /// Number of answers.
    pub answers: usize,
    /// Bytes of the answers' tokens.
    pub token_bytes: usize,
}

/// Handle to the task that owns the journal.
#[derive(Clone, Debug)]
pub struct Keeper {
    mailbox: Mailbox<Message>,
}

impl Keeper {
    /// Starts the owning task in `scope`.
    pub fn start(scope: &Scope, clock: Clock, journal: Journal) -> Self {
        let (mailbox, messages) = Mailbox::new();
        scope.spawn(run(messages, clock, journal));
        Self { mailbox }
    }

    /// Appends tokens to an answer.
    pub async fn append(&self, append: wire::Append) -> wire::Appended {
        self.mailbox.request(|reply| Message::Append(append, reply)).await.unwrap_or_default()
    }

    /// Transfers an unfinished answer to a new owner.
    pub async fn take_over(&self, take: wire::Take) -> wire::Taken {
        self.mailbox.request(|reply| Message::Take(take, reply)).await.unwrap_or_default()
    }

    /// Size of the journal.
    pub async fn dump(&self) -> State {
        self.mailbox.request(Message::Dump).await.unwrap_or_default()
    }
}

async fn run(mut messages: mpsc::UnboundedReceiver<Message>, clock: Clock, mut journal: Journal) {
    let mut expiry = tokio::time::interval(EXPIRY_PERIOD);
    loop {
        tokio::select! {
            biased;
            _ = expiry.tick() => {
                let expired = journal.expire(clock.now()).len();
                if expired > 0 {
                    debug!("journal_expired", kv: { answers = expired });
                }
            }
            message = messages.recv() => match message {
                Some(message) => handle(&mut journal, clock.now(), message),
                None => return,
            },
        }
    }
}

fn handle(journal: &mut Journal, now: Duration, message: Message) {
    match message {
        Message::Append(append, reply) => drop(reply.send(append_tokens(journal, now, append))),
        Message::Take(take, reply) => drop(reply.send(take_over_answer(journal, now, &take))),
        Message::Dump(reply) => {
            let state = State { answers: journal.len(), token_bytes: journal.used_bytes() };
            let _ = reply.send(state);
        }
    }
}

fn append_tokens(journal: &mut Journal, now: Duration, append: wire::Append) -> wire::Appended {
    let origin = append.origin.map(Into::into);
    let result = journal.append(
        now,
        Append {
            id: &append.generation,
            term: append.term,
            from: append.from,
            tokens: &append.tokens,
            origin: origin.as_ref(),
            whole: append.whole,
        },
    );
    match result {
        Ok(next) | Err(Error::Gap(next)) => wire::Appended { next, ..Default::default() },
        Err(Error::Fenced(term)) => wire::Appended { fenced_by: term, ..Default::default() },
        Err(Error::Unknown) => wire::Appended { unknown: true, ..Default::default() },
        Err(Error::Full) => wire::Appended { full: true, ..Default::default() },
    }
}

fn take_over_answer(journal: &mut Journal, now: Duration, take: &wire::Take) -> wire::Taken {
    match journal.take_over(now, &take.generation, &take.account, &take.owner) {
        None => wire::Taken::default(),
        Some(entry) => wire::Taken {
            found: true,
            term: entry.term,
            origin: Some(entry.origin.into()),
            tokens: entry.tokens,
            whole: entry.whole,
        },
    }
}
