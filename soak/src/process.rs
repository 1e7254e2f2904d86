//! One process of the deployment.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Program with its arguments, started again and again; output is added to one log.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A process that logs to `folder/name.log`; not started yet.
    pub fn new(program: &Path, folder: &Path, name: &str, arguments: Vec<String>) -> Self {
        let log = folder.join(format!("{name}.log"));
        Self { program: program.to_owned(), arguments, log, child: None }
    }

    /// Its log.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Replaces the arguments of the next start.
    pub fn set_arguments(&mut self, arguments: Vec<String>) {
        self.arguments = arguments;
    }

    /// Starts it, unless it runs.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let append = |path: &Path| -> io::Result<File> {
            OpenOptions::new().create(true).append(true).open(path)
        };
        let errors = append(&self.log.with_extension("err"))?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).stdin(Stdio::null());
        command.stdout(append(&self.log)?).stderr(errors);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Id of the process, if it runs.
    pub fn id(&mut self) -> Option<u32> {
        let runs = self.is_running();
        self.child.as_ref().filter(|_| runs).map(Child::id)
    }

    /// Sends a signal, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(child) = &self.child
        {
            // Between the look and the signal it may have ended.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
