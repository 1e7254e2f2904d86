//! Operators' commands: they read and write objects at the platform and call processes at their
//! operators' addresses.

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

/// Time limit for a call of a process at its operators' address.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two checks of whether a configuration is in force.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Addresses of the platform and of the processes that operators call.
#[derive(Clone, Debug, Default)]
pub struct Addresses {
    /// Address of the platform's object API.
    pub platform: String,
    /// Operators' addresses of routers; one is enough, as a router reports all entry VMs.
    pub operators: Vec<String>,
}

/// A configuration that is in force on every entry VM.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Rollout {
    /// Number of the accepted set.
    pub number: u64,
    /// Names of the entry VMs.
    pub entries: Vec<String>,
    /// Time that the wait took, in milliseconds.
    pub took_ms: u64,
}

/// Overview of entry VMs, pools and upstreams.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Status {
    /// Entry VMs and the number of the set in force on each.
    pub entries: Vec<EntryRow>,
    /// All pools.
    pub pools: Vec<PoolRow>,
    /// All upstreams.
    pub upstreams: Vec<UpstreamRow>,
    /// Statuses of the objects that have faults, by identity as `kind/name`.
    pub faulty: BTreeMap<String, ObjectStatus>,
}

/// State of an entry VM.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct EntryRow {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Number of the set in force.
    pub number: u64,
    /// Whether the entry VM is leaving and takes no new work.
    pub leaving: bool,
    /// Number of open requests.
    pub open: u64,
}

/// State of a pool.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct PoolRow {
    /// Name.
    pub name: String,
    /// Model, version and adapter, as far as set, separated by spaces.
    pub model: String,
    /// Number of upstreams that take new work.
    pub serving: usize,
    /// Number of upstreams that are leaving.
    pub leaving: usize,
    /// Maximum number of concurrent requests, over the upstreams that take new work.
    pub slots: u32,
}

/// An upstream as one router sees it.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct UpstreamRow {
    /// Name.
    pub name: String,
    /// Name of the pool.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the upstream is leaving and takes no new work.
    pub leaving: bool,
    /// Number of requests in flight from the router whose dump was read.
    pub in_flight: u64,
    /// Load by the upstream's last report, if there was one.
    pub reported: Option<u64>,
    /// Number of consecutive failures.
    pub failures: u64,
}

/// Runs operators' commands.
pub struct Session {
    store: HttpStore,
    addresses: Addresses,
}

impl Session {
    /// Creates a session that uses these addresses.
    pub fn new(addresses: Addresses) -> Self {
        Self { store: HttpStore::new(&addresses.platform), addresses }
    }

    /// Compares objects with the stored ones; with `prune`, stored objects that are not among them
    /// are listed as removed.
    pub async fn diff(&self, objects: &[Object], prune: bool) -> Result<Vec<Row>, Error> {
        Ok(apply::diff(&apply::stored_objects(&self.store).await?, objects, prune))
    }

    /// Writes objects; with `prune`, removes stored objects that are not among them.
    pub async fn apply(&self, objects: &[Object], prune: bool) -> Result<Vec<Row>, Error> {
        let current = apply::stored_objects(&self.store).await?;
        let rows = apply::diff(&current, objects, prune);
        let written = apply::write(&self.store, &current, objects, &rows).await;
        written.map_err(|(id, error)| match error {
            platform::Error::Conflict => Error::Conflict(id.to_string()),
            other => other.into(),
        })?;
        Ok(rows)
    }

    /// Waits until the stored objects are in force on every entry VM; [`Error::Late`] after
    /// `limit`.
    pub async fn wait(&self, limit: Duration) -> Result<Rollout, Error> {
        let started = Instant::now();
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
                        let took_ms = started.elapsed().as_millis() as u64;
                        return Ok(Rollout { number, entries, took_ms });
                    }
                    format!("{} hold less than number {number}", behind.join(", "))
                }
            };
            if started.elapsed() > limit {
                return Err(Error::Late(waiting));
            }
            sleep(POLL_PAUSE).await;
        }
    }

    /// Reads stored objects: all, those of a kind, or one; [`Error::Unknown`] if none has the name.
    pub async fn get(&self, kind: Option<Kind>, name: Option<&str>) -> Result<Vec<Object>, Error> {
        let current = apply::stored_objects(&self.store).await?;
        let objects = current.values().filter_map(|stored| parse_object(&stored.value).ok());
        let matches = |object: &Object| {
            let id = object.id();
            kind.is_none_or(|kind| kind == id.kind) && name.is_none_or(|name| name == id.name)
        };
        let found: Vec<_> = objects.filter(matches).collect();
        match name {
            Some(name) if found.is_empty() => Err(Error::Unknown(name.to_owned())),
            _ => Ok(found),
        }
    }

    /// Marks an upstream as leaving, or as no longer leaving.
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

    /// Starts a graceful shutdown of the process at an operators' address.
    pub async fn leave(&self, address: &str) -> Result<(), Error> {
        let outgoing = Outgoing::new(Method::POST, "/leave");
        let answered = fetch(address, outgoing, CALL_TIMEOUT).await;
        answered.map(drop).map_err(|_| Error::Operators(address.to_owned()))
    }

    /// Reads the state dump of the process at an operators' address.
    pub async fn dump(&self, address: &str) -> Result<Value, Error> {
        let outgoing = Outgoing::new(Method::GET, "/dump");
        let unreachable = || Error::Operators(address.to_owned());
        let response = fetch(address, outgoing, CALL_TIMEOUT).await.map_err(|_| unreachable())?;
        serde_json::from_slice(response.body()).map_err(|_| unreachable())
    }

    /// Reads the state of entry VMs, pools and upstreams.
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

    /// Reads the dump of the first router that answers.
    async fn router(&self) -> Result<Value, Error> {
        for address in &self.addresses.operators {
            if let Ok(dump) = self.dump(address).await {
                return Ok(dump);
            }
        }
        if self.addresses.operators.is_empty() {
            return Err(Error::NoOperators);
        }
        Err(Error::Operators(self.addresses.operators.join(", ")))
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
        let others = others.map(|heartbeat| EntryRow {
            name: text(&heartbeat["name"]),
            zone: text(&heartbeat["zone"]),
            number: number(&heartbeat["number"]),
            leaving: heartbeat["leaving"] == true,
            open: number(&heartbeat["open"]),
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
