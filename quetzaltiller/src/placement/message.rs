//! Messages to the task that owns the table.

use super::allocation::Allocation;
use super::assignment::Assignment;
use super::booking::{Booked, Booking};
use super::demand::{Demand, Run};
use super::limit::Statement;
use super::place::{Copy, Placement, Unplaced};
use super::shares::Peer;
use super::sign::Sign;
use super::state::{Load, State};
use crate::control::Member;
use crate::fleet::{Directory, Upstream};
use crate::prelude::*;
use crate::routes;
use crate::upstream::{Availability, Report};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Message to the task; the variants with a `reply` are requests.
#[derive(Debug)]
pub enum Message {
    /// Choose upstreams for `demand`. If `books`, a choice that needs a booking is returned without
    /// a reservation; otherwise every choice is reserved at once.
    Place {
        demand: Demand,
        books: bool,
        reply: oneshot::Sender<Result<PlaceReply, Unplaced>>,
    },
    /// Reserve an assignment that the engine's registrar accepted, or for which it did not answer.
    Reserve {
        assignment: Assignment,
        run: Run,
        reply: oneshot::Sender<Option<Placement>>,
    },
    /// A registrar answered a booking at an engine.
    BookingReply {
        upstream: String,
        booked: Booked,
    },
    /// Another entry VM books at an engine of which this one is the registrar.
    Book {
        booking: Booking,
        reply: oneshot::Sender<Option<Booked>>,
    },
    /// Another entry VM asks for a request of this one's part of an upstream's limit.
    Lend {
        upstream: String,
        reply: oneshot::Sender<bool>,
    },
    /// Another entry VM has lent a request to an upstream.
    Lent {
        upstream: String,
    },
    /// Choose and reserve an engine for a copy of a run at `primary`.
    PlaceCopy {
        demand: Demand,
        primary: Arc<Upstream>,
        reply: oneshot::Sender<Option<Copy>>,
    },
    /// Release the allocations of a dropped permit.
    Release(Vec<Allocation>),
    /// The health of an upstream was observed.
    Outcome {
        id: String,
        outcome: Outcome,
    },
    /// An upstream announced its availability in the answer to a question sent at `asked_at`; without
    /// an `id`, it is the one that was at `address` then.
    AvailabilityChanged {
        address: SocketAddr,
        id: Option<String>,
        asked_at: Duration,
        availability: Availability,
    },
    /// A peer reported the limit that an upstream states.
    PeerStatement {
        id: String,
        statement: Statement,
    },
    /// A peer reported that an incarnation of an upstream has announced that it leaves.
    PeerDeparture {
        id: String,
        incarnation: u64,
    },
    /// A prompt that did not wait for others was read.
    PrefillMeasured {
        tokens: u32,
        took: Duration,
    },
    /// A run finished.
    RunMeasured {
        took: Duration,
    },
    Configure(Arc<routes::Table>),
    Upstreams(Arc<Directory>),
    /// Other entry VMs that are alive, and all that may be running.
    Members {
        alive: Vec<Peer>,
        known: Vec<Member>,
    },
    /// The store has listed the entry VMs.
    MembersListed,
    /// An engine answered a poll for its report, which was sent at `asked_at`.
    EngineReport {
        id: String,
        report: Report,
        asked_at: Duration,
    },
    /// Another entry VM sent the loads that it has placed on upstreams.
    PeerLoads {
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
    /// Copy the states of all upstreams.
    Dump(oneshot::Sender<BTreeMap<String, State>>),
}

/// Reply to [`Message::Place`].
#[derive(Debug)]
pub enum PlaceReply {
    /// The choice is reserved.
    Placed(Placement),
    /// The choice has to be booked at the engine's registrar before it is reserved.
    NeedsBooking(Assignment, Booking),
}

/// Observation about an upstream's health.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// The upstream answered a request.
    Answered(Sign),
    /// The upstream's own process showed that it ran.
    Proven(Sign),
    /// A stream delivered an event, which its upstream may have sent long ago.
    Delivered,
    /// Some process accepts connections at the upstream's address.
    Reachable,
    /// The upstream failed a request and is still reachable.
    Failed,
    /// A connection to the upstream broke or fell silent.
    Disconnected,
    /// The upstream does not accept connections, or another process has its address.
    Unreachable,
    /// A peer reported the upstream as lost.
    PeerUnreachable,
}
