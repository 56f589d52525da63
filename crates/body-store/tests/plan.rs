//! The plan alone: random bodies of several parties, checked against what it promises.

use proptest::prelude::*;
use sorrelhaven_body_store::{
    Budget, FileLimits, Limits, NotStoredReason, Plan, SMALL, StorageDecision, StorageTier,
};
use sorrelhaven_test_support::check_cases;
use std::time::Duration;

const KIB: u64 = 1024;

fn limits(files: bool) -> Limits {
    let file = FileLimits { each: 512 * KIB, total: 2_048 * KIB, leave_free: 0 };
    Limits {
        largest: 1_024 * KIB,
        memory_each: 64 * KIB,
        memory_total: 512 * KIB,
        files: files.then_some(file),
    }
}

const NOW: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Op {
    Begin(usize, Option<u64>),
    Grow(usize, u64),
    Whole(usize),
    BodyEnd(usize),
    Relief,
    Moved,
    Trouble(usize),
    Shrink,
}

fn op() -> impl Strategy<Value = Op> {
    let declared = prop_oneof![Just(None), (0..1_100 * KIB).prop_map(Some)];
    prop_oneof![
        4 => (0usize..6, declared).prop_map(|(p, d)| Op::Begin(p, d)),
        8 => (0usize..64, 1..48 * KIB).prop_map(|(i, n)| Op::Grow(i, n)),
        2 => (0usize..64).prop_map(Op::Whole),
        2 => (0usize..64).prop_map(Op::BodyEnd),
        1 => Just(Op::Relief),
        1 => Just(Op::Moved),
        1 => (0usize..64).prop_map(Op::Trouble),
        1 => Just(Op::Shrink),
    ]
}

/// Whatever comes, no budget is passed but by what was held before it shrank, steps only go up, and all is free in
/// the end.
#[test]
fn budgets_hold_and_steps_only_go_up() {
    check_cases(400, (prop::collection::vec(op(), 1..200), any::<bool>()), |(ops, files)| {
        let mut plan = Plan::new(limits(files), 6);
        let mut bodies = Vec::new();
        let (mut now, mut moving, mut most) = (NOW, None, (512 * KIB, 2_048 * KIB));
        for op in ops {
            now += Duration::from_millis(300);
            match op {
                Op::Begin(party, declared) => {
                    let (id, verdict) = plan.begin(now, party, declared);
                    let too_long = declared.is_some_and(|d| d > 1_024 * KIB);
                    prop_assert_eq!(verdict == StorageDecision::TooLong, too_long);
                    bodies.push((id, StorageTier::Memory, 0));
                }
                Op::Grow(i, more) if !bodies.is_empty() => {
                    let n = bodies.len();
                    let (id, step, length) = &mut bodies[i % n];
                    let verdict = plan.want(now, *id, more);
                    let next = match verdict {
                        StorageDecision::TooLong => {
                            prop_assert!(*length + more > 1_024 * KIB);
                            continue;
                        }
                        StorageDecision::Keep(next) => next,
                        StorageDecision::NotStored(_) => StorageTier::NotStored,
                    };
                    *length += more;
                    prop_assert!(rank(next) >= rank(*step), "{:?} after {:?}", next, step);
                    prop_assert!(next != StorageTier::Memory || *length <= 64 * KIB);
                    prop_assert!(next != StorageTier::File || files && *length <= 512 * KIB);
                    *step = next;
                }
                Op::Whole(i) if !bodies.is_empty() => plan.whole(bodies[i % bodies.len()].0),
                Op::BodyEnd(i) if !bodies.is_empty() => {
                    let (id, ..) = bodies.swap_remove(i % bodies.len());
                    moving = moving.filter(|m| *m != id);
                    plan.end(id);
                }
                Op::Relief => {
                    let next = plan.relief(now);
                    prop_assert!(next.is_none() || moving.is_none(), "one move at a time");
                    moving = next.or(moving);
                    if let Some(id) = next {
                        let body = bodies.iter_mut().find(|b| b.0 == id).expect("a body that there is");
                        prop_assert!(body.1 == StorageTier::Memory && body.2 > SMALL, "small bodies stay");
                        body.1 = StorageTier::File;
                    }
                }
                Op::Moved => {
                    if let Some(id) = moving.take() {
                        plan.left_memory(id, u64::MAX);
                        plan.moved(id);
                    }
                }
                Op::Trouble(i) if !bodies.is_empty() => {
                    let n = bodies.len();
                    let (id, step, _) = &mut bodies[i % n];
                    if *step == StorageTier::File {
                        plan.trouble(now, *id, NotStoredReason::DiskFull);
                        *step = plan.step(*id).expect("it is there");
                        moving = moving.filter(|m| m != id);
                    }
                }
                Op::Shrink => {
                    let held = plan.held();
                    let small = Limits { memory_total: 256 * KIB, ..limits(files) };
                    plan.configure(small);
                    most.0 = most.0.min(held.0.max(256 * KIB));
                }
                _ => {}
            }
            let held = plan.held();
            prop_assert!(held.0 <= most.0 && held.1 <= most.1, "{:?} of {:?}", held, most);
            most.0 = most.0.min(held.0.max(plan.limits().memory_total));
        }
        for (id, ..) in bodies {
            plan.end(id);
        }
        prop_assert_eq!((plan.held(), plan.bodies()), ((0, 0), 0));
        Ok(())
    });
}

fn rank(step: StorageTier) -> u8 {
    match step {
        StorageTier::Memory => 0,
        StorageTier::File => 1,
        StorageTier::NotStored => 2,
    }
}

/// No state office starves another: whatever the others hold, a party gets what it is promised.
#[test]
fn a_party_always_gets_its_share() {
    let takes = prop::collection::vec((0usize..8, 1..100_000u64, any::<bool>()), 0..300);
    check_cases(400, (takes, 0usize..8), |(takes, mine)| {
        let mut budget = Budget::new(1 << 20, 8);
        for (party, bytes, give) in takes {
            if give {
                budget.give_back(party, bytes.min(budget.held_by(party)));
            } else {
                budget.take(party, 0, bytes);
            }
            prop_assert!(budget.used() <= budget.total());
        }
        let left = budget.share().saturating_sub(budget.held_by(mine));
        prop_assert!(left == 0 || budget.take(mine, 0, left), "{} bytes of its share refused", left);
        Ok(())
    });
}

/// Small bodies are not pushed out by large ones: these leave a part of what is not promised.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut budget = Budget::new(1 << 20, 2);
    while budget.take(0, 0, 64 * KIB) {}
    assert!(budget.take(0, 0, SMALL), "room for a small body");
    let mut small = 0;
    while budget.take(0, 0, SMALL) {
        small += 1;
    }
    assert!(small >= 6, "only {small} more");
    assert!(budget.take(1, 0, budget.share()), "and the other party has all of its share");
}

/// A declared length that memory can't hold goes to a file from its first byte, and where there is none it is known
/// before that byte that it can't be kept.
#[test]
fn a_declared_length_decides_before_the_first_byte() {
    let first = |files, length| Plan::new(limits(files), 1).begin(NOW, 0, Some(length)).1;
    assert_eq!(first(true, 64 * KIB), StorageDecision::Keep(StorageTier::Memory));
    assert_eq!(first(true, 64 * KIB + 1), StorageDecision::Keep(StorageTier::File));
    assert_eq!(first(true, 513 * KIB), StorageDecision::NotStored(NotStoredReason::Budget));
    assert_eq!(first(false, 64 * KIB + 1), StorageDecision::NotStored(NotStoredReason::Budget));
    assert_eq!(first(true, 1_025 * KIB), StorageDecision::TooLong);
}

/// After a trouble files stay closed for a pause that doubles, up to a bound, and one sound write opens them.
#[test]
fn a_troubled_disk_is_left_alone_for_a_growing_pause() {
    let mut plan = Plan::new(limits(true), 1);
    let mut now = NOW;
    let long = Some(100 * KIB);
    for pause in [1, 2, 4, 8, 16, 30, 30] {
        let (id, verdict) = plan.begin(now, 0, long);
        assert_eq!(verdict, StorageDecision::Keep(StorageTier::File), "after the pause one tries again");
        let (first, news) = plan.trouble(now, id, NotStoredReason::DiskFailed);
        assert_eq!(
            (first, news),
            (StorageDecision::NotStored(NotStoredReason::DiskFailed), pause == 1),
            "news once"
        );
        now += Duration::from_millis(pause * 1000 - 1);
        let (id, verdict) = plan.begin(now, 0, long);
        assert_eq!(verdict, StorageDecision::NotStored(NotStoredReason::DiskFailed));
        plan.end(id);
        now += Duration::from_millis(1);
    }
    assert!(plan.disk_well());
    let (id, _) = plan.begin(now, 0, long);
    plan.trouble(now, id, NotStoredReason::DiskFull);
    let (_, verdict) = plan.begin(now + Duration::from_secs(1), 0, long);
    assert_eq!(verdict, StorageDecision::Keep(StorageTier::File));
}
