//! Stand-ins and cases of the independent review (issue 41); standard library only.

mod common;
mod failed;
mod reuse;
mod server;
mod silent;
mod site;
mod store;
mod unframed;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("store") => store::run(),
        Some("server") => server::run(),
        Some("failed") => failed::run(),
        Some("reuse") => reuse::run(),
        Some("silent") => silent::run(),
        Some("unframed") => unframed::run(),
        _ => common::unable("unknown case"),
    }
}
