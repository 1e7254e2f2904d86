//! Memory budget: what buffers may hold together, and what is returned to it.

use coordination::memory::{Budget, Buffer, Error};

const LIMIT: usize = 64 << 10;

/// Guards against a limit on each message being taken for one on their sum.
#[test]
fn buffers_together_stay_within_the_budget() {
    let budget = Budget::new(LIMIT);

    let mut buffers: Vec<_> = (0..100).map(|_| Buffer::new(&budget, LIMIT)).collect();
    let appended = buffers.iter_mut().filter_map(|buffer| buffer.append(&[0; 1_000]).ok()).count();

    assert_eq!((appended, budget.held()), (16, LIMIT));
}

/// Guards against pieces whose bookkeeping costs more than their bytes.
#[test]
fn pieces_of_one_byte_cost_little_more_than_their_bytes() {
    let budget = Budget::new(LIMIT);
    let mut buffer = Buffer::new(&budget, LIMIT);

    let appended = (0..2 * LIMIT).take_while(|_| buffer.append(&[0]).is_ok()).count();

    assert_eq!((appended, buffer.append(&[0])), (LIMIT, Err(Error::TooLong)));
}

/// Guards against reservations that outlive a rejected or dropped message.
#[test]
fn the_budget_is_whole_again_once_all_buffers_are_dropped() {
    let budget = Budget::new(LIMIT);

    for _ in 0..3 {
        let mut buffers: Vec<_> = (0..40).map(|_| Buffer::new(&budget, 5_000)).collect();
        buffers.iter_mut().for_each(|buffer| _ = buffer.append(&[0; 4_999]));
        buffers.iter_mut().for_each(|buffer| _ = buffer.append(&[0; 4_999]));
    }

    assert_eq!(budget.held(), 0);
}

#[test]
fn a_rejected_piece_leaves_the_buffer_as_it_was() {
    let budget = Budget::new(LIMIT);
    let mut buffer = Buffer::new(&budget, 10);

    buffer.append(b"01234567").unwrap();
    let rejected = buffer.append(b"89a");
    buffer.append(b"89").unwrap();

    let message = buffer.finish().unwrap();
    assert_eq!((rejected, message.as_ref()), (Err(Error::TooLong), b"0123456789".as_slice()));
}

#[test]
fn a_message_of_many_pieces_is_whole_and_counts_once() {
    let budget = Budget::new(1 << 20);
    let bytes: Vec<u8> = (0..200_000_u32).map(|n| n as u8).collect();

    let mut buffer = Buffer::new(&budget, 1 << 20);
    bytes.chunks(777).for_each(|piece| buffer.append(piece).unwrap());
    let message = buffer.finish().unwrap();

    assert_eq!((message.as_ref(), budget.held()), (&*bytes, bytes.len()));
}

/// Guards against a copy of a whole message that the budget does not know of.
#[test]
fn joining_a_message_needs_room_for_both_copies() {
    let budget = Budget::new(300_000);
    let mut buffer = Buffer::new(&budget, 300_000);

    buffer.append(&[0; 200_000]).unwrap();

    assert_eq!(buffer.finish().err(), Some(Error::BudgetUsedUp));
    assert_eq!(budget.held(), 0);
}
