//! Program of the review's scripts: the stand-ins and what each script does.

mod common;
mod server;

mod cases;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("server") => server::Server::parse(&arguments[1..]).run(),
        Some("case") => cases::run(&arguments[1], Path::new(&arguments[2])),
        _ => {
            eprintln!("use: standin case NAME FOLDER");
            std::process::exit(2);
        }
    }
}
