//! `qt-demo`: runs stand-ins, two routers and a steward in one process on loopback.

mod once;

use argh::FromArgs;
use bench::deployment::Deployment;
use bench::sockets::System;
use quetzaltiller::scope::Scope;
use quetzaltiller::{daemon, logs};
use std::process::ExitCode;

/// API key of the account that the demo uses.
pub const ACCOUNT_KEY: &str = "roskilde-crew-example-key";
/// Number of entry VMs.
const ENTRY_VMS: usize = 2;
/// Body of the example request for a draft.
const DRAFT_BODY: &str =
    r#"{"model":"drafts","prompt":"Wristbands for a harbour festival","max_tokens":120}"#;
/// Body of the example order.
const ORDER_BODY: &str = r#"{"bands":9000}"#;

/// Runs the Foundation's system on loopback.
#[derive(FromArgs)]
struct Args {
    /// check a draft, an order and a lookup, and end
    #[argh(switch)]
    once: bool,
    /// write logs to standard output
    #[argh(switch)]
    logs: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("qt-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(args: &Args) -> Result<bool, Box<dyn std::error::Error>> {
    let scope = Scope::default();
    if args.logs {
        logs::start(&scope, true)?;
    } else {
        logs::stop();
    }
    let system = System::start(Deployment::Foundation, ENTRY_VMS, &|_| {}).await?;
    if args.once {
        return once::run(&system).await;
    }
    print_hints(&system);
    daemon::terminated()?.await;
    Ok(true)
}

/// Prints the addresses and example calls.
fn print_hints(system: &System) {
    let key = ACCOUNT_KEY;
    let entry = &system.entries[0];
    println!("entry VMs:  {}", system.entries.join("  "));
    println!("operators:  {}", system.operators.join("  "));
    println!("platform:   {}", system.platform_address);
    println!();
    println!("A draft:");
    println!("  curl -N -H 'authorization: Bearer {key}' http://{entry}/v1/generations \\");
    println!("    -d '{DRAFT_BODY}'");
    println!("A print order (repeat it: it runs once):");
    println!("  curl -H 'authorization: Bearer {key}' -H 'idempotency-key: order-1' \\");
    println!("    http://{entry}/v1/services/order-desk/orders -d '{ORDER_BODY}'");
    println!("A lookup:");
    println!("  curl -H 'authorization: Bearer {key}' \\");
    println!("    http://{entry}/v1/services/order-desk/orders/order-1");
    println!();
    println!("Ctrl-C stops it.");
}
