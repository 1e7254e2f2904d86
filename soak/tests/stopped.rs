//! Guards against processes that outlive a soak which is stopped with SIGTERM.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Longest time for the soak to start its processes, and for it and them to end.
const LIMIT: Duration = Duration::from_secs(20);

/// Process ids of the children of all threads of a process.
fn children(pid: u32) -> Vec<u32> {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let listed =
        tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
    listed
        .flat_map(|ids| ids.split_whitespace().map(str::to_owned).collect::<Vec<_>>())
        .filter_map(|id| id.parse().ok())
        .collect()
}

/// Whether a process runs; a zombie, which has exited and was not waited for, doesn't.
fn is_running(pid: u32) -> bool {
    let stat = std::fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("stat"));
    stat.is_ok_and(|stat| !stat.contains(") Z "))
}

fn wait_until(mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > LIMIT {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}

#[test]
fn a_soak_that_is_stopped_leaves_no_process_behind() {
    let folder = std::env::temp_dir().join(format!("qt-soak-stopped-{}", std::process::id()));
    let mut soak = Command::new(env!("CARGO_BIN_EXE_qt-soak"))
        .args(["--seconds", "60", "--entries", "3", "--folder"])
        .arg(&folder)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    assert!(wait_until(|| children(soak.id()).len() >= 5), "its processes start");
    let started = children(soak.id());

    kill(Pid::from_raw(soak.id() as i32), Signal::SIGTERM).unwrap();

    assert!(wait_until(|| soak.try_wait().unwrap().is_some()), "it ends");
    assert!(wait_until(|| started.iter().all(|pid| !is_running(*pid))), "its processes end");
    let _ = std::fs::remove_dir_all(folder);
}
