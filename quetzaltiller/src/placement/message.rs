//! What the task that owns the table is told.

use super::demand::Demand;
use super::place::{Copy, Placement, Unplaced};
use super::state::{Load, State};
use super::table::Hold;
use crate::fleet::{Directory, Upstream};
use crate::prelude::*;
use crate::routes;
use crate::upstream::Report;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Message; those with a reply are questions.
#[derive(Debug)]
pub enum Message {
    Place { demand: Demand, reply: oneshot::Sender<Result<Placement, Unplaced>> },
    PlaceCopy { demand: Demand, primary: Arc<Upstream>, reply: oneshot::Sender<Option<Copy>> },
    Release(Vec<Hold>),
    Outcome { id: String, outcome: Outcome },
    Configure(Arc<routes::Table>),
    Upstreams(Arc<Directory>),
    Neighbours { all: Vec<String>, of_zone: Vec<String> },
    Reported { id: String, report: Report },
    Heard { member: String, loads: BTreeMap<String, Load> },
    Engines { service: String, reply: oneshot::Sender<Vec<Arc<Upstream>>> },
    Dump(oneshot::Sender<BTreeMap<String, State>>),
}

/// What was learned of an upstream.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// It answered a request.
    Answered,
    /// It showed that its process is the one that is meant.
    Proven,
    /// Some process accepts connections at its address.
    Reached,
    /// It failed a request and can be reached.
    Failed,
    /// A connection broke or fell silent.
    Broken,
    /// It does not accept connections, or another process has its address.
    Gone,
    /// A peer found it gone.
    Reported,
}
