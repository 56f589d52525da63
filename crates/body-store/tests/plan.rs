//! The plan alone: random bodies of several tenants, checked against its limits and guarantees.

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
    let register = (0usize..6, declared_length)
        .prop_map(|(tenant, declared_length)| Operation::Register { tenant, declared_length });
    prop_oneof![
        4 => register,
        8 => (0usize..64, 1..48 * KIB).prop_map(|(index, more)| Operation::Grow { index, more }),
        2 => (0usize..64).prop_map(Operation::Complete),
        2 => (0usize..64).prop_map(Operation::Remove),
        1 => Just(Operation::BeginSpill),
        1 => Just(Operation::FinishSpill),
        1 => (0usize..64).prop_map(Operation::DiskFailure),
        1 => Just(Operation::LowerLimits),
    ]
}

/// A body as the model expects it.
struct ModelBody {
    id: BodyId,
    tier: StorageTier,
    length: u64,
}

/// A plan, and what is expected of it.
struct Model {
    plan: StoragePlan,
    has_files: bool,
    bodies: Vec<ModelBody>,
    spilling: Option<BodyId>,
    /// No usage may exceed this.
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
            Operation::Register { tenant, declared_length } => self.register(now, tenant, declared_length)?,
            Operation::BeginSpill => self.begin_spill(now)?,
            Operation::FinishSpill => self.finish_spill(),
            Operation::LowerLimits => self.lower_limits(),
            _ if self.bodies.is_empty() => {}
            Operation::Grow { index, more } => self.grow(now, index, more)?,
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
        tenant: usize,
        declared_length: Option<u64>,
    ) -> Result<(), TestCaseError> {
        let RegisteredBody { id, decision } = self.plan.register(now, tenant, declared_length);
        let too_long = declared_length.is_some_and(|length| length > 1_024 * KIB);
        prop_assert_eq!(decision == StorageDecision::TooLarge, too_long);
        self.bodies.push(ModelBody { id, tier: StorageTier::Memory, length: 0 });
        Ok(())
    }

    fn grow(&mut self, now: Timestamp, index: usize, more: u64) -> Result<(), TestCaseError> {
        let index = index % self.bodies.len();
        let body = &mut self.bodies[index];
        let next = match self.plan.reserve(now, body.id, more) {
            StorageDecision::TooLarge => {
                prop_assert!(body.length + more > 1_024 * KIB);
                return Ok(());
            }
            StorageDecision::Store(next) => next,
            StorageDecision::NotStored(_) => StorageTier::NotStored,
        };
        body.length += more;
        prop_assert!(rank(next) >= rank(body.tier), "{:?} after {:?}", next, body.tier);
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
        prop_assert!(next.is_none() || self.spilling.is_none(), "one spill at a time");
        self.spilling = next.or(self.spilling);
        if let Some(id) = next {
            let body = self.bodies.iter_mut().find(|body| body.id == id).expect("a registered body");
            let is_large = body.length > SMALL_BODY_BYTES;
            prop_assert!(body.tier == StorageTier::Memory && is_large, "small bodies stay");
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
            body.tier = self.plan.tier(body.id).expect("a registered body");
            self.spilling = self.spilling.filter(|id| *id != body.id);
        }
    }

    fn lower_limits(&mut self) {
        let memory_bytes = self.plan.usage().memory_bytes;
        self.plan.configure(StorageLimits { max_memory_bytes: 256 * KIB, ..limits(self.has_files) });
        self.max_usage.memory_bytes = self.max_usage.memory_bytes.min(memory_bytes.max(256 * KIB));
    }

    /// Memory above a lowered limit may stay in use, but not grow again.
    fn check_usage(&mut self) -> Result<(), TestCaseError> {
        let (usage, max) = (self.plan.usage(), &mut self.max_usage);
        let is_within = usage.memory_bytes <= max.memory_bytes && usage.file_bytes <= max.file_bytes;
        prop_assert!(is_within, "{:?} of {:?}", usage, max);
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

/// Whatever the order of events, usage exceeds no limit except by what was held before the limit was lowered,
/// a body only moves up the tiers, and all is released in the end.
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
        let remaining = budget.guaranteed_per_group().saturating_sub(budget.used_by(own_tenant));
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
    assert!(
        budget.try_reserve(1, 0, budget.guaranteed_per_group()),
        "and the other tenant has all of its share"
    );
}

/// A body with a declared length that memory can't hold goes to a file from its first byte; if there are no
/// files, it is known before that byte that the body can't be stored.
#[test]
fn a_declared_length_decides_before_the_first_byte() {
    let first = |files, length| StoragePlan::new(limits(files), 1).register(NOW, 0, Some(length)).decision;
    assert_eq!(first(true, 64 * KIB), StorageDecision::Store(StorageTier::Memory));
    assert_eq!(first(true, 64 * KIB + 1), StorageDecision::Store(StorageTier::File));
    assert_eq!(first(true, 513 * KIB), StorageDecision::NotStored(NotStoredReason::Budget));
    assert_eq!(first(false, 64 * KIB + 1), StorageDecision::NotStored(NotStoredReason::Budget));
    assert_eq!(first(true, 1_025 * KIB), StorageDecision::TooLarge);
}

/// Each failure disables the disk for twice as long, up to a limit, and one successful write enables it.
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
    assert_eq!(decision, StorageDecision::Store(StorageTier::File));
}
