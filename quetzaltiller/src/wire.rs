//! Messages between entry VMs, encoded as protocol buffers.

mod heartbeat;

pub use heartbeat::Heartbeat;

use crate::control::Version;
use coordination::membership;
use prost::{Message, Oneof};

/// Request of a peer; each is answered by one [`Response`].
#[derive(Clone, Message, PartialEq)]
pub struct Request {
    /// Sequence number that matches answers to requests on one connection.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Content of the request.
    #[prost(oneof = "Ask", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub ask: Option<Ask>,
}

/// Content of a request.
#[derive(Clone, Oneof, PartialEq)]
pub enum Ask {
    /// State of the sender, which shows that it is alive.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Tokens to append to a kept answer.
    #[prost(message, tag = "3")]
    Append(Append),
    /// Request to hand over an unfinished answer to the sender.
    #[prost(message, tag = "4")]
    Take(Take),
    /// Query for the state of a claim of the receiver.
    #[prost(message, tag = "5")]
    Claim(Claim),
    /// Request for the accepted configuration.
    #[prost(message, tag = "6")]
    Pull(Pull),
    /// Request to stop a generation that the receiver serves.
    #[prost(message, tag = "7")]
    Cancel(Cancel),
    /// Request for the upstreams.
    #[prost(message, tag = "8")]
    Upstreams(Pull),
    /// Request to book the prefill of a prompt at an engine.
    #[prost(message, tag = "9")]
    Book(Book),
    /// Query for a cached prompt at the engines assigned to the receiver.
    #[prost(message, tag = "10")]
    Find(Find),
    /// Request for a part of the receiver's share of an upstream's limit.
    #[prost(message, tag = "11")]
    Borrow(Borrow),
}

/// Answer to a [`Request`].
#[derive(Clone, Message, PartialEq)]
pub struct Response {
    /// Sequence number of the request.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Content of the answer.
    #[prost(oneof = "Reply", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub reply: Option<Reply>,
}

/// Content of a response.
#[derive(Clone, Oneof, PartialEq)]
pub enum Reply {
    /// Heartbeat of the answering peer.
    #[prost(message, boxed, tag = "2")]
    Heartbeat(Box<Heartbeat>),
    /// Result of an append.
    #[prost(message, tag = "3")]
    Appended(Appended),
    /// Unfinished answer that was handed over.
    #[prost(message, tag = "4")]
    Taken(Taken),
    /// State of a claim.
    #[prost(message, tag = "5")]
    Claimed(Claimed),
    /// The accepted configuration.
    #[prost(message, tag = "6")]
    Accepted(Accepted),
    /// Result of a cancel.
    #[prost(message, tag = "7")]
    Cancelled(Cancelled),
    /// The upstreams; their number is the store's revision.
    #[prost(message, tag = "8")]
    Upstreams(Accepted),
    /// Result of a booking.
    #[prost(message, tag = "9")]
    Booked(Booked),
    /// Engine at which a prompt is cached.
    #[prost(message, tag = "10")]
    Found(Found),
    /// Result of a [`Borrow`].
    #[prost(message, tag = "11")]
    Lent(Lent),
}

/// Limit that an upstream stated for all members together.
#[derive(Clone, Message, PartialEq)]
pub struct Limit {
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream's process; 0 if not known.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of changes of the limit; a higher one is newer.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Requests per second; omitted if the upstream no longer states a limit.
    #[prost(double, optional, tag = "4")]
    pub per_second: Option<f64>,
}

/// Upstream that has announced that it is leaving.
#[derive(Clone, Message, PartialEq)]
pub struct Departure {
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Start of the upstream's process that made the announcement; 0 if not known.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Member as known to another one.
#[derive(Clone, Message, PartialEq)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(string, tag = "3")]
    pub peer_address: String,
}

/// Load that one member has placed on an upstream, and the upstream's last load report.
#[derive(Clone, Message, PartialEq)]
pub struct Load {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of the member's requests in flight.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Time until the prefill of these requests is done, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub backlog_ms: u32,
    /// Tokens held in memory, including copies of other engines' runs.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
    /// Tokens in the upstream's memory, as the upstream reported.
    #[prost(uint32, optional, tag = "5")]
    pub reported_tokens: Option<u32>,
    /// Number of running or waiting requests, as the upstream reported.
    #[prost(uint32, tag = "6")]
    pub reported_requests: u32,
    /// Number of the reported requests that have not generated a token yet.
    #[prost(uint32, tag = "7")]
    pub reported_unread: u32,
}

/// Query for an engine that has a prompt cached.
#[derive(Clone, Message, PartialEq)]
pub struct Find {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub model: String,
    /// Digest of the prompt's last part.
    #[prost(uint64, tag = "3")]
    pub part: u64,
}

/// Result of a [`Find`].
#[derive(Clone, Message, PartialEq)]
pub struct Found {
    /// Id of the engine that has the prompt cached; empty if there is none.
    #[prost(string, tag = "1")]
    pub engine: String,
}

/// Request to book the prefill of a prompt at an engine.
#[derive(Clone, Message, PartialEq)]
pub struct Book {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Expected duration of the prefill, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub prefill_ms: u32,
    /// Longest wait until the prefill starts, in milliseconds; the booking is declined if it would
    /// be longer.
    #[prost(uint32, tag = "3")]
    pub limit_ms: u32,
    /// Tokens that the run holds in memory at its end.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
}

/// Result of a booking.
#[derive(Clone, Message, PartialEq)]
pub struct Booked {
    /// Whether the answering peer knows the engine.
    #[prost(bool, tag = "1")]
    pub known: bool,
    #[prost(bool, tag = "2")]
    pub accepted: bool,
    /// Time until the engine has finished the prefills booked before, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub backlog_ms: u32,
    /// Tokens that the engine's memory holds or is booked to hold.
    #[prost(uint32, tag = "4")]
    pub memory: u32,
}

/// Request to send one request to a limited upstream in the receiver's place.
#[derive(Clone, Message, PartialEq)]
pub struct Borrow {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
}

/// Result of a [`Borrow`].
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Lent {
    #[prost(bool, tag = "1")]
    pub accepted: bool,
}

/// Replacement of a lost upstream.
#[derive(Clone, Message, PartialEq)]
pub struct Successor {
    /// Id of the lost upstream.
    #[prost(string, tag = "1")]
    pub lost: String,
    /// Id of the replacement.
    #[prost(string, tag = "2")]
    pub id: String,
}

/// One member's use of an account's limit.
#[derive(Clone, Message, PartialEq)]
pub struct Usage {
    #[prost(string, tag = "1")]
    pub account: String,
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

impl From<membership::Heartbeat> for Heartbeat {
    fn from(heartbeat: membership::Heartbeat) -> Self {
        Self {
            name: heartbeat.name,
            incarnation: heartbeat.incarnation,
            zone: heartbeat.zone,
            caller_address: heartbeat.caller_address,
            peer_address: heartbeat.peer_address,
            leaving: heartbeat.leaving,
            number: heartbeat.number,
            open: heartbeat.open,
            ready: heartbeat.ready,
            ..Self::default()
        }
    }
}

impl From<Heartbeat> for membership::Heartbeat {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            name: heartbeat.name,
            incarnation: heartbeat.incarnation,
            zone: heartbeat.zone,
            caller_address: heartbeat.caller_address,
            peer_address: heartbeat.peer_address,
            leaving: heartbeat.leaving,
            number: heartbeat.number,
            open: heartbeat.open,
            ready: heartbeat.ready,
        }
    }
}

/// Origin of an unfinished answer: its account, request, owner and source.
#[derive(Clone, Message, PartialEq)]
pub struct Origin {
    #[prost(string, tag = "1")]
    pub account: String,
    #[prost(string, tag = "2")]
    pub digest: String,
    #[prost(string, tag = "3")]
    pub owner: String,
    #[prost(string, tag = "4")]
    pub upstream: String,
    #[prost(uint32, tag = "5")]
    pub attempt: u32,
    #[prost(string, tag = "6")]
    pub version: String,
}

impl From<coordination::journal::Origin> for Origin {
    fn from(origin: coordination::journal::Origin) -> Self {
        Self {
            account: origin.account,
            digest: origin.digest,
            owner: origin.owner,
            upstream: origin.upstream,
            attempt: origin.attempt,
            version: origin.version,
        }
    }
}

impl From<Origin> for coordination::journal::Origin {
    fn from(origin: Origin) -> Self {
        Self {
            account: origin.account,
            digest: origin.digest,
            owner: origin.owner,
            upstream: origin.upstream,
            attempt: origin.attempt,
            version: origin.version,
        }
    }
}

/// Tokens to append to a kept answer.
#[derive(Clone, Message, PartialEq)]
pub struct Append {
    #[prost(string, tag = "1")]
    pub generation: String,
    #[prost(uint32, tag = "2")]
    pub term: u32,
    #[prost(uint32, tag = "3")]
    pub from: u32,
    #[prost(string, repeated, tag = "4")]
    pub tokens: Vec<String>,
    /// Origin of the answer; omitted while the keeper knows it.
    #[prost(message, optional, tag = "5")]
    pub origin: Option<Origin>,
    #[prost(bool, tag = "6")]
    pub whole: bool,
}

/// Result of an append.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Appended {
    /// Index of the next token, if the tokens were kept or there was a gap.
    #[prost(uint32, tag = "1")]
    pub next: u32,
    /// Term that fenced off the append, or 0.
    #[prost(uint32, tag = "2")]
    pub fenced_by: u32,
    /// Whether the keeper has no space left.
    #[prost(bool, tag = "3")]
    pub full: bool,
    /// Whether the keeper does not have the answer and needs its origin.
    #[prost(bool, tag = "4")]
    pub unknown: bool,
}

/// Request to hand over an unfinished answer to a new owner.
#[derive(Clone, Message, PartialEq)]
pub struct Take {
    #[prost(string, tag = "1")]
    pub generation: String,
    #[prost(string, tag = "2")]
    pub account: String,
    #[prost(string, tag = "3")]
    pub owner: String,
}

/// Tokens and origin of an unfinished answer that was handed over.
#[derive(Clone, Message, PartialEq)]
pub struct Taken {
    #[prost(bool, tag = "1")]
    pub found: bool,
    #[prost(uint32, tag = "2")]
    pub term: u32,
    #[prost(message, optional, tag = "3")]
    pub origin: Option<Origin>,
    #[prost(string, repeated, tag = "4")]
    pub tokens: Vec<String>,
    #[prost(bool, tag = "5")]
    pub whole: bool,
}

/// Query for the state of a claim.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Claim {
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    #[prost(uint64, tag = "2")]
    pub nonce: u64,
}

/// State of a claim.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Claimed {
    /// Whether the answering process has another incarnation than the claim's owner.
    #[prost(bool, tag = "1")]
    pub gone: bool,
    /// Whether the claim was abandoned before anything was sent.
    #[prost(bool, tag = "2")]
    pub abandoned: bool,
}

/// Request for a newer configuration or newer upstreams.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Pull {
    /// Number that the requester has: of the configuration, or the store's revision of the
    /// upstreams.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Store's era of the upstreams that the requester has.
    #[prost(uint64, tag = "2")]
    pub era: u64,
}

impl From<Version> for Pull {
    fn from(Version { era, revision }: Version) -> Self {
        Self { number: revision, era }
    }
}

impl From<Pull> for Version {
    fn from(Pull { number, era }: Pull) -> Self {
        Self { era, revision: number }
    }
}

/// Accepted configuration, or the upstreams.
#[derive(Clone, Message, PartialEq)]
pub struct Accepted {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// JSON text, empty if the requester's is as new: [`crate::objects::Accepted`] between routers,
    /// [`crate::routes::Table`] or [`crate::fleet::Update`] between entry VMs that forward.
    #[prost(string, tag = "2")]
    pub json: String,
}

/// Request to stop a generation.
#[derive(Clone, Message, PartialEq)]
pub struct Cancel {
    #[prost(string, tag = "1")]
    pub generation: String,
    #[prost(string, tag = "2")]
    pub account: String,
}

/// Result of a cancel.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Cancelled {
    /// Whether the answering peer served the generation.
    #[prost(bool, tag = "1")]
    pub found: bool,
}
