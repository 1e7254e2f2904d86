//! Compares operators' objects with the stored ones, writes the changes with conditional updates,
//! and reads how far the stewards have reviewed them.

use crate::objects::{Id, Object};
use crate::platform::{CONFIG_PREFIX, Error, STATUS_PREFIX, Store, Stored};
use crate::steward::{Status, object_key, parse_object};
use serde::Serialize;
use std::collections::BTreeMap;

/// Planned or completed change of one object.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The object does not exist yet.
    Create,
    /// The stored object differs.
    Replace,
    /// The stored object is the same.
    Same,
    /// The stored object is not among the given ones.
    Remove,
}

/// Identity of an object and its change.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Row {
    /// Identity of the object.
    pub object: Id,
    /// Change of the object.
    pub change: Change,
}

/// Stored objects by key.
pub type StoredObjects = BTreeMap<String, Stored>;

/// Reads the stored objects.
pub async fn stored_objects(store: &dyn Store) -> Result<StoredObjects, Error> {
    let stored = store.list(CONFIG_PREFIX).await?;
    Ok(stored.into_iter().map(|stored| (stored.key.clone(), stored)).collect())
}

/// Compares `objects` with the stored ones in `current`; with `prune`, stored objects that are not
/// among `objects` are to be removed.
pub fn diff(current: &StoredObjects, objects: &[Object], prune: bool) -> Vec<Row> {
    let mut rows: Vec<_> = objects
        .iter()
        .map(|object| {
            let id = object.id();
            let stored = current.get(&object_key(&id));
            let change = match stored.map(|stored| parse_object(&stored.value)) {
                None => Change::Create,
                Some(Ok(parsed)) if parsed == *object => Change::Same,
                Some(_) => Change::Replace,
            };
            Row { object: id, change }
        })
        .collect();
    if prune {
        rows.extend(removals(current, objects));
    }
    rows
}

fn removals(current: &StoredObjects, objects: &[Object]) -> Vec<Row> {
    let given: Vec<_> = objects.iter().map(|object| object_key(&object.id())).collect();
    let unlisted = current.iter().filter(|(key, _)| !given.contains(key));
    let removed = unlisted.filter_map(|(_, stored)| parse_object(&stored.value).ok());
    removed.map(|object| Row { object: object.id(), change: Change::Remove }).collect()
}

/// Writes the changes of `rows` and stops at the first failure, which is returned with its object.
/// [`Error::Conflict`] means that another operator changed the object meanwhile.
pub async fn write(
    store: &dyn Store,
    current: &StoredObjects,
    objects: &[Object],
    rows: &[Row],
) -> Result<(), (Id, Error)> {
    for row in rows {
        let key = object_key(&row.object);
        let version = current.get(&key).map_or(0, |stored| stored.version);
        let object = objects.iter().find(|object| object.id() == row.object);
        let json = object.map(|object| serde_json::to_string(object).unwrap_or_default());
        let written = match (row.change, &json) {
            (Change::Create, Some(json)) => store.create(&key, json).await.map(drop),
            (Change::Replace, Some(json)) => store.replace(&key, version, json).await.map(drop),
            (Change::Remove, _) => store.remove(&key, version).await,
            _ => Ok(()),
        };
        written.map_err(|error| (row.object.clone(), error))?;
    }
    Ok(())
}

/// Reads the status of each object, by identity as `kind/name`.
pub async fn statuses(store: &dyn Store) -> Result<BTreeMap<String, Status>, Error> {
    let stored = store.list(STATUS_PREFIX).await?;
    let parsed = stored.into_iter().filter_map(|stored| {
        let id = stored.key.strip_prefix(STATUS_PREFIX)?.to_owned();
        Some((id, serde_json::from_str(&stored.value).ok()?))
    });
    Ok(parsed.collect())
}

/// State of the stewards' review of the stored objects.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// There are no objects, or some have not been reviewed yet.
    Waiting,
    /// All objects are accepted; they are in force on every entry VM that holds a set with this
    /// number or a later one.
    Accepted(u64),
    /// Some objects have faults; their identities and statuses.
    Faulty(Vec<(String, Status)>),
}

/// Reads the state of the stewards' review of the stored objects.
pub async fn progress(store: &dyn Store) -> Result<Progress, Error> {
    let objects = stored_objects(store).await?;
    let statuses = statuses(store).await?;
    let mut number = 0;
    let mut waiting = objects.is_empty();
    let mut faulty = Vec::new();
    for (key, stored) in &objects {
        let id = key.trim_start_matches(CONFIG_PREFIX);
        match statuses.get(id).filter(|status| status.version == stored.version) {
            Some(status) if !status.faults.is_empty() => faulty.push((id.into(), status.clone())),
            Some(Status { accepted: Some(accepted), .. }) => number = number.max(*accepted),
            _ => waiting = true,
        }
    }
    Ok(match (faulty.is_empty(), waiting) {
        (false, _) => Progress::Faulty(faulty),
        (true, true) => Progress::Waiting,
        (true, false) => Progress::Accepted(number),
    })
}
