//! What an operator does, over the platform and the operators' addresses.

use super::error::Error;
use crate::adapters::{HttpStore, Method, Outgoing, fetch};
use crate::apply::{self, Progress, Row};
use crate::objects::{Id, Kind, Object};
use crate::platform::{self, Store};
use crate::steward::{Status as ObjectStatus, object_key, parse_object};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(50);

/// Where to reach the system.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Platform's address.
    pub platform: String,
    /// Operators' addresses of routers; one is enough to see all entry VMs.
    pub operators: Vec<String>,
}

/// A configuration that has come in force.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Waited {
    /// Number in force.
    pub number: u64,
    /// Entry VMs that hold it.
    pub entries: Vec<String>,
    /// Time since the objects were written, in milliseconds.
    pub took_ms: u64,
}

/// The system at a glance.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// Entry VMs and the number that each holds.
    pub entries: Vec<EntryRow>,
    /// Pools.
    pub pools: Vec<PoolRow>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamRow>,
    /// Objects that are not in force, with what is wrong.
    pub faulty: BTreeMap<String, ObjectStatus>,
}

/// An entry VM.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryRow {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Number in force.
    pub number: u64,
    /// Takes no new work.
    pub leaving: bool,
    /// Open requests.
    pub open: u64,
}

/// A pool.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PoolRow {
    /// Name.
    pub name: String,
    /// Model and version.
    pub model: String,
    /// Upstreams that take work.
    pub serving: usize,
    /// Upstreams that leave.
    pub leaving: usize,
    /// Requests at once that its upstreams take.
    pub slots: u32,
}

/// An upstream as one router sees it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamRow {
    /// Name.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Takes no new work.
    pub leaving: bool,
    /// Requests of the router that was asked.
    pub in_flight: u64,
    /// Load by the last report.
    pub reported: Option<u64>,
    /// Failures in a row.
    pub failures: u64,
}

/// An operator's session.
pub struct Session {
    store: HttpStore,
    reach: Reach,
}

impl Session {
    /// A session over these addresses.
    pub fn new(reach: Reach) -> Self {
        Self { store: HttpStore::new(&reach.platform), reach }
    }

    /// Compares objects with what is stored.
    pub async fn diff(&self, objects: &[Object], prune: bool) -> Result<Vec<Row>, Error> {
        Ok(apply::diff(&apply::present(&self.store).await?, objects, prune))
    }

    /// Writes objects.
    pub async fn apply(&self, objects: &[Object], prune: bool) -> Result<Vec<Row>, Error> {
        let present = apply::present(&self.store).await?;
        let rows = apply::diff(&present, objects, prune);
        let written = apply::write(&self.store, &present, objects, &rows).await;
        written.map_err(|(id, error)| match error {
            platform::Error::Conflict => Error::Conflict(id.to_string()),
            other => other.into(),
        })?;
        Ok(rows)
    }

    /// Waits until what is stored is in force on every entry VM.
    pub async fn wait(&self, limit: Duration) -> Result<Waited, Error> {
        let began = Instant::now();
        loop {
            let waiting = match apply::progress(&self.store).await? {
                Progress::Faulty(faulty) => return Err(Error::Faulty(faulty.len())),
                Progress::Waiting => "no steward has reviewed all objects".to_owned(),
                Progress::Accepted(number) => {
                    let entries = self.entries(&self.router().await?);
                    let behind: Vec<_> = entries
                        .iter()
                        .filter(|e| e.number < number)
                        .map(|e| e.name.clone())
                        .collect();
                    if behind.is_empty() {
                        let entries = entries.into_iter().map(|entry| entry.name).collect();
                        let took_ms = began.elapsed().as_millis() as u64;
                        return Ok(Waited { number, entries, took_ms });
                    }
                    format!("{} hold less than number {number}", behind.join(", "))
                }
            };
            if began.elapsed() > limit {
                return Err(Error::Late(waiting));
            }
            sleep(POLL).await;
        }
    }

    /// Stored objects, all or of a kind, or one.
    pub async fn get(&self, kind: Option<Kind>, name: Option<&str>) -> Result<Vec<Object>, Error> {
        let present = apply::present(&self.store).await?;
        let objects = present.values().filter_map(|stored| parse_object(&stored.value).ok());
        let fits = |object: &Object| {
            let id = object.id();
            kind.is_none_or(|kind| kind == id.kind) && name.is_none_or(|name| name == id.name)
        };
        let found: Vec<_> = objects.filter(fits).collect();
        match name {
            Some(name) if found.is_empty() => Err(Error::Unknown(name.to_owned())),
            _ => Ok(found),
        }
    }

    /// Marks an upstream as leaving, or takes that back.
    pub async fn drain(&self, upstream: &str, leaving: bool) -> Result<(), Error> {
        let key = object_key(&Id { kind: Kind::Upstream, name: upstream.to_owned() });
        let unknown = || Error::Unknown(format!("upstream/{upstream}"));
        let stored = self.store.read(&key).await?.ok_or_else(unknown)?;
        let object = parse_object(&stored.value).map_err(Error::Object)?;
        let mut changed = object.as_upstream().cloned().ok_or_else(unknown)?;
        changed.leaving = leaving;
        let json = serde_json::to_string(&Object::Upstream(changed)).unwrap_or_default();
        match self.store.replace(&key, stored.version, &json).await {
            Ok(_) => Ok(()),
            Err(platform::Error::Conflict) => Err(Error::Conflict(format!("upstream/{upstream}"))),
            Err(error) => Err(error.into()),
        }
    }

    /// Tells the process at an operators' address to leave gracefully.
    pub async fn leave(&self, address: &str) -> Result<(), Error> {
        let outgoing = Outgoing::new(Method::POST, "/leave");
        let answered = fetch(address, outgoing, CALL_TIMEOUT).await;
        answered.map(drop).map_err(|_| Error::Operators(address.to_owned()))
    }

    /// State dump of the process at an operators' address.
    pub async fn dump(&self, address: &str) -> Result<Value, Error> {
        let outgoing = Outgoing::new(Method::GET, "/dump");
        let unreachable = || Error::Operators(address.to_owned());
        let response = fetch(address, outgoing, CALL_TIMEOUT).await.map_err(|_| unreachable())?;
        serde_json::from_slice(response.body()).map_err(|_| unreachable())
    }

    /// The system at a glance.
    pub async fn status(&self) -> Result<Status, Error> {
        let router = self.router().await?;
        let objects = self.get(None, None).await?;
        let statuses = apply::statuses(&self.store).await?;
        let faulty = statuses.into_iter().filter(|(_, status)| !status.faults.is_empty());
        Ok(Status {
            entries: self.entries(&router),
            pools: pool_rows(&objects),
            upstreams: upstream_rows(&objects, &router),
            faulty: faulty.collect(),
        })
    }

    /// Dump of the first router that answers.
    async fn router(&self) -> Result<Value, Error> {
        for address in &self.reach.operators {
            if let Ok(dump) = self.dump(address).await {
                return Ok(dump);
            }
        }
        if self.reach.operators.is_empty() {
            return Err(Error::NoOperators);
        }
        Err(Error::Operators(self.reach.operators.join(", ")))
    }

    fn entries(&self, router: &Value) -> Vec<EntryRow> {
        let own = EntryRow {
            name: text(&router["name"]),
            zone: text(&router["zone"]),
            number: number(&router["number"]),
            leaving: router["leaving"] == true,
            open: number(&router["open"]),
        };
        let others = router["members"]["alive"].as_array().into_iter().flatten();
        let others = others.map(|beat| EntryRow {
            name: text(&beat["name"]),
            zone: text(&beat["zone"]),
            number: number(&beat["number"]),
            leaving: beat["leaving"] == true,
            open: number(&beat["open"]),
        });
        let mut entries: Vec<_> = others.chain([own]).collect();
        entries.sort_by(|a, b| a.name.cmp(&b.name));
        entries
    }
}

fn pool_rows(objects: &[Object]) -> Vec<PoolRow> {
    let pools = objects.iter().filter_map(Object::as_pool);
    let row = |pool: &crate::objects::Pool| {
        let of_pool = || {
            let upstreams = objects.iter().filter_map(Object::as_upstream);
            upstreams.filter(|upstream| upstream.pool == pool.name)
        };
        let model = [pool.model.as_deref(), pool.version.as_deref(), pool.adapter.as_deref()];
        PoolRow {
            name: pool.name.clone(),
            model: model.into_iter().flatten().collect::<Vec<_>>().join(" "),
            serving: of_pool().filter(|upstream| !upstream.leaving).count(),
            leaving: of_pool().filter(|upstream| upstream.leaving).count(),
            slots: of_pool().filter(|u| !u.leaving).map(|upstream| upstream.slots).sum(),
        }
    };
    pools.map(row).collect()
}

fn upstream_rows(objects: &[Object], router: &Value) -> Vec<UpstreamRow> {
    let upstreams = objects.iter().filter_map(Object::as_upstream);
    let row = |upstream: &crate::objects::Upstream| {
        let state = &router["upstreams"][&upstream.name];
        UpstreamRow {
            name: upstream.name.clone(),
            pool: upstream.pool.clone(),
            zone: upstream.zone.clone(),
            leaving: upstream.leaving,
            in_flight: number(&state["in_flight"]),
            reported: state["reported"].as_u64(),
            failures: number(&state["failures"]),
        }
    };
    upstreams.map(row).collect()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn number(value: &Value) -> u64 {
    value.as_u64().unwrap_or_default()
}
