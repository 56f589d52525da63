//! Release order, tenant shares and window size on a simulated clock.

use proptest::prelude::{prop, prop_assert, prop_assert_eq};
use sorrelhaven_deferred_jobs::{ReleaseOutcome, ReleaseQueue, ReleaseRules, WindowLimits};
use sorrelhaven_test_support::check_cases;
use std::collections::BTreeMap;

/// A millisecond in microseconds.
const MS: i64 = 1_000;

fn rules(tenants: usize, min_window: f64, max_window: f64) -> ReleaseRules {
    ReleaseRules {
        aging_interval: 100 * MS,
        max_priority: 5,
        tenant_weights: vec![1; tenants],
        window: WindowLimits { min: min_window, max: max_window },
    }
}

/// A job is released before every job of its tenant that falls due more than the overtaking limit after it.
#[test]
fn no_job_overtakes_one_that_was_due_longer_before_it_than_the_limit() {
    let jobs = prop::collection::vec((0..3_000i64, 0usize..3, 0u32..8), 1..120);
    check_cases(500, (jobs, 1u64..6), |(mut jobs, interval)| {
        jobs.sort_by_key(|(due, _, _)| *due);
        let mut queue = ReleaseQueue::new(rules(3, 1.0, 1.0));
        let limit = queue.overtaking_limit();
        let mut released = Vec::new();
        let mut next = 0;
        let mut now = 0;
        while next < jobs.len() || queue.waiting_count() > 0 {
            while let Some(&(due, tenant, priority)) = jobs.get(next).filter(|(due, _, _)| due * MS <= now) {
                queue.enqueue(due * MS, next as u64, tenant, priority);
                next += 1;
            }
            if let Some(id) = queue.release_next() {
                released.push(id as usize);
                queue.record_outcome(ReleaseOutcome::NoSignal);
            }
            now += interval as i64 * 7 * MS;
        }
        prop_assert_eq!(released.len(), jobs.len(), "a job was not released exactly once");
        let position: BTreeMap<usize, usize> =
            released.iter().enumerate().map(|(position, job)| (*job, position)).collect();
        for (old_index, old) in jobs.iter().enumerate() {
            for (new_index, new) in jobs.iter().enumerate() {
                if old.1 == new.1 && new.0 * MS > old.0 * MS + limit {
                    prop_assert!(
                        position[&old_index] < position[&new_index],
                        "{:?} was released before {:?}",
                        new,
                        old
                    );
                }
            }
        }
        Ok(())
    });
}

/// With an endless stream of new jobs of the highest priority, the oldest job of the lowest one is released
/// within the limit.
#[test]
fn a_low_priority_job_is_released_within_the_limit() {
    let mut queue = ReleaseQueue::new(rules(1, 1.0, 1.0));
    queue.enqueue(0, 0, 0, 0);
    // One new job of the highest priority for each that is released.
    for number in 1..100_000u64 {
        let now = number as i64 * MS;
        queue.enqueue(now, number, 0, 5);
        let id = queue.release_next().expect("the window has room");
        queue.record_outcome(ReleaseOutcome::InTime);
        if id == 0 {
            assert!(
                now <= queue.overtaking_limit() + MS,
                "the low-priority job was released only after {now} us"
            );
            return;
        }
    }
    panic!("the low-priority job was never released");
}

/// Tenants that have jobs share the releases by weight; a tenant that was idle gets no credit for that time.
#[test]
fn tenants_are_released_by_their_weights() {
    let mut queue = ReleaseQueue::new(ReleaseRules { tenant_weights: vec![1, 1, 3], ..rules(3, 1e6, 1e6) });
    let mut id = 0;
    let mut fill = |queue: &mut ReleaseQueue, tenant: usize, count: usize| {
        for _ in 0..count {
            queue.enqueue(0, id * 10 + tenant as u64, tenant, 0);
            id += 1;
        }
    };
    fill(&mut queue, 0, 1_000);
    fill(&mut queue, 2, 1_000);
    let count_releases = |queue: &mut ReleaseQueue, count: usize| {
        let mut counts = [0; 3];
        for _ in 0..count {
            counts[queue.release_next().expect("jobs are waiting") as usize % 10] += 1;
        }
        counts
    };
    assert_eq!(count_releases(&mut queue, 400), [100, 0, 300]);
    fill(&mut queue, 1, 1_000);
    let counts = count_releases(&mut queue, 500);
    assert!(
        counts.iter().zip([100, 100, 300]).all(|(count, share): (&i32, i32)| (count - share).abs() <= 1),
        "{counts:?}"
    );
}

/// The window converges to the capacity of the workers: 5,000 jobs are due at once, and the workers serve 40
/// at a time and reject the rest.
#[test]
fn the_window_follows_the_capacity_of_the_workers() {
    let mut queue = ReleaseQueue::new(rules(4, 4.0, 1_000.0));
    for id in 0..5_000 {
        queue.enqueue(0, id, id as usize % 4, 0);
    }
    let (mut in_progress, mut rejected, mut rounds, mut widest) = (0, 0, 0, 0.0f64);
    while queue.waiting_count() > 0 || in_progress > 0 {
        while queue.release_next().is_some() {
            in_progress += 1;
        }
        widest = widest.max(queue.window_size());
        // In each round 40 jobs are served in time, and the others are rejected.
        let released = std::mem::take(&mut in_progress);
        for number in 0..released {
            queue.record_outcome(if number < 40 {
                ReleaseOutcome::InTime
            } else {
                ReleaseOutcome::Overloaded
            });
            rejected += usize::from(number >= 40);
        }
        rounds += 1;
    }
    assert!(widest < 60.0, "the window grew to {widest} jobs");
    assert!(rejected < 500, "{rejected} of 5,000 jobs were rejected");
    assert!(rounds < 5_000 / 40 * 2, "{rounds} rounds, and 125 are the minimum");
}

/// A removed job is not released, and can't be removed again. It is found by the arguments with which it was
/// enqueued, here a priority above the highest.
#[test]
fn a_removed_job_is_not_released() {
    let mut queue = ReleaseQueue::new(rules(2, 9.0, 9.0));
    queue.enqueue(5, 1, 1, 9);
    queue.enqueue(5, 2, 1, 9);
    assert!(queue.remove(5, 1, 1, 9) && !queue.remove(5, 1, 1, 9));
    assert_eq!((queue.release_next(), queue.release_next(), queue.waiting_count()), (Some(2), None, 0));
}
