//! Registry of the generations that this process serves, by id.

use crate::mailbox::Mailbox;
use crate::scope::Scope;
use crate::session::{Session, Status};
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};

enum Message {
    Insert(String, Session),
    Remove(String),
    Get(String, oneshot::Sender<Option<Session>>),
    All(oneshot::Sender<Vec<Session>>),
    Dump(oneshot::Sender<BTreeMap<String, Status>>),
}

/// Handle to the task that owns the sessions.
#[derive(Clone)]
pub struct Registry {
    mailbox: Mailbox<Message>,
}

impl Registry {
    /// Starts the owning task in `scope`.
    pub fn start(scope: &Scope) -> Self {
        let (mailbox, messages) = Mailbox::new();
        scope.spawn(handle_messages(messages));
        Self { mailbox }
    }

    /// Adds a generation's session; replaces an earlier one of the same id.
    pub fn insert(&self, generation: &str, session: Session) {
        self.mailbox.send(Message::Insert(generation.to_owned(), session));
    }

    /// Removes a generation's session.
    pub fn remove(&self, generation: &str) {
        self.mailbox.send(Message::Remove(generation.to_owned()));
    }

    /// Session of a generation; `None` if it is unknown or belongs to another account.
    pub async fn get(&self, generation: &str, account: &str) -> Option<Session> {
        let message = |reply| Message::Get(generation.to_owned(), reply);
        let session = self.mailbox.request(message).await.flatten()?;
        (session.account() == account).then_some(session)
    }

    /// Sessions of all generations.
    pub async fn all(&self) -> Vec<Session> {
        self.mailbox.request(Message::All).await.unwrap_or_default()
    }

    /// Status of each generation, by id, for the state dump.
    pub async fn dump(&self) -> BTreeMap<String, Status> {
        self.mailbox.request(Message::Dump).await.unwrap_or_default()
    }
}

async fn handle_messages(mut messages: mpsc::UnboundedReceiver<Message>) {
    let mut sessions: BTreeMap<String, Session> = BTreeMap::new();
    while let Some(message) = messages.recv().await {
        match message {
            Message::Insert(generation, session) => drop(sessions.insert(generation, session)),
            Message::Remove(generation) => drop(sessions.remove(&generation)),
            Message::Get(generation, reply) => drop(reply.send(sessions.get(&generation).cloned())),
            Message::All(reply) => drop(reply.send(sessions.values().cloned().collect())),
            Message::Dump(reply) => {
                let statuses = sessions.iter().map(|(id, session)| (id.clone(), session.status()));
                let _ = reply.send(statuses.collect());
            }
        }
    }
}
