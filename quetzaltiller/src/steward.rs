//! The steward: validates operators' objects and accepts them as one numbered set.
//!
//! Stewards run on every entry VM and race; the conditional update of the accepted object settles
//! it. An invalid object keeps the last accepted set in force and is named in its status.

use crate::metrics::{Counter, Metrics};
use crate::objects::{Accepted, Fault, Id, Object, Set};
use crate::platform::{ACCEPTED_KEY, CONFIG_PREFIX, Error, STATUS_PREFIX, Store, Stored};
use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const RETRY: Duration = Duration::from_millis(200);
/// Changes that follow each other within this time are accepted as one set.
const SETTLE: Duration = Duration::from_millis(50);

/// Status of one object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub struct Status {
    /// Version of the object that this speaks of.
    pub version: u64,
    /// Number of the accepted set that contains this version, if one does.
    pub accepted: Option<u64>,
    /// Why it is not accepted.
    pub faults: Vec<Fault>,
}

/// Result of validating all objects together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Review {
    /// Objects that can be read.
    pub objects: Vec<Object>,
    /// Faults by object key relative to the prefix.
    pub faults: BTreeMap<String, Vec<Fault>>,
}

/// Validates objects as stored under [`CONFIG_PREFIX`].
pub fn review(stored: &[Stored]) -> Review {
    let mut readable = Vec::new();
    let mut unreadable = Vec::new();
    for entry in stored {
        let key = entry.key.trim_start_matches(CONFIG_PREFIX);
        match parse(key, &entry.value) {
            Ok(object) => readable.push(object),
            Err(fault) => unreadable.push((key, fault)),
        }
    }
    let mut review = review_objects(&readable);
    for (key, fault) in unreadable {
        review.add(key, fault);
    }
    review
}

/// Validates objects alone and together.
pub fn review_objects(objects: &[Object]) -> Review {
    let mut review = Review { objects: objects.to_vec(), faults: BTreeMap::new() };
    let mut set = Set::default();
    for object in objects {
        let id = object.id().to_string();
        object.faults().into_iter().for_each(|fault| review.add(&id, fault));
        set.insert(object.clone());
    }
    for (id, fault) in set.joint_faults() {
        review.add(&id.to_string(), fault);
    }
    review
}

impl Review {
    fn add(&mut self, key: &str, fault: Fault) {
        self.faults.entry(key.to_owned()).or_default().push(fault);
    }
}

fn parse(key: &str, json: &str) -> Result<Object, Fault> {
    let object = parse_object(json)?;
    let id = object.id().to_string();
    if id == key {
        return Ok(object);
    }
    Err(Fault::new("name", id, format!("kind and name as in the key {key}")))
}

/// Reads one object; a fault names the path of what can't be read.
pub fn parse_object(json: &str) -> Result<Object, Fault> {
    let deserializer = &mut serde_json::Deserializer::from_str(json);
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let allowed = "an object as docs/INTERFACES.md describes it";
        Fault::new(error.path().to_string(), error.inner().to_string(), allowed)
    })
}

/// The task of one entry VM.
pub struct Steward {
    store: Arc<dyn Store>,
    metrics: Arc<Metrics>,
}

impl Steward {
    /// A steward over the platform.
    pub fn new(store: Arc<dyn Store>, metrics: Arc<Metrics>) -> Self {
        Self { store, metrics }
    }

    /// Reviews at each change of an object, forever.
    pub async fn run(self) {
        let mut seen = 0;
        loop {
            match self.round(seen).await {
                Ok(newest) => seen = newest,
                Err(error) => {
                    debug!("steward_round_failed", kv: { reason:? = error.to_string() });
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    /// Waits for a change since version `seen` and reviews all objects; returns the version that
    /// was reviewed.
    pub async fn round(&self, seen: u64) -> Result<u64, Error> {
        self.metrics.count(Counter::StoreCall);
        let newest = self.store.watch(CONFIG_PREFIX, seen).await?;
        if newest > seen || seen == 0 {
            tokio::time::sleep(SETTLE).await;
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
        let present = self.store.list(STATUS_PREFIX).await?;
        let present: BTreeMap<_, _> = present.iter().map(|entry| (&entry.key, entry)).collect();
        for entry in stored {
            let name = entry.key.trim_start_matches(CONFIG_PREFIX);
            let key = format!("{STATUS_PREFIX}{name}");
            let faults = review.faults.get(name).cloned().unwrap_or_default();
            let status = Status { version: entry.version, accepted: number, faults };
            self.write_one(&key, present.get(&key).copied(), &status).await?;
        }
        Ok(())
    }

    async fn write_one(
        &self,
        key: &str,
        present: Option<&Stored>,
        status: &Status,
    ) -> Result<(), Error> {
        let known = present.and_then(|stored| serde_json::from_str::<Status>(&stored.value).ok());
        if known.as_ref().is_some_and(|known| is_current(known, status)) {
            return Ok(());
        }
        let json = serde_json::to_string(status).map_err(|e| Error::Protocol(e.to_string()))?;
        self.metrics.count(Counter::StoreCall);
        let written = match present {
            None => self.store.create(key, &json).await,
            Some(stored) => self.store.replace(key, stored.version, &json).await,
        };
        match written {
            Ok(_) | Err(Error::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

/// Whether `known` says all that `status` would; an earlier number for the same version does.
fn is_current(known: &Status, status: &Status) -> bool {
    let accepted = known.accepted.is_some() || status.accepted.is_none();
    known.version == status.version && known.faults == status.faults && accepted
}

/// Key under which an object is stored.
pub fn object_key(id: &Id) -> String {
    format!("{CONFIG_PREFIX}{id}")
}
