//! Incarnations of members whose clocks jump between two starts.

use coordination::membership::{Heartbeat, Table};
use rstest::rstest;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const HOUR_MS: u64 = 3_600_000;

fn beat(incarnation: u64, leaving: bool) -> Heartbeat {
    Heartbeat { name: "vm-1".into(), incarnation, leaving, ..Heartbeat::default() }
}

#[rstest]
#[case::back(HOUR_MS, 0)]
#[case::forward(0, HOUR_MS)]
fn heartbeat_after_restart_with_jumped_clock_is_recorded(#[case] before: u64, #[case] after: u64) {
    let mut table = Table::new(TIMEOUT);
    assert!(table.record_heartbeat(Duration::ZERO, beat(before, true)));

    let recorded = table.record_heartbeat(Duration::from_millis(1_500), beat(after, false));

    let member = table.member("vm-1").unwrap();
    assert!(recorded && !member.beat.leaving, "{member:?}");
}

#[test]
fn delayed_heartbeat_of_ended_process_is_ignored() {
    let mut table = Table::new(TIMEOUT);
    assert!(table.record_heartbeat(Duration::ZERO, beat(7, false)));

    let recorded = table.record_heartbeat(Duration::from_millis(900), beat(6, true));

    assert!(!recorded && !table.member("vm-1").unwrap().beat.leaving);
}
