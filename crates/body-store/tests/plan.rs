//! The plan alone: random bodies of several tenants, checked against its limits and guarantees.

use proptest::prelude::*;
use sorrelhaven_body_store::{
    Budget, DiskFailure, FileLimits, Limits, NotStoredReason, Plan, RegisteredBody, SMALL_BODY_BYTES,
    StorageDecision, StorageTier, StorageUsage,
};
use sorrelhaven_test_support::check_cases;
use std::time::Duration;

const KIB: u64 = 1024;

fn limits(files: bool) -> Limits {
    let file = FileLimits { max_bytes_per_body: 512 * KIB, max_bytes: 2_048 * KIB, min_free_bytes: 0 };
    Limits {
        max_body_bytes: 1_024 * KIB,
        max_memory_bytes_per_body: 64 * KIB,
        max_memory_bytes: 512 * KIB,
        files: files.then_some(file),
    }
}

const NOW: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Operation {
    Register { tenant: usize, declared_length: Option<u64> },
    Grow { index: usize, more: u64 },
    Complete(usize),
    Remove(usize),
    BeginSpill,
    FinishSpill,
    DiskFailure(usize),
    LowerLimits,
}

fn operation() -> impl Strategy<Value = Operation> {
    let declared_length = prop_oneof![Just(None), (0..1_100 * KIB).prop_map(Some)];
    prop_oneof![
        4 => (0usize..6, declared_length).prop_map(|(tenant, declared_length)| Operation::Register { tenant, declared_length }),
        8 => (0usize..64, 1..48 * KIB).prop_map(|(index, more)| Operation::Grow { index, more }),
        2 => (0usize..64).prop_map(Operation::Complete),
        2 => (0usize..64).prop_map(Operation::Remove),
        1 => Just(Operation::BeginSpill),
        1 => Just(Operation::FinishSpill),
        1 => (0usize..64).prop_map(Operation::DiskFailure),
        1 => Just(Operation::LowerLimits),
    ]
}

/// Whatever the order of events, usage exceeds no limit except by what was held before the limit was lowered, a body
/// only moves up the tiers, and all is released in the end.
#[test]
fn usage_stays_within_limits_and_tiers_only_go_up() {
    check_cases(400, (prop::collection::vec(operation(), 1..200), any::<bool>()), |(operations, files)| {
        let mut plan = Plan::new(limits(files), 6);
        let mut bodies = Vec::new();
        let (mut now, mut spilling) = (NOW, None);
        let mut most = StorageUsage { memory_bytes: 512 * KIB, file_bytes: 2_048 * KIB };
        for operation in operations {
            now += Duration::from_millis(300);
            match operation {
                Operation::Register { tenant, declared_length } => {
                    let RegisteredBody { id, decision } = plan.register(now, tenant, declared_length);
                    let too_long = declared_length.is_some_and(|length| length > 1_024 * KIB);
                    prop_assert_eq!(decision == StorageDecision::TooLong, too_long);
                    bodies.push((id, StorageTier::Memory, 0));
                }
                Operation::Grow { index, more } if !bodies.is_empty() => {
                    let count = bodies.len();
                    let (id, tier, length) = &mut bodies[index % count];
                    let next = match plan.reserve(now, *id, more) {
                        StorageDecision::TooLong => {
                            prop_assert!(*length + more > 1_024 * KIB);
                            continue;
                        }
                        StorageDecision::Keep(next) => next,
                        StorageDecision::NotStored(_) => StorageTier::NotStored,
                    };
                    *length += more;
                    prop_assert!(rank(next) >= rank(*tier), "{:?} after {:?}", next, tier);
                    prop_assert!(next != StorageTier::Memory || *length <= 64 * KIB);
                    prop_assert!(next != StorageTier::File || files && *length <= 512 * KIB);
                    *tier = next;
                }
                Operation::Complete(index) if !bodies.is_empty() => {
                    plan.mark_complete(bodies[index % bodies.len()].0);
                }
                Operation::Remove(index) if !bodies.is_empty() => {
                    let (id, ..) = bodies.swap_remove(index % bodies.len());
                    spilling = spilling.filter(|other| *other != id);
                    plan.remove(id);
                }
                Operation::BeginSpill => {
                    let next = plan.next_to_spill(now);
                    prop_assert!(next.is_none() || spilling.is_none(), "one spill at a time");
                    spilling = next.or(spilling);
                    if let Some(id) = next {
                        let body = bodies.iter_mut().find(|body| body.0 == id).expect("a registered body");
                        prop_assert!(
                            body.1 == StorageTier::Memory && body.2 > SMALL_BODY_BYTES,
                            "small bodies stay"
                        );
                        body.1 = StorageTier::File;
                    }
                }
                Operation::FinishSpill => {
                    if let Some(id) = spilling.take() {
                        plan.release_memory(id, u64::MAX);
                        plan.finish_spill(id);
                    }
                }
                Operation::DiskFailure(index) if !bodies.is_empty() => {
                    let count = bodies.len();
                    let (id, tier, _) = &mut bodies[index % count];
                    if *tier == StorageTier::File {
                        plan.record_disk_failure(now, *id, NotStoredReason::DiskFull);
                        *tier = plan.tier(*id).expect("a registered body");
                        spilling = spilling.filter(|other| other != id);
                    }
                }
                Operation::LowerLimits => {
                    let usage = plan.usage();
                    let lowered = Limits { max_memory_bytes: 256 * KIB, ..limits(files) };
                    plan.configure(lowered);
                    most.memory_bytes = most.memory_bytes.min(usage.memory_bytes.max(256 * KIB));
                }
                _ => {}
            }
            let usage = plan.usage();
            let is_within = usage.memory_bytes <= most.memory_bytes && usage.file_bytes <= most.file_bytes;
            prop_assert!(is_within, "{:?} of {:?}", usage, most);
            let limit = plan.limits().max_memory_bytes;
            most.memory_bytes = most.memory_bytes.min(usage.memory_bytes.max(limit));
        }
        for (id, ..) in bodies {
            plan.remove(id);
        }
        prop_assert_eq!((plan.usage(), plan.body_count()), (StorageUsage::default(), 0));
        Ok(())
    });
}

fn rank(tier: StorageTier) -> u8 {
    match tier {
        StorageTier::Memory => 0,
        StorageTier::File => 1,
        StorageTier::NotStored => 2,
    }
}

/// No tenant starves another: whatever the others hold, a tenant gets its guaranteed share.
#[test]
fn a_tenant_always_gets_its_share() {
    let reservations = prop::collection::vec((0usize..8, 1..100_000u64, any::<bool>()), 0..300);
    check_cases(400, (reservations, 0usize..8), |(reservations, own_tenant)| {
        let mut budget = Budget::new(1 << 20, 8);
        for (tenant, bytes, is_release) in reservations {
            if is_release {
                budget.release(tenant, bytes.min(budget.used_by(tenant)));
            } else {
                budget.try_reserve(tenant, 0, bytes);
            }
            prop_assert!(budget.used() <= budget.total());
        }
        let remaining = budget.share().saturating_sub(budget.used_by(own_tenant));
        let is_granted = remaining == 0 || budget.try_reserve(own_tenant, 0, remaining);
        prop_assert!(is_granted, "{} bytes of its share rejected", remaining);
        Ok(())
    });
}

/// Large bodies don't starve small ones: a part of what is guaranteed to no tenant is reserved for these.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut budget = Budget::new(1 << 20, 2);
    while budget.try_reserve(0, 0, 64 * KIB) {}
    assert!(budget.try_reserve(0, 0, SMALL_BODY_BYTES), "room for a small body");
    let mut small = 0;
    while budget.try_reserve(0, 0, SMALL_BODY_BYTES) {
        small += 1;
    }
    assert!(small >= 6, "only {small} more");
    assert!(budget.try_reserve(1, 0, budget.share()), "and the other tenant has all of its share");
}

/// A body with a declared length that memory can't hold goes to a file from its first byte; if there are no files, it is
/// known before that byte that the body can't be stored.
#[test]
fn a_declared_length_decides_before_the_first_byte() {
    let first = |files, length| Plan::new(limits(files), 1).register(NOW, 0, Some(length)).decision;
    assert_eq!(first(true, 64 * KIB), StorageDecision::Keep(StorageTier::Memory));
    assert_eq!(first(true, 64 * KIB + 1), StorageDecision::Keep(StorageTier::File));
    assert_eq!(first(true, 513 * KIB), StorageDecision::NotStored(NotStoredReason::Budget));
    assert_eq!(first(false, 64 * KIB + 1), StorageDecision::NotStored(NotStoredReason::Budget));
    assert_eq!(first(true, 1_025 * KIB), StorageDecision::TooLong);
}

/// Each failure disables the disk for twice as long, up to a limit, and one successful write enables it.
#[test]
fn a_failing_disk_is_disabled_with_exponential_backoff() {
    let mut plan = Plan::new(limits(true), 1);
    let mut now = NOW;
    let declared_length = Some(100 * KIB);
    for backoff in [1, 2, 4, 8, 16, 30, 30] {
        let RegisteredBody { id, decision } = plan.register(now, 0, declared_length);
        assert_eq!(
            decision,
            StorageDecision::Keep(StorageTier::File),
            "after the backoff one body tries again"
        );
        let failure = plan.record_disk_failure(now, id, NotStoredReason::DiskFailed);
        let decision = StorageDecision::NotStored(NotStoredReason::DiskFailed);
        assert_eq!(failure, DiskFailure { decision, is_first: backoff == 1 }, "first only once");
        now += Duration::from_millis(backoff * 1000 - 1);
        let RegisteredBody { id, decision } = plan.register(now, 0, declared_length);
        assert_eq!(decision, StorageDecision::NotStored(NotStoredReason::DiskFailed));
        plan.remove(id);
        now += Duration::from_millis(1);
    }
    assert!(plan.record_disk_success());
    let RegisteredBody { id, .. } = plan.register(now, 0, declared_length);
    plan.record_disk_failure(now, id, NotStoredReason::DiskFull);
    let RegisteredBody { decision, .. } = plan.register(now + Duration::from_secs(1), 0, declared_length);
    assert_eq!(decision, StorageDecision::Keep(StorageTier::File));
}
