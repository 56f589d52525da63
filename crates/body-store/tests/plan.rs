//! The storage plan and its budgets, without I/O: random sequences of operations on bodies of several budget
//! groups are checked against the limits and the guarantees.

use proptest::prelude::*;
use sorrelhaven_body_store::{
    BodyId, Budget, DiskFailure, FileLimits, NotStoredReason, RegisteredBody, SMALL_BODY_BYTES,
    StorageDecision, StorageLimits, StoragePlan, StorageTier, StorageUsage, Timestamp,
};
use sorrelhaven_test_support::check_cases;
use std::time::Duration;

const KIB: u64 = 1024;

fn limits(files: bool) -> StorageLimits {
    let file = FileLimits { max_bytes_per_body: 512 * KIB, max_bytes: 2_048 * KIB, min_free_bytes: 0 };
    StorageLimits {
        max_body_bytes: 1_024 * KIB,
        max_memory_bytes_per_body: 64 * KIB,
        max_memory_bytes: 512 * KIB,
        files: files.then_some(file),
    }
}

/// The time at which each test begins.
const NOW: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Operation {
    Register { budget_group: usize, declared_length: Option<u64> },
    Grow { index: usize, additional: u64 },
    Complete(usize),
    Remove(usize),
    BeginSpill,
    FinishSpill,
    DiskFailure(usize),
    LowerLimits,
}

fn operation() -> impl Strategy<Value = Operation> {
    let declared_length = prop_oneof![Just(None), (0..1_100 * KIB).prop_map(Some)];
    let register = (0usize..6, declared_length)
        .prop_map(|(budget_group, declared_length)| Operation::Register { budget_group, declared_length });
    prop_oneof![
        4 => register,
        8 => (0usize..64, 1..48 * KIB).prop_map(|(index, additional)| Operation::Grow { index, additional }),
        2 => (0usize..64).prop_map(Operation::Complete),
        2 => (0usize..64).prop_map(Operation::Remove),
        1 => Just(Operation::BeginSpill),
        1 => Just(Operation::FinishSpill),
        1 => (0usize..64).prop_map(Operation::DiskFailure),
        1 => Just(Operation::LowerLimits),
    ]
}

/// The expected state of a body.
struct ModelBody {
    id: BodyId,
    tier: StorageTier,
    length: u64,
}

/// A plan, and its expected state.
struct Model {
    plan: StoragePlan,
    has_files: bool,
    bodies: Vec<ModelBody>,
    spilling: Option<BodyId>,
    /// The upper limit of the usage. Decreases with the usage after a limit was lowered.
    max_usage: StorageUsage,
}

impl Model {
    fn new(has_files: bool) -> Model {
        Model {
            plan: StoragePlan::new(limits(has_files), 6),
            has_files,
            bodies: Vec::new(),
            spilling: None,
            max_usage: StorageUsage { memory_bytes: 512 * KIB, file_bytes: 2_048 * KIB },
        }
    }

    fn apply(&mut self, now: Timestamp, operation: Operation) -> Result<(), TestCaseError> {
        match operation {
            Operation::Register { budget_group, declared_length } => {
                self.register(now, budget_group, declared_length)?
            }
            Operation::BeginSpill => self.begin_spill(now)?,
            Operation::FinishSpill => self.finish_spill(),
            Operation::LowerLimits => self.lower_limits(),
            _ if self.bodies.is_empty() => {}
            Operation::Grow { index, additional } => self.grow(now, index, additional)?,
            Operation::Complete(index) => {
                let index = index % self.bodies.len();
                self.plan.mark_complete(self.bodies[index].id);
            }
            Operation::Remove(index) => self.remove(index),
            Operation::DiskFailure(index) => self.fail_disk(now, index),
        }
        Ok(())
    }

    fn register(
        &mut self,
        now: Timestamp,
        budget_group: usize,
        declared_length: Option<u64>,
    ) -> Result<(), TestCaseError> {
        let RegisteredBody { id, decision } = self.plan.register(now, budget_group, declared_length);
        let too_long = declared_length.is_some_and(|length| length > 1_024 * KIB);
        prop_assert_eq!(decision == StorageDecision::TooLarge, too_long);
        self.bodies.push(ModelBody { id, tier: StorageTier::Memory, length: 0 });
        Ok(())
    }

    fn grow(&mut self, now: Timestamp, index: usize, additional: u64) -> Result<(), TestCaseError> {
        let index = index % self.bodies.len();
        let body = &mut self.bodies[index];
        let next = match self.plan.reserve(now, body.id, additional) {
            StorageDecision::TooLarge => {
                prop_assert!(body.length + additional > 1_024 * KIB);
                return Ok(());
            }
            StorageDecision::Store(next) => next,
            StorageDecision::NotStored(_) => StorageTier::NotStored,
        };
        body.length += additional;
        prop_assert!(rank(next) >= rank(body.tier), "the body moved to {:?} after {:?}", next, body.tier);
        prop_assert!(next != StorageTier::Memory || body.length <= 64 * KIB);
        prop_assert!(next != StorageTier::File || self.has_files && body.length <= 512 * KIB);
        body.tier = next;
        Ok(())
    }

    fn remove(&mut self, index: usize) {
        let body = self.bodies.swap_remove(index % self.bodies.len());
        self.spilling = self.spilling.filter(|id| *id != body.id);
        self.plan.remove(body.id);
    }

    fn begin_spill(&mut self, now: Timestamp) -> Result<(), TestCaseError> {
        let next = self.plan.begin_spill(now);
        prop_assert!(next.is_none() || self.spilling.is_none(), "only one body is spilled at a time");
        self.spilling = next.or(self.spilling);
        if let Some(id) = next {
            let body = self.bodies.iter_mut().find(|body| body.id == id).expect("the body is registered");
            let is_large = body.length > SMALL_BODY_BYTES;
            prop_assert!(
                body.tier == StorageTier::Memory && is_large,
                "only a body in memory that is not small is spilled"
            );
            body.tier = StorageTier::File;
        }
        Ok(())
    }

    fn finish_spill(&mut self) {
        if let Some(id) = self.spilling.take() {
            self.plan.release_memory(id, u64::MAX);
            self.plan.finish_spill(id);
        }
    }

    fn fail_disk(&mut self, now: Timestamp, index: usize) {
        let index = index % self.bodies.len();
        let body = &mut self.bodies[index];
        if body.tier == StorageTier::File {
            self.plan.record_disk_failure(now, body.id, NotStoredReason::DiskFull);
            body.tier = self.plan.tier(body.id).expect("the body is registered");
            self.spilling = self.spilling.filter(|id| *id != body.id);
        }
    }

    fn lower_limits(&mut self) {
        let memory_bytes = self.plan.usage().memory_bytes;
        self.plan.configure(StorageLimits { max_memory_bytes: 256 * KIB, ..limits(self.has_files) });
        self.max_usage.memory_bytes = self.max_usage.memory_bytes.min(memory_bytes.max(256 * KIB));
    }

    /// Checks the usage. Memory beyond a lowered limit may stay in use, but the usage must not grow again.
    fn check_usage(&mut self) -> Result<(), TestCaseError> {
        let (usage, max) = (self.plan.usage(), &mut self.max_usage);
        let is_within = usage.memory_bytes <= max.memory_bytes && usage.file_bytes <= max.file_bytes;
        prop_assert!(is_within, "usage {:?} exceeds {:?}", usage, max);
        let limit = self.plan.limits().max_memory_bytes;
        max.memory_bytes = max.memory_bytes.min(usage.memory_bytes.max(limit));
        Ok(())
    }

    fn remove_all(&mut self) {
        for body in self.bodies.drain(..) {
            self.plan.remove(body.id);
        }
    }
}

/// After any sequence of operations, the usage exceeds a limit only by bytes reserved before the limit was
/// lowered, no body has moved from a file back to memory, none that was not stored has been stored later, and
/// removing all bodies releases all bytes.
#[test]
fn usage_stays_within_limits_and_tiers_only_go_up() {
    check_cases(
        400,
        (prop::collection::vec(operation(), 1..200), any::<bool>()),
        |(operations, has_files)| {
            let mut model = Model::new(has_files);
            let mut now = NOW;
            for operation in operations {
                now += Duration::from_millis(300);
                model.apply(now, operation)?;
                model.check_usage()?;
            }
            model.remove_all();
            prop_assert_eq!((model.plan.usage(), model.plan.body_count()), (StorageUsage::default(), 0));
            Ok(())
        },
    );
}

fn rank(tier: StorageTier) -> u8 {
    match tier {
        StorageTier::Memory => 0,
        StorageTier::File => 1,
        StorageTier::NotStored => 2,
    }
}

/// A budget group can reserve what it is guaranteed, whatever the others have reserved.
#[test]
fn a_budget_group_always_gets_its_guarantee() {
    let reservations = prop::collection::vec((0usize..8, 1..100_000u64, any::<bool>()), 0..300);
    check_cases(400, (reservations, 0usize..8), |(reservations, own_group)| {
        let mut budget = Budget::new(1 << 20, 8);
        for (group, bytes, is_release) in reservations {
            if is_release {
                budget.release(group, bytes.min(budget.used_by(group)));
            } else {
                budget.try_reserve(group, 0, bytes);
            }
            prop_assert!(budget.used() <= budget.total());
        }
        let remaining = budget.guaranteed_per_group().saturating_sub(budget.used_by(own_group));
        let is_granted = remaining == 0 || budget.try_reserve(own_group, 0, remaining);
        prop_assert!(is_granted, "{} guaranteed bytes were rejected", remaining);
        Ok(())
    });
}

/// Large bodies can't starve small ones: a part of the budget that is guaranteed to no group can be used by
/// small bodies only.
#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut budget = Budget::new(1 << 20, 2);
    while budget.try_reserve(0, 0, 64 * KIB) {}
    assert!(budget.try_reserve(0, 0, SMALL_BODY_BYTES), "a small body still has room");
    let mut small = 0;
    while budget.try_reserve(0, 0, SMALL_BODY_BYTES) {
        small += 1;
    }
    assert!(small >= 6, "only {small} more small bodies find room");
    assert!(
        budget.try_reserve(1, 0, budget.guaranteed_per_group()),
        "the other group can reserve its whole guarantee"
    );
}

/// A body whose declared length exceeds the limit for memory is assigned to a file before its first byte. If
/// there are no files, it is decided at that time that the body is not stored.
#[test]
fn a_declared_length_decides_before_the_first_byte() {
    let decide = |files, length| StoragePlan::new(limits(files), 1).register(NOW, 0, Some(length)).decision;
    assert_eq!(decide(true, 64 * KIB), StorageDecision::Store(StorageTier::Memory));
    assert_eq!(decide(true, 64 * KIB + 1), StorageDecision::Store(StorageTier::File));
    assert_eq!(decide(true, 513 * KIB), StorageDecision::NotStored(NotStoredReason::Budget));
    assert_eq!(decide(false, 64 * KIB + 1), StorageDecision::NotStored(NotStoredReason::Budget));
    assert_eq!(decide(true, 1_025 * KIB), StorageDecision::TooLarge);
}

/// Each failure after a backoff doubles the backoff, up to a limit; a successful write enables the disk and
/// resets the backoff.
#[test]
fn a_failing_disk_is_disabled_with_exponential_backoff() {
    let mut plan = StoragePlan::new(limits(true), 1);
    let mut now = NOW;
    let declared_length = Some(100 * KIB);
    for backoff in [1, 2, 4, 8, 16, 30, 30] {
        let RegisteredBody { id, decision } = plan.register(now, 0, declared_length);
        assert_eq!(
            decision,
            StorageDecision::Store(StorageTier::File),
            "the disk is used again after the backoff"
        );
        let failure = plan.record_disk_failure(now, id, NotStoredReason::DiskFailed);
        let decision = StorageDecision::NotStored(NotStoredReason::DiskFailed);
        assert_eq!(
            failure,
            DiskFailure { decision, is_first: backoff == 1 },
            "only the first failure is reported as such"
        );
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
    assert_eq!(decision, StorageDecision::Store(StorageTier::File));
}
