//! A process of the deployment that can be started, signalled and killed repeatedly.

use nix::errno::Errno;
use nix::sys::prctl;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Program with its arguments, which may be started repeatedly. Standard output of all starts is
/// appended to one log, standard error to a file beside it.
#[derive(Debug)]
pub struct Process {
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Creates a process that logs to `folder/name.log`, without starting it.
    pub fn new(program: &Path, folder: &Path, name: &str, arguments: Vec<String>) -> Self {
        let log = folder.join(format!("{name}.log"));
        Self { program: program.to_owned(), arguments, log, child: None }
    }

    /// Returns the path of the process's log.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Sets the arguments for the next start.
    pub fn set_arguments(&mut self, arguments: Vec<String>) {
        self.arguments = arguments;
    }

    /// Starts the process unless it runs already. It ends with the thread that started it at the
    /// latest, however this program ends, so that thread must live as long as the process.
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
        end_with_parent(&mut command);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Whether the process has been started and has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the process id if the process runs.
    pub fn id(&mut self) -> Option<u32> {
        let running = self.is_running();
        self.child.as_ref().filter(|_| running).map(Child::id)
    }

    /// Sends a signal if the process runs.
    pub fn signal(&mut self, signal: Signal) {
        if self.is_running()
            && let Some(child) = &self.child
        {
            // The process may have exited since `is_running`.
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Lets the kernel kill the process when the thread that starts it ends.
fn end_with_parent(command: &mut Command) {
    let parent = Pid::this();
    let prepare = move || {
        prctl::set_pdeathsig(Signal::SIGKILL)?;
        // A parent that ended before the call above sends no signal.
        if Pid::parent() != parent {
            return Err(Errno::ESRCH.into());
        }
        Ok(())
    };
    // SAFETY: `prepare` only makes system calls that are safe between fork and exec.
    unsafe { command.pre_exec(prepare) };
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
