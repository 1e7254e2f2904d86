//! Serving system for long model generations on engines that fail.
//!
//! Callers connect to a router on an entry VM; the router chooses an engine or a service replica,
//! and carries the answer through the failure of either. Modules follow the path of a request:
//!
//! - [`front`]: callers' and operators' HTTP;
//! - [`router`]: the controller; [`session`] serves one generation, [`actions`] and [`lookups`]
//!   call plain services;
//! - [`dispatch`]: the choice of upstreams; [`generation`]: how an answer stays whole;
//! - [`members`], [`keeper`], [`catalog`]: what entry VMs share;
//! - [`steward`]: accepts operators' objects;
//! - [`engine`], [`service`], [`platform`], [`peer`]: ports; [`adapters`]: their network side.

pub mod actions;
pub mod adapters;
pub mod apply;
pub mod caller;
pub mod catalog;
pub mod clock;
pub mod config;
pub mod control;
pub mod ctl;
pub mod daemon;
pub mod digest;
pub mod dispatch;
pub mod drain;
pub mod engine;
pub mod entry;
pub mod evidence;
pub mod fleet;
pub mod follower;
pub mod front;
pub mod generation;
pub mod keeper;
pub mod local_member;
pub mod logs;
pub mod lookups;
pub mod mailbox;
pub mod members;
pub mod metrics;
pub mod objects;
pub mod operators;
pub mod pacer;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod prelude;
pub mod prompts;
pub mod proxy;
pub mod refusal;
pub mod registry;
pub mod reports;
pub mod router;
pub mod routes;
pub mod scope;
pub mod service;
pub mod session;
pub mod settings;
pub mod steward;
pub mod upstream;
pub mod wire;
