//! `qtctl`, the operators' command line.

use argh::FromArgs;
use quetzaltiller::apply::Row;
use quetzaltiller::ctl::{self, Addresses, Error, Session, Table};
use quetzaltiller::daemon::EXIT_FAULTS;
use quetzaltiller::digest::key_digest;
use quetzaltiller::evidence::{self, Explanation, Line, Summary};
use quetzaltiller::logs;
use quetzaltiller::objects::{Kind, Object};
use serde::Serialize;
use std::io::Write as _;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Configures and looks at quetzaltiller.
#[derive(FromArgs)]
struct Args {
    /// address of the platform's object API
    #[argh(option, default = "String::from(\"127.0.0.1:8000\")")]
    platform: String,
    /// operators' address of a router; may be given several times
    #[argh(option)]
    operators: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Validate(Validate),
    Apply(Apply),
    Get(Get),
    Diff(Diff),
    Status(Status),
    Dump(Dump),
    Drain(Drain),
    Digest(Digest),
    Explain(Explain),
    Logs(Logs),
}

/// Check objects without writing them.
#[derive(FromArgs)]
#[argh(subcommand, name = "validate")]
struct Validate {
    /// files with objects
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Write objects.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct Apply {
    /// files with objects
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// wait until they are in force on every entry VM
    #[argh(switch)]
    wait: bool,
    /// longest wait in milliseconds
    #[argh(option, default = "5000")]
    wait_ms: u64,
    /// remove objects that are not given
    #[argh(switch)]
    prune: bool,
}

/// Print stored objects.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct Get {
    /// kind (account, pool, selector, service or upstream), or kind/name
    #[argh(positional, from_str_fn(parse_target))]
    target: Option<Target>,
}

/// Selection of stored objects: all of a kind, or the one with a name.
struct Target {
    kind: Kind,
    name: Option<String>,
}

/// Compare objects with what is stored.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct Diff {
    /// files with objects
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// list objects that are not given as removed
    #[argh(switch)]
    prune: bool,
}

/// Show pools, upstreams and entry VMs, and what each holds in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Print the state of a process.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
struct Dump {
    /// operators' address
    #[argh(positional)]
    address: String,
}

/// Let an upstream or an entry VM leave gracefully.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
struct Drain {
    /// upstream's name, or an entry VM's operators' address
    #[argh(positional)]
    target: String,
    /// let a leaving upstream serve again
    #[argh(switch)]
    undo: bool,
}

/// Print the digest of an account's key, read from standard input.
#[derive(FromArgs)]
#[argh(subcommand, name = "digest")]
struct Digest {
    /// salt, different for each account
    #[argh(option)]
    salt: String,
}

/// Print what became of a request, from structured logs of entry VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// id that the caller gave the request
    #[argh(positional)]
    request: String,
    /// logs, each named after its entry VM; - or none for standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Evaluate structured logs of entry VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "logs")]
struct Logs {
    #[argh(subcommand)]
    command: LogsCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LogsCommand {
    Summary(Summarize),
}

/// Count how and why requests ended, by route and entry VM.
#[derive(FromArgs)]
#[argh(subcommand, name = "summary")]
struct Summarize {
    /// logs, each named after its entry VM; - or none for standard input
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// draw the ends over time into this SVG file
    #[argh(option)]
    svg: Option<PathBuf>,
}

fn parse_target(text: &str) -> Result<Target, String> {
    let (kind, name) = match text.split_once('/') {
        Some((kind, name)) => (kind, Some(name.to_owned())),
        None => (text, None),
    };
    let kind = serde_json::from_value(kind.into()).map_err(|_| {
        "allowed: account, pool, selector, service, upstream, or one of these and /name".to_owned()
    })?;
    Ok(Target { kind, name })
}

fn main() -> ExitCode {
    logs::stop();
    let args: Args = argh::from_env();
    let json = args.json;
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if json => {
            print_out(&serde_json::json!({ "error": error.to_string() }).to_string());
            ExitCode::from(EXIT_FAULTS)
        }
        Err(error) => {
            eprintln!("qtctl: {error}");
            ExitCode::from(EXIT_FAULTS)
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(args: Args) -> Result<(), Error> {
    let addresses = Addresses { platform: args.platform, operators: args.operators };
    let session = Session::new(addresses);
    let printer = Printer { json: args.json };
    match args.command {
        Command::Validate(command) => {
            let objects = ctl::read_objects(&command.files)?;
            check(&objects)?;
            printer.print(&format!("{} objects, no faults", objects.len()), &objects.len());
        }
        Command::Apply(command) => apply(&session, &printer, &command).await?,
        Command::Get(command) => {
            let kind = command.target.as_ref().map(|target| target.kind);
            let name = command.target.as_ref().and_then(|target| target.name.as_deref());
            let objects = session.get(kind, name).await?;
            print_out(&serde_json::to_string_pretty(&objects).unwrap_or_default());
        }
        Command::Diff(command) => {
            let objects = ctl::read_objects(&command.files)?;
            printer.rows(&session.diff(&objects, command.prune).await?);
        }
        Command::Status(_) => printer.status(&session.status().await?),
        Command::Dump(command) => {
            let dump = session.dump(&command.address).await?;
            print_out(&serde_json::to_string_pretty(&dump).unwrap_or_default());
        }
        Command::Drain(command) if command.target.contains(':') => {
            session.leave(&command.target).await?;
            printer.print("the entry VM leaves", &command.target);
        }
        Command::Drain(command) => {
            session.drain(&command.target, !command.undo).await?;
            let verb = if command.undo { "serves again" } else { "leaves" };
            printer.print(&format!("{} {verb}", command.target), &command.target);
        }
        Command::Digest(command) => {
            let mut key = String::new();
            let read = std::io::stdin().read_line(&mut key);
            read.map_err(|error| Error::File("standard input".into(), error.to_string()))?;
            print_out(&key_digest(&command.salt, key.trim()));
        }
        Command::Explain(command) => {
            let lines = read_logs(&command.files)?;
            let explanation = Explanation::new(&command.request, &lines);
            let explanation = explanation.ok_or(Error::NotLogged(command.request))?;
            printer.print(explanation.to_string().trim_end(), &explanation);
        }
        Command::Logs(Logs { command: LogsCommand::Summary(command) }) => {
            let summary = Summary::new(&read_logs(&command.files)?);
            printer.print(summary.to_string().trim_end(), &summary);
            if let Some(path) = &command.svg {
                let name = path.display().to_string();
                evidence::draw(&summary, path)
                    .map_err(|error| Error::Unwritable(name, error.to_string()))?;
            }
        }
    }
    Ok(())
}

async fn apply(session: &Session, printer: &Printer, command: &Apply) -> Result<(), Error> {
    let objects = ctl::read_objects(&command.files)?;
    check(&objects)?;
    printer.rows(&session.apply(&objects, command.prune).await?);
    if command.wait {
        let rollout = session.wait(Duration::from_millis(command.wait_ms)).await?;
        let text = format!(
            "number {} is in force on {} after {} ms",
            rollout.number,
            rollout.entries.join(", "),
            rollout.took_ms
        );
        printer.print(&text, &rollout);
    }
    Ok(())
}

fn read_logs(files: &[PathBuf]) -> Result<Vec<Line>, Error> {
    evidence::read(files).map_err(|(name, error)| Error::Unreadable(name, error.to_string()))
}

fn check(objects: &[Object]) -> Result<(), Error> {
    let review = ctl::validate(objects);
    for (id, faults) in &review.faults {
        for fault in faults {
            eprintln!("{id}: {fault}");
        }
    }
    if review.faults.is_empty() { Ok(()) } else { Err(Error::Faulty(review.faults.len())) }
}

/// Prints results as JSON or as text.
struct Printer {
    json: bool,
}

impl Printer {
    fn print<T: Serialize>(&self, text: &str, value: &T) {
        if self.json {
            print_out(&serde_json::to_string(value).unwrap_or_default());
        } else {
            print_out(text);
        }
    }

    fn rows(&self, rows: &[Row]) {
        if self.json {
            return self.print("", &rows);
        }
        let mut table = Table::new(&["OBJECT", "CHANGE"]);
        for row in rows {
            table.push([row.object.to_string(), format!("{:?}", row.change).to_lowercase()]);
        }
        print_out(table.to_string().trim_end());
    }

    fn status(&self, status: &ctl::Status) {
        if self.json {
            return self.print("", status);
        }
        let mut entries = Table::new(&["ENTRY VM", "ZONE", "NUMBER", "STATE", "OPEN"]);
        for row in &status.entries {
            let cells = [row.number.to_string(), state(row.leaving), row.open.to_string()];
            entries.push([row.name.clone(), row.zone.clone()].into_iter().chain(cells));
        }
        let mut pools = Table::new(&["POOL", "MODEL", "SERVING", "LEAVING", "SLOTS"]);
        for row in &status.pools {
            let counts = [row.serving.to_string(), row.leaving.to_string(), row.slots.to_string()];
            pools.push([row.name.clone(), row.model.clone()].into_iter().chain(counts));
        }
        let header = ["UPSTREAM", "POOL", "ZONE", "STATE", "IN FLIGHT", "REPORTED", "FAILURES"];
        let mut upstreams = Table::new(&header);
        for row in &status.upstreams {
            let reported = row.reported.map_or("-".to_owned(), |load| load.to_string());
            let names = [row.name.clone(), row.pool.clone(), row.zone.clone(), state(row.leaving)];
            let counts = [row.in_flight.to_string(), reported, row.failures.to_string()];
            upstreams.push(names.into_iter().chain(counts));
        }
        print_out(format!("{entries}\n{pools}\n{upstreams}").trim_end());
        for (id, status) in &status.faulty {
            for fault in &status.faults {
                print_out(&format!("not in force: {id}: {fault}"));
            }
        }
    }
}

/// Prints one or more lines to standard output; a closed standard output is not an error.
fn print_out(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn state(leaving: bool) -> String {
    if leaving { "leaving" } else { "serving" }.to_owned()
}
