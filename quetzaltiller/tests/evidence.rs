//! Tests of `qtctl explain` and `qtctl logs summary` on sample logs of two entry VMs.

use std::path::PathBuf;
use std::process::{Command, Output};

/// A draft whose engine failed 9 ms after the first event; another engine completed it, late.
const EAST: &str = r#"
time=2026-08-26T18:03:05.039Z level=info event=generation_placed request=d-1 upstream=i-79 zone=a backup=Some("i-9e") restores=false expected_ms=1037
time=2026-08-26T18:03:06.361Z level=info event=engine_failed request=d-1 upstream=i-79 conn=1 reason="connection reset" silent_ms=8
time=2026-08-26T18:03:06.361Z level=info event=generation_moves request=d-1 copy=Some("i-9e") cached=Some("i-79") next=2 sent=1
time=2026-08-26T18:03:06.363Z level=info event=upstream_lost upstream=i-79 zone=a alive_ago_ms=9
time=2026-08-26T18:03:06.364Z level=info event=upstream_lost upstream=i-77 zone=a alive_ago_ms=31
time=2026-08-26T18:03:06.400Z level=info event=generation_placed request=d-1 upstream=i-9e zone=b backup=Some("i-12") restores=true expected_ms=40
time=2026-08-26T18:03:12.082Z level=info event=generation_ended request=d-1 route=r-draft outcome=Whole events=141 sent=2 late=true took_ms=7043 first_ms=Some(1322) longest_pause_ms=1361
time=2026-08-26T18:03:12.500Z level=warn event=log_lines_dropped dropped=3
time=2026-08-26T18:03:13.100Z level=info event=store_era_changed from_era=3 from_revision=512 era=4 revision=480 kept=2 disputed=1 number=7 rewrites=announcement
time=2026-08-26T18:03:13.900Z level=info event=announcement_repeated era=4
"#;
/// A refused order and a slow lookup, with a line that is no event.
const WEST: &str = r#"
time=2026-08-26T18:03:07.100Z level=info event=try_failed request=o-1 upstream=i-b8 cause=rejected
time=2026-08-26T18:03:07.101Z level=info event=request_refused request=o-1 route=r-order code=Overloaded ran=No sent=1
time=2026-08-26T18:03:07.101Z level=info event=request_ended request=o-1 route=r-order status=503 took_ms=3
this line is no event
time=2026-08-26T18:03:08.000Z level=info event=request_ended request=s-1 route=r-status status=200 took_ms=31
time=2026-08-26T18:03:14.200Z level=info event=store_era_changed from_era=3 from_revision=498 era=4 revision=483 kept=0 disputed=3 number=7 rewrites=announcement
"#;

struct Logs {
    folder: PathBuf,
}

impl Logs {
    fn write(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("qtctl-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("entry-east.log"), EAST).unwrap();
        std::fs::write(folder.join("entry-west.log"), WEST).unwrap();
        Self { folder }
    }

    fn file(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn both(&self) -> [String; 2] {
        [self.file("entry-east.log"), self.file("entry-west.log")]
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn qtctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_qtctl")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn decisions_about_a_request_are_printed_in_order_of_time() {
    let logs = Logs::write("explain");
    let [east, west] = logs.both();

    let output = qtctl(&["explain", "d-1", &west, &east]);

    let printed = text(&output.stdout);
    let lines: Vec<_> = printed.lines().collect();
    assert!(output.status.success(), "{printed}");
    assert_eq!(lines.len(), 7, "{printed}");
    assert!(lines[1].contains("entry-east") && lines[1].contains("backup=i-9e"), "{printed}");
    assert!(lines[2].contains("reason=connection reset silent_ms=8"), "{printed}");
    assert!(lines[4].contains("  upstream_lost") && lines[4].contains("i-79"), "{printed}");
    assert!(
        lines[6].contains("late=true") && lines[6].contains("longest_pause_ms=1361"),
        "{printed}"
    );
    assert!(!printed.contains("i-77"), "{printed}");
}

#[test]
fn explanations_are_printed_as_json_with_the_flag() {
    let logs = Logs::write("json");
    let [east, west] = logs.both();

    let output = qtctl(&["--json", "explain", "o-1", &east, &west]);

    let printed: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(printed["request"], "o-1");
    assert_eq!(printed["steps"].as_array().map(Vec::len), Some(3));
    assert_eq!(printed["steps"][0]["line"]["vm"], "entry-west");
}

#[test]
fn ended_requests_are_counted_by_outcome_and_cause_and_charted() {
    let logs = Logs::write("summary");
    let ([east, west], svg) = (logs.both(), logs.file("ends.svg"));

    let output = qtctl(&["logs", "summary", &east, &west, "--svg", &svg]);

    let printed = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    for row in ["late", "Overloaded ran=No", "rejected", "connection reset", "3 lines are missing"]
    {
        assert!(printed.contains(row), "{row} in {printed}");
    }
    assert!(std::fs::read_to_string(svg).unwrap().contains("<svg"));
}

#[test]
fn a_change_of_the_stores_era_is_summarised_over_all_entry_vms() {
    let logs = Logs::write("eras");
    let [east, west] = logs.both();

    let output = qtctl(&["logs", "summary", &east, &west]);

    let printed = text(&output.stdout);
    let row = printed.lines().skip_while(|line| !line.starts_with("STORE ERA")).nth(1);
    let cells: Vec<_> = row.unwrap_or_default().split_whitespace().collect();
    assert_eq!(cells, ["4", "2", "3.512", "4.480", "1", "s", "2", "3", "1"], "{printed}");
}

#[test]
fn unknown_requests_and_missing_files_are_reported_as_errors() {
    let logs = Logs::write("errors");
    let [east, _] = logs.both();

    let unknown = qtctl(&["explain", "x-9", &east]);
    let missing = qtctl(&["logs", "summary", &logs.file("none.log")]);

    assert!(!unknown.status.success() && !missing.status.success());
    assert!(text(&unknown.stderr).contains("x-9: no line is about it"));
    assert!(text(&missing.stderr).contains("none.log"));
}
