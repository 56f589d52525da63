//! Reservations in a budget that many connections share.

use futures_lite::future::{block_on, poll_once};
use sorrelhaven_wire::BufferBudget;
use std::pin::pin;

const KIB: usize = 1024;
/// A budget with room for a few large messages.
const LIMIT: usize = 1024 * KIB;
/// The part of a budget that only one reservation at a time may use.
const PRIORITY: usize = 256 * KIB;

/// Guards against reservations that together exceed the limit.
#[test]
fn reservations_without_a_wait_leave_the_part_for_the_one_with_priority() {
    let budget = BufferBudget::new(LIMIT);
    let (mut first, mut second) = (budget.reservation(), budget.reservation());
    assert!(first.try_grow_to(LIMIT - PRIORITY));
    assert!(first.try_grow_to(1), "a smaller size changes nothing");
    assert!(!second.grow_now(1));
    assert_eq!((budget.used_bytes(), budget.waits()), (LIMIT - PRIORITY, 1));
    first.shrink_to(KIB);
    assert!(second.try_grow_to(KIB));
    drop((first, second));
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against two messages that are each half received and wait for the memory of the other.
#[test]
fn of_two_reservations_that_wait_one_gets_the_priority_and_then_the_other() {
    let budget = BufferBudget::new(LIMIT);
    let (mut first, mut second) = (budget.reservation(), budget.reservation());
    let half = (LIMIT - PRIORITY) / 2;
    assert!(first.try_grow_to(half) && second.try_grow_to(half));
    block_on(async {
        assert!(poll_once(pin!(first.grow_to(half + PRIORITY))).await.is_some());
        assert_eq!(budget.used_bytes(), LIMIT);
        let mut waiting = pin!(second.grow_to(half + PRIORITY));
        assert!(poll_once(waiting.as_mut()).await.is_none());
        drop(first);
        assert!(poll_once(waiting.as_mut()).await.is_some());
    });
    assert!(budget.used_bytes() <= LIMIT);
}

/// Guards against a wait that is given up, as at a read timeout, and keeps the priority from all others.
#[test]
fn a_wait_that_is_given_up_blocks_no_other() {
    let budget = BufferBudget::new(LIMIT);
    let mut holder = budget.reservation();
    assert!(holder.try_grow_to(LIMIT - PRIORITY));
    let (mut given_up, mut next) = (budget.reservation(), budget.reservation());
    block_on(async {
        assert!(poll_once(pin!(given_up.grow_to(2 * PRIORITY))).await.is_none());
        drop(given_up);
        assert!(poll_once(pin!(next.grow_to(PRIORITY))).await.is_some());
    });
}

/// Guards against a reservation that is refused for ever although memory is free. Whether it is woken is not tested.
#[test]
fn reservations_that_wait_are_granted_once_memory_is_free() {
    let budget = BufferBudget::new(LIMIT);
    let mut holder = budget.reservation();
    assert!(holder.try_grow_to(LIMIT - PRIORITY));
    let mut reservations: Vec<_> = (0..4).map(|_| budget.reservation()).collect();
    let mut waiting: Vec<_> =
        reservations.iter_mut().map(|reservation| Box::pin(reservation.grow_to(PRIORITY / 2 + 1))).collect();
    block_on(async {
        let mut granted = 0;
        for wait in &mut waiting {
            granted += usize::from(poll_once(wait).await.is_some());
        }
        assert_eq!(granted, 1, "one of them uses the part for the one with priority");
        drop(holder);
        for wait in waiting.iter_mut().skip(1) {
            assert!(poll_once(wait).await.is_some());
        }
    });
}
