//! Errors of `qtctl`; their texts say what to do.

use crate::objects::Fault;
use crate::platform;
use quick_error::quick_error;

quick_error! {
    /// Why an operator's command failed; the text also says what to do.
    #[derive(Debug)]
    pub enum Error {
        /// A file with objects can't be read.
        File(name: String, reason: String) {
            display("{name}: {reason}; give a JSON file with one object or a list of them")
        }
        /// A log can't be read.
        Unreadable(name: String, reason: String) {
            display("{name}: {reason}; give logs of entry VMs, or - for standard input")
        }
        /// A file can't be written.
        Unwritable(name: String, reason: String) {
            display("{name}: {reason}; give a file in a folder that exists")
        }
        /// The logs have no line about a request.
        NotLogged(request: String) {
            display("{request}: no line is about it; give the logs of all entry VMs, also of ended ones")
        }
        /// An object can't be read.
        Object(fault: Fault) {
            display("{fault}")
        }
        /// Objects have faults.
        Faulty(count: usize) {
            display("{count} objects have faults, listed above; correct them and apply again")
        }
        /// Another operator changed the object meanwhile.
        Conflict(object: String) {
            display("{object}: another operator changed it meanwhile; look with `qtctl diff` and apply again")
        }
        /// The platform failed.
        Platform(error: platform::Error) {
            display("{error}; check --platform and whether the platform is up")
            from()
        }
        /// No process answers at the operators' addresses.
        Operators(addresses: String) {
            display("no process answers at {addresses}; check --operators")
        }
        /// No operators' address was given.
        NoOperators {
            display("no operators' address; give one or more with --operators")
        }
        /// The configuration was not in force on every entry VM in time.
        Late(waiting: String) {
            display("not in force in time: {waiting}; see `qtctl status`")
        }
        /// No object has this name.
        Unknown(object: String) {
            display("{object}: there is no such object; `qtctl get` lists all")
        }
    }
}
