//! Messages that arrive together: whose memory makes room, and what comes back.

use coordination::intake::{Error, Intake};
use coordination::memory::Budget;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const MB: usize = 1 << 20;
const LIMIT: usize = 16 * MB;
const GROUP_LIMIT: usize = 8 * MB;
const MESSAGE_LIMIT: usize = 4 * MB;

fn intake() -> Intake {
    Intake::new(Budget::new(LIMIT).keep_for_small(LIMIT / 4), GROUP_LIMIT)
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against messages that stop short of their end and keep others out.
#[test]
fn stalled_messages_make_room_for_one_that_arrives() {
    let intake = intake();
    let dropped = Arc::new(AtomicUsize::new(0));
    let mut stalled = Vec::new();
    for number in 0..48 {
        let dropped = dropped.clone();
        let on_drop = move || _ = dropped.fetch_add(1, Ordering::Relaxed);
        let mut message = intake.begin("crowd", MESSAGE_LIMIT, on_drop);
        let _ = message.append(&vec![0; MESSAGE_LIMIT - 1], at(number));
        stalled.push(message);
    }

    let mut whole = intake.begin("crowd", MESSAGE_LIMIT, || ());
    for piece in vec![0; MESSAGE_LIMIT].chunks(MB) {
        whole.append(piece, at(60)).unwrap();
    }
    let whole = whole.finish(at(61)).unwrap();

    assert_eq!(whole.as_ref().len(), MESSAGE_LIMIT);
    assert!(dropped.load(Ordering::Relaxed) >= 46, "{dropped:?}");
    assert!(intake.held() <= GROUP_LIMIT);
}

/// Guards against a group that takes the memory of all others.
#[test]
fn a_group_that_has_used_up_its_share_takes_nothing_from_others() {
    let intake = intake();
    let mut other = intake.begin("other", MESSAGE_LIMIT, || ());
    other.append(&vec![0; 2 * MB], at(0)).unwrap();

    let mut crowd = Vec::new();
    for second in 1..20 {
        let mut message = intake.begin("crowd", MESSAGE_LIMIT, || ());
        let _ = message.append(&vec![0; 2 * MB], at(second));
        crowd.push(message);
    }

    assert_eq!(other.append(&vec![0; MB], at(20)), Ok(()));
}

/// Guards against complete messages of one group that leave no room for small ones of another.
#[test]
fn large_messages_leave_room_for_small_ones() {
    let intake = Intake::new(Budget::new(LIMIT).keep_for_small(LIMIT / 4), LIMIT);
    let mut held = Vec::new();
    for _ in 0..100 {
        let mut message = intake.begin("crowd", MESSAGE_LIMIT, || ());
        if message.append(&vec![0; MB], at(0)).is_ok() {
            held.extend(message.finish(at(0)));
        }
    }

    let mut small = intake.begin("ordinary", MESSAGE_LIMIT, || ());
    let appended = small.append(&[0; 60_000], at(1));

    assert_eq!(appended, Ok(()));
    assert_eq!(small.finish(at(1)).map(|message| message.as_ref().len()), Ok(60_000));
}

/// Guards against a slow sender whose message others have to make room for.
#[test]
fn the_message_that_has_used_most_gets_no_more_room() {
    let intake = intake();
    let mut slow = intake.begin("a", MESSAGE_LIMIT, || ());
    slow.append(&vec![0; 3 * MB], at(0)).unwrap();
    let mut quick = intake.begin("a", MESSAGE_LIMIT, || ());
    quick.append(&vec![0; 3 * MB], at(10)).unwrap();
    let mut last = intake.begin("a", MESSAGE_LIMIT, || ());
    last.append(&vec![0; 2 * MB - 70_000], at(10)).unwrap();

    assert_eq!(slow.append(&vec![0; MB / 2], at(11)), Err(Error::NoRoom));
    assert_eq!(quick.append(&vec![0; MB / 2], at(11)), Ok(()));
    assert_eq!(slow.append(&[0], at(11)), Err(Error::Dropped));
}

#[test]
fn all_memory_comes_back() {
    let intake = intake();
    let mut messages: Vec<_> = (0..30).map(|_| intake.begin("a", MB, || ())).collect();
    messages.iter_mut().for_each(|message| _ = message.append(&vec![0; MB / 2], at(0)));
    let whole = messages.pop().map(|message| message.finish(at(1)));

    drop(messages);
    drop(whole);

    assert_eq!((intake.held(), intake.len()), (0, 0));
}
