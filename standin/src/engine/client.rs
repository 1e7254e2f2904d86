//! Client through which one party reaches the engines of a system in process.

use super::batch::Engine;
use crate::network::Network;
use async_trait::async_trait;
use futures::StreamExt as _;
use futures::stream;
use quetzaltiller::engine::{Attempt, CacheEvent, Client, Error, Report, Stream, Submission};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Client for engines by address, which passes every call and answer through the network.
#[derive(Clone)]
pub struct Fleet {
    engines: Arc<BTreeMap<String, Engine>>,
    network: Network,
    reader: Arc<str>,
}

impl Fleet {
    /// Creates the client of `reader`, the party's name on the network; the engines' addresses are
    /// their names there.
    pub fn new(engines: Arc<BTreeMap<String, Engine>>, network: Network, reader: &str) -> Self {
        Self { engines, network, reader: reader.into() }
    }

    async fn reach(&self, address: &str) -> Result<&Engine, Error> {
        let engine = self.engines.get(address).ok_or(Error::Refused)?;
        self.network.deliver(&self.reader, address).await.map_err(|_| Error::Refused)?;
        Ok(engine)
    }

    async fn answer(&self, address: &str) -> Result<(), Error> {
        self.network.deliver(address, &self.reader).await.map_err(|_| Error::Reset)
    }

    fn stream(&self, engine: &Engine, cursor: super::state::Cursor) -> Stream {
        let position = (engine.clone(), cursor, self.reader.clone());
        stream::unfold(position, |(engine, mut cursor, reader)| async move {
            let chunk = engine.next(&mut cursor, &reader).await?;
            Some((chunk, (engine, cursor, reader)))
        })
        .boxed()
    }
}

#[async_trait]
impl Client for Fleet {
    async fn submit(&self, address: &str, submission: &Submission) -> Result<Stream, Error> {
        let engine = self.reach(address).await?;
        let cursor = engine.submit(submission)?;
        self.answer(address).await?;
        Ok(self.stream(engine, cursor))
    }

    async fn reattach(&self, attempt: &Attempt, from: u32) -> Result<Stream, Error> {
        let engine = self.reach(&attempt.address).await?;
        let cursor = engine.reattach(&attempt.generation, attempt.number, from);
        self.answer(&attempt.address).await?;
        Ok(self.stream(engine, cursor?))
    }

    async fn cancel(&self, attempt: &Attempt) -> Result<(), Error> {
        let engine = self.reach(&attempt.address).await?;
        engine.cancel(&attempt.generation, attempt.number);
        self.answer(&attempt.address).await
    }

    async fn report(&self, address: &str) -> Result<Report, Error> {
        let report = self.reach(address).await?.report();
        self.answer(address).await?;
        Ok(report)
    }

    async fn cache_events(&self, address: &str, after: u64) -> Result<Vec<CacheEvent>, Error> {
        let events = self.reach(address).await?.cache_events(after);
        self.answer(address).await?;
        Ok(events)
    }
}
