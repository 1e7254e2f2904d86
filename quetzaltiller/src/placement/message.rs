//! What the task that owns the table is told.

use super::allocation::Allocation;
use super::assignment::Assignment;
use super::booking::{Booked, Booking};
use super::demand::{Demand, Run};
use super::place::{Copy, Placement, Unplaced};
use super::shares::Peer;
use super::state::{Load, State};
use crate::fleet::{Directory, Upstream};
use crate::prelude::*;
use crate::routes;
use crate::upstream::{Availability, Report};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Message; those with a reply are questions.
#[derive(Debug)]
pub enum Message {
    /// Choose; unless it `books`, the choice is taken as it is.
    Place {
        demand: Demand,
        books: bool,
        reply: oneshot::Sender<Result<Choosing, Unplaced>>,
    },
    /// Hold a place that its registrar accepted, or did not answer for.
    Hold {
        assignment: Assignment,
        run: Run,
        reply: oneshot::Sender<Placement>,
    },
    /// A registrar's word on an engine.
    Corrected {
        upstream: String,
        booked: Booked,
    },
    /// Another entry VM books at an engine of which this one is the registrar.
    Book {
        booking: Booking,
        reply: oneshot::Sender<Option<Booked>>,
    },
    PlaceCopy {
        demand: Demand,
        primary: Arc<Upstream>,
        reply: oneshot::Sender<Option<Copy>>,
    },
    Release(Vec<Allocation>),
    Outcome {
        id: String,
        outcome: Outcome,
    },
    /// What an upstream says of itself; without an `id`, whoever has the address.
    Stands {
        address: SocketAddr,
        id: Option<String>,
        availability: Availability,
    },
    /// A peer heard an incarnation of an upstream say that it leaves.
    Departs {
        id: String,
        incarnation: u64,
    },
    /// A prompt was read that did not wait.
    Read {
        tokens: u32,
        took: Duration,
    },
    /// A run was whole.
    Ran {
        took: Duration,
    },
    Configure(Arc<routes::Table>),
    Upstreams(Arc<Directory>),
    Members(Vec<Peer>),
    Reported {
        id: String,
        report: Report,
    },
    Heard {
        member: String,
        loads: BTreeMap<String, Load>,
    },
    Engines {
        service: String,
        reply: oneshot::Sender<Vec<Arc<Upstream>>>,
    },
    OwnEngines {
        service: String,
        reply: oneshot::Sender<Vec<Arc<Upstream>>>,
    },
    Dump(oneshot::Sender<BTreeMap<String, State>>),
}

/// A choice: held already, or to be booked first.
#[derive(Debug)]
pub enum Choosing {
    /// Held.
    Held(Placement),
    /// To be booked.
    ToBook(Assignment, Booking),
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
