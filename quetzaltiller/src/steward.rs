//! The steward validates operators' objects and accepts them as one numbered set.
//!
//! A steward runs on every entry VM, and several may review the same change at once. The accepted
//! set is written with a conditional update, so only one of them succeeds. While any object is
//! invalid, the last accepted set stays in force, and the status of each invalid object lists its
//! faults.

use crate::metrics::{Counter, Metrics};
use crate::objects::{Accepted, Fault, Id, Object, Set};
use crate::platform::{ACCEPTED_KEY, CONFIG_PREFIX, Error, STATUS_PREFIX, Store, Stored};
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Pause between a failed round and the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Wait between the first change and the review, so that changes in quick succession are accepted
/// as one set.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Review result of one object, stored under [`STATUS_PREFIX`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Status {
    /// Version of the object that was reviewed.
    pub version: u64,
    /// Number of the accepted set that contains this version, if any.
    pub accepted: Option<u64>,
    /// Faults for which this version is not accepted.
    pub faults: Vec<Fault>,
}

/// Result of validating all objects together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Review {
    /// Objects that could be parsed.
    pub objects: Vec<Object>,
    /// Faults by object key, relative to [`CONFIG_PREFIX`].
    pub faults: BTreeMap<String, Vec<Fault>>,
}

/// Validates the objects stored under [`CONFIG_PREFIX`].
pub fn review(stored: &[Stored]) -> Review {
    let mut parsed = Vec::new();
    let mut unparsed = Vec::new();
    for entry in stored {
        let key = entry.key.trim_start_matches(CONFIG_PREFIX);
        match parse_stored(key, &entry.value) {
            Ok(object) => parsed.push(object),
            Err(fault) => unparsed.push((key, fault)),
        }
    }
    let mut review = review_objects(&parsed);
    for (key, fault) in unparsed {
        review.add_fault(key, fault);
    }
    review
}

/// Validates each object by itself and all objects jointly.
pub fn review_objects(objects: &[Object]) -> Review {
    let mut review = Review { objects: objects.to_vec(), faults: BTreeMap::new() };
    let mut set = Set::default();
    for object in objects {
        let id = object.id().to_string();
        object.faults().into_iter().for_each(|fault| review.add_fault(&id, fault));
        set.insert(object.clone());
    }
    for (id, fault) in set.joint_faults() {
        review.add_fault(&id.to_string(), fault);
    }
    review
}

impl Review {
    fn add_fault(&mut self, key: &str, fault: Fault) {
        self.faults.entry(key.to_owned()).or_default().push(fault);
    }
}

fn parse_stored(key: &str, json: &str) -> Result<Object, Fault> {
    let object = parse_object(json)?;
    let id = object.id().to_string();
    if id == key {
        return Ok(object);
    }
    Err(Fault::new("name", id, format!("kind and name as in the key {key}")))
}

/// Parses one object from JSON; the fault names the path of the value that can't be read.
pub fn parse_object(json: &str) -> Result<Object, Fault> {
    let deserializer = &mut serde_json::Deserializer::from_str(json);
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let allowed = "an object as docs/INTERFACES.md describes it";
        Fault::new(error.path().to_string(), error.inner().to_string(), allowed)
    })
}

/// Reviews operators' objects on one entry VM.
pub struct Steward {
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
}

impl Steward {
    /// Creates a steward over the platform's object API.
    pub fn new(store: Arc<dyn Store>, metrics: Arc<Metrics>) -> Self {
        Self { store, metrics }
    }

    /// Reviews all objects after each change of one, forever.
    pub async fn run(self) {
        let mut seen = 0;
        loop {
            match self.round(seen).await {
                Ok(newest) => seen = newest,
                Err(error) => {
                    debug!("steward_round_failed", kv: { reason:? = error.to_string() });
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Waits for a change after version `seen` and reviews all objects; 0 reviews them in any case.
    /// Returns the newest version that the watch reported.
    pub async fn round(&self, seen: u64) -> Result<u64, Error> {
        self.metrics.count(Counter::StoreCall);
        let newest = self.store.watch(CONFIG_PREFIX, seen).await?;
        if newest > seen || seen == 0 {
            tokio::time::sleep(SETTLE_TIME).await;
            self.review_all().await?;
        }
        Ok(newest)
    }

    async fn review_all(&self) -> Result<(), Error> {
        self.metrics.count(Counter::StoreCall);
        let current = self.store.read(ACCEPTED_KEY).await?;
        self.metrics.count(Counter::StoreCall);
        let stored = self.store.list(CONFIG_PREFIX).await?;
        let review = review(&stored);
        let number = if review.faults.is_empty() && !stored.is_empty() {
            Some(self.accept(current, &review.objects).await?)
        } else {
            None
        };
        self.write_status(&stored, &review, number).await
    }

    async fn accept(&self, current: Option<Stored>, objects: &[Object]) -> Result<u64, Error> {
        let accepted: Accepted = match &current {
            None => Accepted::default(),
            Some(stored) => serde_json::from_str(&stored.value)
                .map_err(|error| Error::Protocol(error.to_string()))?,
        };
        if accepted.objects == objects {
            return Ok(accepted.number);
        }
        let next = Accepted { number: accepted.number + 1, objects: objects.to_vec() };
        let json = serde_json::to_string(&next).map_err(|e| Error::Protocol(e.to_string()))?;
        self.metrics.count(Counter::StoreCall);
        match current {
            None => self.store.create(ACCEPTED_KEY, &json).await?,
            Some(stored) => self.store.replace(ACCEPTED_KEY, stored.version, &json).await?,
        };
        info!("configuration_accepted", kv: { number = next.number, objects = objects.len() });
        Ok(next.number)
    }

    async fn write_status(
        &self,
        stored: &[Stored],
        review: &Review,
        number: Option<u64>,
    ) -> Result<(), Error> {
        self.metrics.count(Counter::StoreCall);
        let statuses = self.store.list(STATUS_PREFIX).await?;
        let statuses: BTreeMap<_, _> = statuses.iter().map(|entry| (&entry.key, entry)).collect();
        for entry in stored {
            let name = entry.key.trim_start_matches(CONFIG_PREFIX);
            let key = format!("{STATUS_PREFIX}{name}");
            let faults = review.faults.get(name).cloned().unwrap_or_default();
            let status = Status { version: entry.version, accepted: number, faults };
            self.write_object_status(&key, statuses.get(&key).copied(), &status).await?;
        }
        Ok(())
    }

    async fn write_object_status(
        &self,
        key: &str,
        previous: Option<&Stored>,
        status: &Status,
    ) -> Result<(), Error> {
        let known = previous.and_then(|stored| serde_json::from_str::<Status>(&stored.value).ok());
        if known.as_ref().is_some_and(|known| is_current(known, status)) {
            return Ok(());
        }
        let json = serde_json::to_string(status).map_err(|e| Error::Protocol(e.to_string()))?;
        self.metrics.count(Counter::StoreCall);
        let written = match previous {
            None => self.store.create(key, &json).await,
            Some(stored) => self.store.replace(key, stored.version, &json).await,
        };
        match written {
            Ok(_) | Err(Error::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// Whether the stored status `known` can stay in place of `status`: same version, same faults, and
/// either an accepted number, which may be of an earlier set, or none in `status`.
fn is_current(known: &Status, status: &Status) -> bool {
    let accepted = known.accepted.is_some() || status.accepted.is_none();
    known.version == status.version && known.faults == status.faults && accepted
}

/// Key under which the platform stores an object.
pub fn object_key(id: &Id) -> String {
    format!("{CONFIG_PREFIX}{id}")
}
