//! Serving system for long model generations on engines that fail.
//!
//! Callers connect to a router on an entry VM. The router chooses an engine or a service replica and
//! completes the answer even if either fails. The main modules, in the order in which a request
//! passes them:
//!
//! - [`front`]: HTTP API for callers;
//! - [`router`]: the controller; [`session`] serves one generation, [`actions`] and [`lookups`]
//!   call plain services;
//! - [`dispatch`]: the choice of upstreams; [`generation`]: the state of an answer and its
//!   consistency across engines;
//! - [`members`], [`keeper`], [`catalog`]: state shared between entry VMs;
//! - [`steward`]: acceptance of operators' objects;
//! - [`engine`], [`service`], [`platform`], [`peer`]: ports; [`adapters`]: their network
//!   implementations.

pub mod actions;
pub mod adapters;
pub mod admission;
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
pub mod quarantine;
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
