//! Guards against processes that outlive a soak which is stopped or killed, at any moment of its
//! start and after restarts of its processes.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use std::collections::BTreeSet;
use std::fs::File;
use std::os::unix::process::ExitStatusExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Longest time for the soak to start its processes, and for it and them to end.
const LIMIT: Duration = Duration::from_secs(20);
/// Pause between two looks at the processes, shorter than the start of one.
const POLL_PAUSE: Duration = Duration::from_micros(100);
/// Environment variable by which a soak and all processes that descend from it are found.
const MARK: &str = "QT_SOAK_MARK";
/// File with the errors of a soak, in its folder.
const ERRORS: &str = "soak.err";
/// Exit status of a soak that ends early by itself, as when it has handled a signal.
const EXIT_STOPPED: i32 = 2;

/// A running soak. All of its processes end when it is dropped.
struct Soak {
    child: Child,
    mark: String,
    folder: PathBuf,
}

impl Soak {
    /// Starts a soak of 16 processes with the faults of seed 1066, which kills an upstream at once.
    fn start(name: &str) -> Self {
        let mark = format!("{}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(format!("qt-soak-stopped-{mark}"));
        std::fs::create_dir_all(&folder).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_qt-soak"))
            .args(["--from", "1066", "--to", "1066", "--seconds", "60"])
            .args(["--entries", "3", "--folder"])
            .arg(&folder)
            .env(MARK, &mark)
            .stdout(Stdio::null())
            .stderr(File::create(folder.join(ERRORS)).unwrap())
            .spawn()
            .unwrap();
        Self { child, mark, folder }
    }

    /// Process ids of the children of all threads of the soak.
    fn children(&self) -> BTreeSet<u32> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let tasks = tasks.into_iter().flatten().flatten();
        let listed =
            tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
        let listed = listed.collect::<Vec<_>>().join(" ");
        listed.split_whitespace().filter_map(|id| id.parse().ok()).collect()
    }

    /// Waits until the soak has started a number of processes, those that have ended included.
    fn wait_for_children(&self, count: usize) {
        let mut seen = BTreeSet::new();
        let is_reached = wait_until(|| {
            seen.extend(self.children());
            seen.len() >= count
        });
        let errors = std::fs::read_to_string(self.folder.join(ERRORS));
        assert!(is_reached, "{} of {count} processes start: {errors:?}", seen.len());
    }

    /// Waits for the end of the soak.
    fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until(|| {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.expect("the soak ends")
    }

    /// Running processes that descend from the soak, whatever their parent is by now.
    fn descendants(&self) -> Vec<Pid> {
        let variable = format!("{MARK}={}", self.mark).into_bytes();
        let is_marked = |id: &i32| {
            let environment = std::fs::read(format!("/proc/{id}/environ")).unwrap_or_default();
            environment.split(|byte| *byte == 0).any(|entry| entry == variable)
        };
        let processes = std::fs::read_dir("/proc").unwrap().flatten();
        let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse().ok());
        ids.filter(is_marked).map(Pid::from_raw).collect()
    }
}

impl Drop for Soak {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for process in self.descendants() {
            let _ = kill(process, Signal::SIGKILL);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn wait_until(mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > LIMIT {
            return false;
        }
        std::thread::sleep(POLL_PAUSE);
    }
    true
}

/// The 17th process is an upstream that the soak has killed and started again.
#[rstest]
fn a_soak_that_ends_leaves_no_process_behind(
    #[values(Signal::SIGTERM, Signal::SIGKILL)] signal: Signal,
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17)] children: usize,
) {
    let mut soak = Soak::start(&format!("{signal}-{children}"));
    soak.wait_for_children(children);

    kill(Pid::from_raw(soak.child.id() as i32), signal).unwrap();

    let status = soak.wait();
    assert!(wait_until(|| soak.descendants().is_empty()), "its processes end");
    match signal {
        Signal::SIGKILL => assert_eq!(status.signal(), Some(signal as i32)),
        _ => assert_eq!(status.code(), Some(EXIT_STOPPED), "it handles the signal"),
    }
}
