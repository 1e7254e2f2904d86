//! Messages between entry VMs.

use coordination::membership;
use prost::{Message, Oneof};

/// A request of a peer; each gets one [`Response`].
#[derive(Clone, Message, PartialEq)]
pub struct Request {
    /// Tells answers on one connection apart.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Content.
    #[prost(oneof = "Ask", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub ask: Option<Ask>,
}

/// Content of a request.
#[derive(Clone, Oneof, PartialEq)]
pub enum Ask {
    /// I am alive.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Keep these tokens.
    #[prost(message, tag = "3")]
    Append(Append),
    /// Hand an answer over to me.
    #[prost(message, tag = "4")]
    Take(Take),
    /// What became of a claim of yours?
    #[prost(message, tag = "5")]
    Claim(Claim),
    /// Send the accepted configuration.
    #[prost(message, tag = "6")]
    Pull(Pull),
    /// Stop a generation that you serve.
    #[prost(message, tag = "7")]
    Cancel(Cancel),
    /// Send the upstreams.
    #[prost(message, tag = "8")]
    Upstreams(Pull),
    /// Book the reading of a prompt at an engine.
    #[prost(message, tag = "9")]
    Book(Book),
    /// Find a cached prompt at the engines that you own.
    #[prost(message, tag = "10")]
    Find(Find),
}

/// Answer to a request.
#[derive(Clone, Message, PartialEq)]
pub struct Response {
    /// Sequence of the request.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Content.
    #[prost(oneof = "Reply", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub reply: Option<Reply>,
}

/// Content of an answer.
#[derive(Clone, Oneof, PartialEq)]
pub enum Reply {
    /// The peer's own heartbeat.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Result of an append.
    #[prost(message, tag = "3")]
    Appended(Appended),
    /// Answer handed over.
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
    /// The upstreams; the number is the store's revision.
    #[prost(message, tag = "8")]
    Upstreams(Accepted),
    /// Result of a booking.
    #[prost(message, tag = "9")]
    Booked(Booked),
    /// Where a prompt is cached.
    #[prost(message, tag = "10")]
    Found(Found),
}

/// State of a member.
#[derive(Clone, Message, PartialEq)]
pub struct Heartbeat {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub caller_address: String,
    #[prost(string, tag = "5")]
    pub peer_address: String,
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    #[prost(uint64, tag = "7")]
    pub number: u64,
    #[prost(uint64, tag = "8")]
    pub open: u64,
    /// Upstreams that the member knows to be leaving.
    #[prost(string, repeated, tag = "9")]
    pub leaving_upstreams: Vec<String>,
    /// What the member uses of the accounts' limits.
    #[prost(message, repeated, tag = "10")]
    pub usage: Vec<Usage>,
    /// Takes callers' requests.
    #[prost(bool, tag = "11")]
    pub ready: bool,
    /// Revision of the upstreams that the member knows.
    #[prost(uint64, tag = "12")]
    pub revision: u64,
    /// Upstreams that the member found gone lately.
    #[prost(string, repeated, tag = "13")]
    pub lost_upstreams: Vec<String>,
    /// Upstreams that the store does not list yet.
    #[prost(message, repeated, tag = "14")]
    pub successors: Vec<Successor>,
    /// What the member has given to upstreams.
    #[prost(message, repeated, tag = "15")]
    pub loads: Vec<Load>,
    /// Members that it knows, told to one that it did not.
    #[prost(message, repeated, tag = "16")]
    pub members: Vec<Member>,
    /// Members that did not answer this one lately.
    #[prost(string, repeated, tag = "17")]
    pub unreachable_members: Vec<String>,
    /// Number of others that it takes as alive.
    #[prost(uint32, tag = "18")]
    pub alive: u32,
    /// Upstreams that leave by their own word.
    #[prost(message, repeated, tag = "19")]
    pub departures: Vec<Departure>,
}

/// An upstream that has said that it leaves.
#[derive(Clone, Message, PartialEq)]
pub struct Departure {
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Which start of its process said so; 0 where that is not known.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// A member that another knows.
#[derive(Clone, Message, PartialEq)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(string, tag = "3")]
    pub peer_address: String,
}

/// What one member has given to an upstream.
#[derive(Clone, Message, PartialEq)]
pub struct Load {
    /// Id of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Time until the prefill is done, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub backlog_ms: u32,
    /// Tokens held, copies of other engines' runs included.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
    /// Tokens in its memory, as it told itself.
    #[prost(uint32, optional, tag = "5")]
    pub reported_tokens: Option<u32>,
    /// Requests that run or wait, as it told itself.
    #[prost(uint32, tag = "6")]
    pub reported_requests: u32,
    /// Of these, those that have not generated anything yet.
    #[prost(uint32, tag = "7")]
    pub reported_unread: u32,
}

/// A prompt that an engine may keep.
#[derive(Clone, Message, PartialEq)]
pub struct Find {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(string, tag = "2")]
    pub model: String,
    /// Its last part.
    #[prost(uint64, tag = "3")]
    pub part: u64,
}

/// Engine that keeps a prompt.
#[derive(Clone, Message, PartialEq)]
pub struct Found {
    /// Its id, empty where none does.
    #[prost(string, tag = "1")]
    pub engine: String,
}

/// A prompt to be read at an engine.
#[derive(Clone, Message, PartialEq)]
pub struct Book {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Time that the prompt takes, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub prefill_ms: u32,
    /// Declined if it would begin later than this, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub limit_ms: u32,
    /// Tokens that the run holds at its end.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
}

/// Result of a booking.
#[derive(Clone, Message, PartialEq)]
pub struct Booked {
    /// The engine is known here.
    #[prost(bool, tag = "1")]
    pub known: bool,
    #[prost(bool, tag = "2")]
    pub accepted: bool,
    /// Time until the engine has read what was booked before, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub backlog_ms: u32,
    /// Tokens that the engine's memory holds or will hold.
    #[prost(uint32, tag = "4")]
    pub memory: u32,
}

/// An upstream that took the place of a lost one.
#[derive(Clone, Message, PartialEq)]
pub struct Successor {
    /// Id of the lost one.
    #[prost(string, tag = "1")]
    pub lost: String,
    /// Id of the new one.
    #[prost(string, tag = "2")]
    pub id: String,
}

/// Use of one account's limit.
#[derive(Clone, Message, PartialEq)]
pub struct Usage {
    #[prost(string, tag = "1")]
    pub account: String,
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

impl From<membership::Heartbeat> for Heartbeat {
    fn from(beat: membership::Heartbeat) -> Self {
        Self {
            name: beat.name,
            incarnation: beat.incarnation,
            zone: beat.zone,
            caller_address: beat.caller_address,
            peer_address: beat.peer_address,
            leaving: beat.leaving,
            number: beat.number,
            open: beat.open,
            ready: beat.ready,
            ..Self::default()
        }
    }
}

impl From<Heartbeat> for membership::Heartbeat {
    fn from(beat: Heartbeat) -> Self {
        Self {
            name: beat.name,
            incarnation: beat.incarnation,
            zone: beat.zone,
            caller_address: beat.caller_address,
            peer_address: beat.peer_address,
            leaving: beat.leaving,
            number: beat.number,
            open: beat.open,
            ready: beat.ready,
        }
    }
}

/// Source of an answer.
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

/// Tokens to keep.
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
    /// Left out while the keeper knows it.
    #[prost(message, optional, tag = "5")]
    pub origin: Option<Origin>,
    #[prost(bool, tag = "6")]
    pub whole: bool,
}

/// Result of an append.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Appended {
    /// Next index, when kept or when there was a gap.
    #[prost(uint32, tag = "1")]
    pub next: u32,
    /// Term that fenced the append off, or 0.
    #[prost(uint32, tag = "2")]
    pub fenced_by: u32,
    /// The keeper has no room.
    #[prost(bool, tag = "3")]
    pub full: bool,
    /// The keeper has no such answer and needs its origin.
    #[prost(bool, tag = "4")]
    pub unknown: bool,
}

/// Request for an unfinished answer.
#[derive(Clone, Message, PartialEq)]
pub struct Take {
    #[prost(string, tag = "1")]
    pub generation: String,
    #[prost(string, tag = "2")]
    pub account: String,
    #[prost(string, tag = "3")]
    pub owner: String,
}

/// An answer so far.
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

/// Question about a claim.
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
    /// The incarnation asked about is not the one that answers.
    #[prost(bool, tag = "1")]
    pub gone: bool,
    /// The claim was given up before anything was sent.
    #[prost(bool, tag = "2")]
    pub abandoned: bool,
}

/// Request for the configuration.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct Pull {
    /// Number that the asker has.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// An accepted configuration.
#[derive(Clone, Message, PartialEq)]
pub struct Accepted {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// JSON, empty when the asker's is as new: [`crate::objects::Accepted`] between routers,
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
    /// The peer served it.
    #[prost(bool, tag = "1")]
    pub found: bool,
}
