//! Common parts of the daemons: exit statuses, signals and HTTP listeners.

use crate::scope::Scope;
use crate::settings::Faults;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Router, Server};
use spdlog::prelude::*;
use std::error::Error;
use std::io;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

/// Exit status for settings or arguments that are not allowed.
pub const EXIT_FAULTS: u8 = 2;

/// Prints the faults of settings to standard error and returns the exit status.
pub fn report_faults(faults: &Faults) -> ExitCode {
    eprint!("{faults}");
    ExitCode::from(EXIT_FAULTS)
}

/// Returns the exit status of `binary`; an error is printed to standard error.
pub fn exit(binary: &str, result: Result<(), Box<dyn Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{binary}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Incarnation of the process that starts now: milliseconds since 1970, which increase from one
/// start to the next.
pub fn incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_millis() as u64)
}

/// Installs handlers of SIGTERM and SIGINT; the returned future ends with the first of these
/// signals. A process calls this before it starts anything that has to be ended.
pub fn terminated() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            biased;
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

/// Listens on `address` and sets it to the address in use, as port 0 lets the kernel select one.
pub async fn listen(address: &mut String) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address.as_str()).await?;
    *address = listener.local_addr()?.to_string();
    Ok(listener)
}

/// Serves HTTP on `listener` in a task of `scope`; the returned handle stops the server.
pub fn serve_http(
    scope: &Scope,
    listener: TcpListener,
    routes: Router,
    max_connections: usize,
) -> io::Result<ServerHandle> {
    let acceptor = TcpAcceptor::try_from(listener)?;
    let server = Server::new(acceptor).max_connections(max_connections);
    let handle = server.handle();
    scope.spawn(async move {
        if let Err(reason) = server.try_serve(routes).await {
            error!("http_server_failed", kv: { reason:? = reason.to_string() });
        }
    });
    Ok(handle)
}
