//! Writes operators' objects to the platform with conditional updates.

use crate::objects::{Id, Object};
use crate::platform::{CONFIG_PREFIX, Error, STATUS_PREFIX, Store, Stored};
use crate::steward::{Status, object_key, parse_object};
use serde::Serialize;
use std::collections::BTreeMap;

/// What would happen, or happened, to one object.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// It did not exist.
    Create,
    /// It differs.
    Replace,
    /// It is the same.
    Same,
    /// It exists and is not among the given ones.
    Remove,
}

/// One object and its change.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Row {
    /// Object.
    pub object: Id,
    /// Change.
    pub change: Change,
}

/// Objects as stored, by key.
pub type Present = BTreeMap<String, Stored>;

/// Reads the stored objects.
pub async fn present(store: &dyn Store) -> Result<Present, Error> {
    let stored = store.list(CONFIG_PREFIX).await?;
    Ok(stored.into_iter().map(|stored| (stored.key.clone(), stored)).collect())
}

/// Compares given objects with stored ones; with `prune`, those not given are to be removed.
pub fn diff(present: &Present, objects: &[Object], prune: bool) -> Vec<Row> {
    let mut rows: Vec<_> = objects
        .iter()
        .map(|object| {
            let id = object.id();
            let known = present.get(&object_key(&id));
            let change = match known.map(|stored| parse_object(&stored.value)) {
                None => Change::Create,
                Some(Ok(known)) if known == *object => Change::Same,
                Some(_) => Change::Replace,
            };
            Row { object: id, change }
        })
        .collect();
    if prune {
        rows.extend(surplus(present, objects));
    }
    rows
}

fn surplus(present: &Present, objects: &[Object]) -> Vec<Row> {
    let given: Vec<_> = objects.iter().map(|object| object_key(&object.id())).collect();
    let kept = present.iter().filter(|(key, _)| !given.contains(key));
    let known = kept.filter_map(|(_, stored)| parse_object(&stored.value).ok());
    known.map(|object| Row { object: object.id(), change: Change::Remove }).collect()
}

/// Writes the changes of `rows`; a conflict means that another operator changed the object.
pub async fn write(
    store: &dyn Store,
    present: &Present,
    objects: &[Object],
    rows: &[Row],
) -> Result<(), (Id, Error)> {
    for row in rows {
        let key = object_key(&row.object);
        let version = present.get(&key).map_or(0, |stored| stored.version);
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

/// Status of each stored object, by identity as in `kind/name`.
pub async fn statuses(store: &dyn Store) -> Result<BTreeMap<String, Status>, Error> {
    let stored = store.list(STATUS_PREFIX).await?;
    let parsed = stored.into_iter().filter_map(|stored| {
        let id = stored.key.strip_prefix(STATUS_PREFIX)?.to_owned();
        Some((id, serde_json::from_str(&stored.value).ok()?))
    });
    Ok(parsed.collect())
}

/// How far the stewards are with what is stored.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Progress {
    /// Some objects have not been reviewed yet.
    Waiting,
    /// All are accepted; in force where this number is.
    Accepted(u64),
    /// Some have faults.
    Faulty(Vec<(String, Status)>),
}

/// Tells how far the stewards are with what is stored.
pub async fn progress(store: &dyn Store) -> Result<Progress, Error> {
    let present = present(store).await?;
    let statuses = statuses(store).await?;
    let mut number = 0;
    let mut waiting = present.is_empty();
    let mut faulty = Vec::new();
    for (key, stored) in &present {
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
